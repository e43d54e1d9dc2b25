//! Probes: one member after the other, itself, through others and at its machine.

use super::{Effect, Machine};
use crate::name::Name;
use crate::packet::{Kind, Update};
use crate::probe::{Probe, Stage};
use crate::table::{Cause, State, SuspicionReport};
use crate::view::Reach;
use crate::Micros;

/// Members that are asked to make a last call: in an installation of two groups that one member joins, that one must be
/// among them.
const MAX_FINAL_HELPERS: usize = 8;

impl Machine {
    pub(super) fn start_probe(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for _ in 0..self.ring.len() {
            if self.ring_at >= self.ring.len() {
                self.ring_at = 0;
                self.shuffle();
            }
            let name = self.ring[self.ring_at].clone();
            self.ring_at += 1;
            match self.table.get(&name).map(|m| m.state) {
                Some(State::Alive | State::Suspect) => {
                    return self.probe(now, &name, Stage::Direct, false, out)
                }
                Some(_) => {}
                None => {
                    self.ring_at -= 1;
                    self.ring.remove(self.ring_at);
                }
            }
        }
    }

    pub(super) fn shuffle(&mut self) {
        for place in (1..self.ring.len()).rev() {
            let other = self.below(place as u64 + 1) as usize;
            self.ring.swap(place, other);
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Micros,
        name: &Name,
        stage: Stage,
        last_call: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(member) = self.table.get(name) else { return };
        let (at, stamp) = (member.record.address, member.record.stamp);
        let (seq, due) = (self.next_seq(), now + self.config.ack_timeout * self.health.stretch());
        self.send(Some(name), at, Kind::Ping { seq, to: name.clone() }, out);
        let (helpers, nacks, refused, checked) = Default::default();
        let name = name.clone();
        let probe = Probe { name, stamp, sent: now, due, stage, last_call, helpers, nacks, refused, checked };
        self.probes.insert(seq, probe);
    }

    pub(super) fn probes_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due: Vec<u32> = self.probes.iter().filter(|(_, p)| now >= p.due).map(|(&seq, _)| seq).collect();
        for seq in due {
            match self.probes.get(&seq).map(|probe| probe.stage) {
                Some(Stage::Direct) => self.probe_indirectly(now, seq, out),
                Some(Stage::Indirect) => self.probe_failed(now, seq, out),
                Some(Stage::Reconnect | Stage::Compare) | None => drop(self.probes.remove(&seq)),
            }
        }
    }

    pub(super) fn probe_indirectly(&mut self, now: Micros, seq: u32, out: &mut Vec<Effect>) {
        let Some(probe) = self.probes.get(&seq).cloned() else { return };
        let Some(at) = self.table.get(&probe.name).map(|m| m.record.address) else { return };
        // One through which it answered before comes first: it may be the only one between two groups.
        let via = self.peers.get(&probe.name).and_then(|peer| peer.via.clone());
        let mut helpers: Vec<Name> = via.into_iter().filter(|via| self.can_relay(via)).collect();
        let count = if probe.last_call { MAX_FINAL_HELPERS } else { self.config.indirect_probes };
        for name in self.sample(count, Some(&probe.name)) {
            if helpers.len() < count && !helpers.contains(&name) {
                helpers.push(name);
            }
        }
        for helper in &helpers {
            let Some(to) = self.table.get(helper).map(|m| m.record.address) else { continue };
            let kind = Kind::PingRequest { seq, name: probe.name.clone(), address: at };
            self.send(Some(helper), to, kind, out);
        }
        if !self.config.is_plain_swim {
            out.push(Effect::Check { seq, address: at });
        }
        let wait = (self.config.probe_interval - self.config.ack_timeout).max(2 * self.config.ack_timeout);
        // Four ways lie on the path through another; a last call is in no hurry.
        let wait = if probe.last_call { 2 * wait } else { wait };
        let due = now + wait * self.health.stretch();
        if let Some(probe) = self.probes.get_mut(&seq) {
            (probe.helpers, probe.stage, probe.due) = (helpers, Stage::Indirect, due);
        }
    }

    pub(super) fn can_relay(&self, name: &Name) -> bool {
        self.table.get(name).is_some_and(|m| m.state == State::Alive && m.record.cut_off.is_none())
    }

    /// A probe was answered, directly or through another.
    pub(super) fn probe_succeeded(&mut self, now: Micros, probe: &Probe, via: Option<&Name>) {
        self.health.answered();
        self.health.add(-1);
        let rounds = 2 * self.config.probe_interval * (self.ring.len() as u64).max(2);
        let Some(peer) = self.peers.get_mut(&probe.name) else { return };
        peer.silent = false;
        match via {
            None => (peer.reach.to_it, peer.via) = (Some(true), None),
            Some(via) => {
                peer.via = Some(via.clone());
                // It answers others: the way there or the way back is broken. Which one its own words tell, of which
                // there is one a round.
                let heard = peer.heard.is_some_and(|heard| now.saturating_sub(heard) < rounds);
                peer.reach = match heard {
                    true => Reach { to_it: Some(false), from_it: Some(true) },
                    false => Reach { to_it: None, from_it: None },
                };
            }
        }
        if peer.suspicion.is_some() && !self.config.is_plain_swim {
            self.restart_suspicion(now, &probe.name);
            self.vouch(now, &probe.name, probe.stamp);
        }
    }

    /// Nothing came back from a probe.
    pub(super) fn probe_failed(&mut self, now: Micros, seq: u32, out: &mut Vec<Effect>) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        let heard = self.peers.get(&probe.name).and_then(|peer| peer.heard);
        self.health.probe_failed();
        if probe.checked.is_some() {
            // Its machine has heard this process and was heard.
            self.health.heard_from_other(now);
            self.health.answered();
        }
        let missing = probe.helpers.len().saturating_sub(probe.nacks.len());
        self.health.add(if probe.helpers.is_empty() { 1 } else { missing as i32 });
        if let Some(peer) = self.peers.get_mut(&probe.name) {
            peer.reach.to_it = Some(false);
            peer.silent = probe.checked.is_none();
        }
        self.assess_connectivity(now, out);
        let since = heard.is_some_and(|at| at >= probe.sent);
        if self.cut_off.is_some() || since && !self.config.is_plain_swim {
            return;
        }
        let known =
            self.table.get(&probe.name).filter(|m| m.record.stamp.incarnation == probe.stamp.incarnation);
        let Some(card) = known.map(|m| m.record.clone()) else { return };
        let cause = match probe.checked {
            _ if !probe.refused.is_empty() => Cause::Refused,
            Some(cause) => cause,
            None => Cause::Silent,
        };
        let me = self.table.me().name.clone();
        let helpers =
            probe.refused.iter().map(|name| SuspicionReport { by: name.clone(), cause: Cause::Refused });
        for by in std::iter::once(SuspicionReport { by: me, cause }).chain(helpers) {
            let update = Update { record: card.clone(), state: State::Suspect, by: Some(by) };
            self.apply_updates(now, &[update], true, out);
        }
        self.begin_suspicion(now, &probe.name, true, out);
        self.final_probe_failed(now, &probe);
    }

    /// Helpers say that they got no answer either: whoever asked learns that its own ways work.
    pub(super) fn relays_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due: Vec<u32> = self.relays.iter().filter(|(_, r)| now >= r.due).map(|(&seq, _)| seq).collect();
        for seq in due {
            let Some(relay) = self.relays.get_mut(&seq) else { continue };
            if !relay.checking && !self.config.is_plain_swim {
                (relay.checking, relay.due) = (true, now + self.config.ack_timeout);
                out.push(Effect::Check { seq, address: relay.address });
                continue;
            }
            if let Some(relay) = self.relays.remove(&seq).filter(|_| !self.config.is_plain_swim) {
                let kind = Kind::IndirectNack { seq: relay.origin_seq, is_refused: false };
                self.send(Some(&relay.origin), relay.origin_at, kind, out);
            }
        }
    }
}
