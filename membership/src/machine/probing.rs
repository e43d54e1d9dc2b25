//! Probes: one member after the other, directly, through others and at its machine.

use super::gossip::Forwarding;
use super::{Effect, Machine};
use crate::liveness::{Cause, State, SuspicionReport};
use crate::name::Name;
use crate::packet::{Kind, Update};
use crate::probe::{Probe, Stage};
use crate::view::Reach;
use crate::Micros;
use std::collections::BTreeSet;

/// Members that are asked to help with a final probe: in an installation of two groups that one member joins, that one must
/// be among them.
const MAX_FINAL_HELPERS: usize = 8;

impl Machine {
    /// Probes the next member of the ring.
    pub(super) fn start_probe(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        for _ in 0..self.ring.len() {
            if self.ring_position >= self.ring.len() {
                self.ring_position = 0;
                self.shuffle_ring();
            }
            let name = self.ring[self.ring_position].clone();
            self.ring_position += 1;
            match self.table.get(&name).map(|member| member.state) {
                Some(State::Alive | State::Suspect) => {
                    return self.probe(now, &name, Stage::Direct, false, effects);
                }
                Some(_) => {}
                None => {
                    self.ring_position -= 1;
                    self.ring.remove(self.ring_position);
                }
            }
        }
    }

    fn shuffle_ring(&mut self) {
        for place in (1..self.ring.len()).rev() {
            let other = self.random_index(place + 1);
            self.ring.swap(place, other);
        }
    }

    pub(super) fn probe(
        &mut self,
        now: Micros,
        name: &Name,
        stage: Stage,
        is_final: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(member) = self.table.get(name) else { return };
        let (address, stamp) = (member.record.address, member.record.stamp);
        let seq = self.next_seq();
        let due = now + self.config.ack_timeout * self.health.stretch();
        self.send(Some(name), address, Kind::Ping { seq, to: name.clone() }, effects);
        let probe = Probe {
            name: name.clone(),
            stamp,
            sent_at: now,
            due,
            stage,
            is_final,
            helpers: Vec::new(),
            nacks: BTreeSet::new(),
            refusals: BTreeSet::new(),
            check: None,
        };
        self.probes.insert(seq, probe);
    }

    pub(super) fn handle_due_probes(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let due = self.probes.iter().filter(|(_, probe)| now >= probe.due);
        let due: Vec<u32> = due.map(|(&seq, _)| seq).collect();
        for seq in due {
            match self.probes.get(&seq).map(|probe| probe.stage) {
                Some(Stage::Direct) => self.probe_indirectly(now, seq, effects),
                Some(Stage::Indirect) => self.probe_failed(now, seq, effects),
                Some(Stage::Reconnect | Stage::Compare) | None => drop(self.probes.remove(&seq)),
            }
        }
    }

    /// Asks other members to ping one that has not answered, and its machine whether it runs.
    fn probe_indirectly(&mut self, now: Micros, seq: u32, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probes.get(&seq).cloned() else { return };
        let Some(member) = self.table.get(&probe.name) else { return };
        let address = member.record.address;
        let helpers = self.choose_helpers(&probe);
        for helper in &helpers {
            let Some(to) = self.table.get(helper).map(|member| member.record.address) else { continue };
            let kind = Kind::PingRequest { seq, name: probe.name.clone(), address };
            self.send(Some(helper), to, kind, effects);
        }
        if !self.config.is_plain_swim {
            effects.push(Effect::Check { seq, address });
        }
        let due = now + self.indirect_timeout(probe.is_final);
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.helpers = helpers;
            probe.stage = Stage::Indirect;
            probe.due = due;
        }
    }

    /// The members that are asked to help. One through which the probed member answered before comes first: it may be the
    /// only one between two groups.
    fn choose_helpers(&mut self, probe: &Probe) -> Vec<Name> {
        let via = self.peers.get(&probe.name).and_then(|peer| peer.via.clone());
        let mut helpers: Vec<Name> = via.into_iter().filter(|via| self.can_relay(via)).collect();
        let count = if probe.is_final { MAX_FINAL_HELPERS } else { self.config.indirect_probes };
        for name in self.sample_relays(count, &probe.name) {
            if helpers.len() < count && !helpers.contains(&name) {
                helpers.push(name);
            }
        }
        helpers
    }

    /// How long an indirect probe may take. Four messages lie on the path through a helper; a final probe is in no hurry.
    fn indirect_timeout(&self, is_final: bool) -> Micros {
        let rest_of_interval = self.config.probe_interval - self.config.ack_timeout;
        let timeout = rest_of_interval.max(2 * self.config.ack_timeout);
        let timeout = if is_final { 2 * timeout } else { timeout };
        timeout * self.health.stretch()
    }

    /// Whether a member can probe another for this process.
    pub(super) fn can_relay(&self, name: &Name) -> bool {
        let member = self.table.get(name);
        member.is_some_and(|member| member.state == State::Alive && member.record.cut_off.is_none())
    }

    /// A probe was answered, directly or through another member.
    pub(super) fn probe_succeeded(&mut self, now: Micros, probe: &Probe, via: Option<&Name>) {
        self.health.answered();
        self.health.add(-1);
        // Its own packets come once a round at the least.
        let two_rounds = 2 * self.config.probe_interval * (self.ring.len() as u64).max(2);
        let Some(peer) = self.peers.get_mut(&probe.name) else { return };
        peer.is_silent = false;
        peer.via = via.cloned();
        let is_received = peer.received_at.is_some_and(|at| now.saturating_sub(at) < two_rounds);
        match via {
            None => peer.reach.to_it = Some(true),
            // It answers others: the path there or the path back is broken. Which one its own packets tell.
            Some(_) if is_received => peer.reach = Reach { to_it: Some(false), from_it: Some(true) },
            Some(_) => peer.reach = Reach::default(),
        }
        if peer.suspicion.is_some() && !self.config.is_plain_swim {
            self.restart_suspicion(now, &probe.name);
            self.vouch(now, &probe.name, probe.stamp);
        }
    }

    /// A probe was not answered in any way.
    fn probe_failed(&mut self, now: Micros, seq: u32, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probes.remove(&seq) else { return };
        self.assess_own_health(now, &probe);
        let received_at = self.peers.get(&probe.name).and_then(|peer| peer.received_at);
        if let Some(peer) = self.peers.get_mut(&probe.name) {
            peer.reach.to_it = Some(false);
            peer.is_silent = probe.check.is_none();
        }
        self.assess_connectivity(now, effects);
        let was_received = received_at.is_some_and(|at| at >= probe.sent_at);
        if self.cut_off.is_some() || was_received && !self.config.is_plain_swim {
            return;
        }
        self.suspect(now, &probe, effects);
    }

    /// What a failed probe says of this process itself.
    fn assess_own_health(&mut self, now: Micros, probe: &Probe) {
        self.health.probe_failed();
        if probe.check.is_some() {
            // The member's machine has received this process and was received.
            self.health.received(now);
            self.health.answered();
        }
        let missing_nacks = probe.helpers.len().saturating_sub(probe.nacks.len());
        let change = if probe.helpers.is_empty() { 1 } else { missing_nacks };
        self.health.add(i32::try_from(change).unwrap_or(i32::MAX));
    }

    /// Suspects a member whose probe failed.
    fn suspect(&mut self, now: Micros, probe: &Probe, effects: &mut Vec<Effect>) {
        let member = self.table.get(&probe.name);
        let member = member.filter(|member| member.record.stamp.incarnation == probe.stamp.incarnation);
        let Some(record) = member.map(|member| member.record.clone()) else { return };
        let cause = match probe.check {
            _ if !probe.refusals.is_empty() => Cause::Refused,
            Some(cause) => cause,
            None => Cause::Silent,
        };
        let own = SuspicionReport { by: self.table.me().name.clone(), cause };
        let refusal = |name: &Name| SuspicionReport { by: name.clone(), cause: Cause::Refused };
        for report in std::iter::once(own).chain(probe.refusals.iter().map(refusal)) {
            let update = Update { record: record.clone(), state: State::Suspect, by: Some(report) };
            self.apply_updates(now, &[update], Forwarding::Gossip, effects);
        }
        self.begin_suspicion(now, &probe.name, true, effects);
        self.final_probe_failed(now, probe);
    }

    /// A helper tells that it got no answer either: so the member that asked learns that its own paths work.
    pub(super) fn handle_due_relays(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let due = self.relays.iter().filter(|(_, relay)| now >= relay.due);
        let due: Vec<u32> = due.map(|(&seq, _)| seq).collect();
        for seq in due {
            let Some(relay) = self.relays.get_mut(&seq) else { continue };
            if !relay.is_checking && !self.config.is_plain_swim {
                relay.is_checking = true;
                relay.due = now + self.config.ack_timeout;
                effects.push(Effect::Check { seq, address: relay.address });
                continue;
            }
            if let Some(relay) = self.relays.remove(&seq).filter(|_| !self.config.is_plain_swim) {
                let kind = Kind::IndirectNack { seq: relay.origin_seq, is_refused: false };
                self.send(Some(&relay.origin), relay.origin_address, kind, effects);
            }
        }
    }
}
