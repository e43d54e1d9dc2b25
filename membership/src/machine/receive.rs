//! What comes from others: datagrams, answers, whole views and what a member's machine said.

use super::{CheckResult, Effect, Machine};
use crate::packet::{Kind, MemberRecord, Packet, Rejection, Update};
use crate::probe::Relay;
use crate::probe::Stage;
use crate::table::{Cause, State};
use crate::Micros;
use std::net::SocketAddr;

impl Machine {
    /// A datagram came from an address.
    pub fn receive(&mut self, now: Micros, source: SocketAddr, packet: Packet, out: &mut Vec<Effect>) {
        if self.displaced {
            return;
        }
        self.after_pause(now);
        let Packet { from, digest, kind, updates } = packet;
        if source.ip() != from.address.ip() {
            return self.reject(Rejection::SenderMismatch);
        }
        if !self.meet_sender(now, &from, out) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from.name) {
            peer.digest = Some(digest);
        }
        self.apply_updates(now, &updates, true, out);
        match kind {
            Kind::Gossip => {}
            Kind::Ping { seq, to } if to == self.table.me().name => {
                self.send(Some(&from.name), from.address, Kind::Ack { seq }, out);
            }
            // Meant for the last owner of this address.
            Kind::Ping { .. } => self.reject(Rejection::Unsolicited),
            Kind::Ack { seq } => self.handle_ack(now, seq, &from, out),
            Kind::PingRequest { seq, name, address } => {
                let due = now + self.config.ack_timeout * self.health.stretch();
                let own = self.next_seq();
                let (origin, origin_at) = (from.name, from.address);
                let relay = Relay { origin, origin_at, origin_seq: seq, name, address, due, checking: false };
                self.send(
                    Some(&relay.name.clone()),
                    address,
                    Kind::Ping { seq: own, to: relay.name.clone() },
                    out,
                );
                self.relays.insert(own, relay);
            }
            Kind::IndirectAck { seq, record } => {
                let expected = self.probes.get(&seq).is_some_and(|p| p.name == record.name);
                match self.probes.remove(&seq).filter(|_| expected) {
                    Some(probe) => {
                        self.apply_updates(now, &[alive(record)], true, out);
                        self.probe_succeeded(now, &probe, Some(&from.name));
                    }
                    None => self.reject(Rejection::Unsolicited),
                }
            }
            Kind::IndirectNack { seq, is_refused } => match self.probes.get_mut(&seq) {
                Some(probe) if probe.helpers.contains(&from.name) => {
                    if is_refused {
                        probe.refused.insert(from.name.clone());
                    }
                    probe.nacks.insert(from.name);
                }
                _ => self.reject(Rejection::Unsolicited),
            },
        }
        self.assess_connectivity(now, out);
        // What was due before it was known to be is not late.
        self.due = self.next_wake().max(now);
    }

    /// What a member's machine said.
    pub fn check_completed(&mut self, now: Micros, seq: u32, verdict: CheckResult, out: &mut Vec<Effect>) {
        if let Some(relay) = self.relays.remove(&seq) {
            let (to, seq) = (relay.origin_at, relay.origin_seq);
            let kind = match verdict {
                CheckResult::Answered(card) if card.name == relay.name => {
                    Kind::IndirectAck { seq, record: card }
                }
                CheckResult::Refused => Kind::IndirectNack { seq, is_refused: true },
                _ => Kind::IndirectNack { seq, is_refused: false },
            };
            return self.send(Some(&relay.origin), to, kind, out);
        }
        if let CheckResult::Answered(card) = &verdict {
            if let Some(probe) = self.probes.remove(&seq).filter(|probe| probe.name == card.name) {
                self.apply_updates(now, &[alive(card.clone())], true, out);
                self.health.heard_from_other(now);
                self.probe_succeeded(now, &probe, None);
            }
            return;
        }
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        probe.checked = match verdict {
            CheckResult::Refused => Some(Cause::Refused),
            CheckResult::Stalled => Some(Cause::Stalled),
            CheckResult::Answered(_) | CheckResult::Unreachable => None,
        };
    }

    /// The other side of a full exchange, from an address.
    pub fn receive_full_state(
        &mut self,
        now: Micros,
        source: SocketAddr,
        packet: Packet,
        out: &mut Vec<Effect>,
    ) {
        if self.displaced {
            return;
        }
        if source.ip() != packet.from.address.ip() {
            return self.reject(Rejection::SenderMismatch);
        }
        if !self.meet_sender(now, &packet.from, out) {
            return;
        }
        self.health.answered();
        self.join_tries = 0;
        // What came whole is not sent on word by word: the others' exchanges bring it.
        self.apply_updates(now, &packet.updates, false, out);
        if let Some(peer) = self.peers.get_mut(&packet.from.name) {
            peer.digest = Some(packet.digest);
        }
        self.assess_connectivity(now, out);
    }

    /// Takes what a speaker's card says of it; whether it may be listened to.
    pub(super) fn meet_sender(&mut self, now: Micros, from: &MemberRecord, out: &mut Vec<Effect>) -> bool {
        let me = self.table.me();
        if from.name == me.name {
            if from.stamp.incarnation != me.stamp.incarnation {
                self.apply_updates(now, &[alive(from.clone())], true, out);
                // It learns from the answer whose the name is.
                let (to, kind) = (from.address, Kind::Gossip);
                self.send(None, to, kind, out);
            }
            return false;
        }
        let known = self.table.get(&from.name).map(|known| known.record.stamp);
        if known.is_some_and(|known| known.incarnation != from.stamp.incarnation && known > from.stamp) {
            self.reject(Rejection::EarlierIncarnation);
            // A process that has just started does not know yet what came before it, and must hear of it from whoever
            // takes that to run still: as long as it does not, nothing that it says is taken.
            let updates = self.table.update(&from.name).into_iter().collect();
            out.push(Effect::Send {
                to: from.address,
                packet: Packet { updates, ..self.packet(Kind::Gossip) },
            });
            return false;
        }
        self.apply_updates(now, &[alive(from.clone())], true, out);
        let Some(member) = self.table.get(&from.name) else { return false };
        if member.record.stamp.incarnation != from.stamp.incarnation {
            return false;
        }
        let (suspect, stamp) = (member.state == State::Suspect, member.record.stamp);
        self.health.heard_from_other(now);
        let interval = self.config.probe_interval;
        if self.peers.get_mut(&from.name).is_some_and(|peer| std::mem::take(&mut peer.silent)) {
            self.health.ignored(now, self.config.probe_interval);
        }
        let Some(peer) = self.peers.get_mut(&from.name) else { return true };
        peer.heard = Some(now);
        peer.reach.from_it = Some(true);
        if suspect && !self.config.is_plain_swim {
            self.restart_suspicion(now, &from.name);
            let peer = self.peers.get(&from.name);
            if peer.is_some_and(|peer| now.saturating_sub(peer.vouched) >= interval) {
                self.vouch(now, &from.name, stamp);
            }
        }
        true
    }

    pub(super) fn handle_ack(&mut self, now: Micros, seq: u32, from: &MemberRecord, out: &mut Vec<Effect>) {
        if let Some(leaving) = &mut self.leaving {
            leaving.notified.insert(from.name.clone());
        }
        if self.probes.get(&seq).is_some_and(|probe| probe.name == from.name) {
            if let Some(probe) = self.probes.remove(&seq) {
                let digest = self.peers.get(&probe.name).and_then(|peer| peer.digest);
                if probe.stage == Stage::Compare && digest != Some(self.table.digest()) {
                    out.push(Effect::Exchange { address: from.address });
                }
                return self.probe_succeeded(now, &probe, None);
            }
        }
        match self.relays.remove(&seq) {
            Some(relay) if relay.name == from.name => {
                let kind = Kind::IndirectAck { seq: relay.origin_seq, record: from.clone() };
                self.send(Some(&relay.origin), relay.origin_at, kind, out);
            }
            _ if self.leaving.is_some() => {}
            _ => self.reject(Rejection::Unsolicited),
        }
    }

    pub(super) fn reject(&mut self, why: Rejection) {
        *self.rejected.entry(why).or_default() += 1;
    }
}

fn alive(card: MemberRecord) -> Update {
    Update { record: card, state: State::Alive, by: None }
}
