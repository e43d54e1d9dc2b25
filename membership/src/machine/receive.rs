//! What comes from others: datagrams, answers, full states and the reports of members' machines.

use super::gossip::Forwarding;
use super::{CheckResult, Effect, Machine};
use crate::liveness::{Cause, State};
use crate::name::Name;
use crate::packet::{Kind, MemberRecord, Packet, Rejection, Update};
use crate::probe::{Relay, Stage};
use crate::Micros;
use std::net::SocketAddr;

impl Machine {
    /// Takes a datagram that came from an address.
    pub fn receive(&mut self, now: Micros, source: SocketAddr, packet: Packet, effects: &mut Vec<Effect>) {
        if self.is_displaced {
            return;
        }
        self.after_pause(now);
        let Packet { from, digest, kind, updates } = packet;
        if source.ip() != from.address.ip() {
            return self.reject(Rejection::SenderMismatch);
        }
        if !self.meet_sender(now, &from, effects) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&from.name) {
            peer.digest = Some(digest);
        }
        self.apply_updates(now, &updates, Forwarding::Gossip, effects);
        self.handle_kind(now, &from, kind, effects);
        self.assess_connectivity(now, effects);
        self.schedule(now);
    }

    fn handle_kind(&mut self, now: Micros, from: &MemberRecord, kind: Kind, effects: &mut Vec<Effect>) {
        match kind {
            Kind::Gossip => {}
            Kind::Ping { seq, to } if to == self.table.me().name => {
                self.send(Some(&from.name), from.address, Kind::Ack { seq }, effects);
            }
            // It was meant for the last owner of this address.
            Kind::Ping { .. } => self.reject(Rejection::Unsolicited),
            Kind::Ack { seq } => self.handle_ack(now, seq, from, effects),
            Kind::PingRequest { seq, name, address } => {
                self.relay_ping(now, from, seq, name, address, effects);
            }
            Kind::IndirectAck { seq, record } => {
                self.handle_indirect_ack(now, seq, &from.name, record, effects);
            }
            Kind::IndirectNack { seq, is_refused } => {
                self.handle_indirect_nack(seq, &from.name, is_refused);
            }
        }
    }

    /// Pings a member for another one.
    fn relay_ping(
        &mut self,
        now: Micros,
        from: &MemberRecord,
        origin_seq: u32,
        name: Name,
        address: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let due = now + self.config.ack_timeout * self.health.stretch();
        let seq = self.next_seq();
        self.send(Some(&name), address, Kind::Ping { seq, to: name.clone() }, effects);
        let relay = Relay {
            origin: from.name.clone(),
            origin_address: from.address,
            origin_seq,
            name,
            address,
            due,
            is_checking: false,
        };
        self.relays.insert(seq, relay);
    }

    fn handle_indirect_ack(
        &mut self,
        now: Micros,
        seq: u32,
        helper: &Name,
        record: MemberRecord,
        effects: &mut Vec<Effect>,
    ) {
        let is_expected = self.probes.get(&seq).is_some_and(|probe| probe.name == record.name);
        match self.probes.remove(&seq).filter(|_| is_expected) {
            Some(probe) => {
                self.apply_updates(now, &[alive(record)], Forwarding::Gossip, effects);
                self.probe_succeeded(now, &probe, Some(helper));
            }
            None => self.reject(Rejection::Unsolicited),
        }
    }

    fn handle_indirect_nack(&mut self, seq: u32, helper: &Name, is_refused: bool) {
        match self.probes.get_mut(&seq) {
            Some(probe) if probe.helpers.contains(helper) => {
                if is_refused {
                    probe.refusals.insert(helper.clone());
                }
                probe.nacks.insert(helper.clone());
            }
            _ => self.reject(Rejection::Unsolicited),
        }
    }

    /// Takes the report of a member's machine, which [`Effect::Check`] has asked for.
    pub fn check_completed(&mut self, now: Micros, seq: u32, result: CheckResult, effects: &mut Vec<Effect>) {
        if let Some(relay) = self.relays.remove(&seq) {
            return self.answer_relay(&relay, result, effects);
        }
        let cause = match result {
            CheckResult::Answered(record) => return self.handle_check_answer(now, seq, record, effects),
            CheckResult::Refused => Some(Cause::Refused),
            CheckResult::Stalled => Some(Cause::Stalled),
            CheckResult::Unreachable => None,
        };
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.check = cause;
        }
    }

    /// Tells the member that asked for a probe what came of it.
    fn answer_relay(&mut self, relay: &Relay, result: CheckResult, effects: &mut Vec<Effect>) {
        let seq = relay.origin_seq;
        let kind = match result {
            CheckResult::Answered(record) if record.name == relay.name => Kind::IndirectAck { seq, record },
            CheckResult::Refused => Kind::IndirectNack { seq, is_refused: true },
            _ => Kind::IndirectNack { seq, is_refused: false },
        };
        self.send(Some(&relay.origin), relay.origin_address, kind, effects);
    }

    /// A member answered over a connection.
    fn handle_check_answer(
        &mut self,
        now: Micros,
        seq: u32,
        record: MemberRecord,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(probe) = self.probes.remove(&seq).filter(|probe| probe.name == record.name) {
            self.apply_updates(now, &[alive(record)], Forwarding::Gossip, effects);
            self.health.received(now);
            self.probe_succeeded(now, &probe, None);
        }
    }

    /// Takes the other side of a full exchange, which came from an address.
    pub fn receive_full_state(
        &mut self,
        now: Micros,
        source: SocketAddr,
        packet: &Packet,
        effects: &mut Vec<Effect>,
    ) {
        if self.is_displaced {
            return;
        }
        if source.ip() != packet.from.address.ip() {
            return self.reject(Rejection::SenderMismatch);
        }
        if !self.meet_sender(now, &packet.from, effects) {
            return;
        }
        self.health.answered();
        self.join_attempts = 0;
        self.apply_updates(now, &packet.updates, Forwarding::Keep, effects);
        if let Some(peer) = self.peers.get_mut(&packet.from.name) {
            peer.digest = Some(packet.digest);
        }
        self.assess_connectivity(now, effects);
    }

    /// Takes what a sender announces of itself. Returns whether anything else that it sends is taken.
    fn meet_sender(&mut self, now: Micros, from: &MemberRecord, effects: &mut Vec<Effect>) -> bool {
        let me = self.table.me();
        if from.name == me.name {
            if from.stamp.incarnation != me.stamp.incarnation {
                self.apply_updates(now, &[alive(from.clone())], Forwarding::Gossip, effects);
                // It learns from the answer whose the name is.
                self.send(None, from.address, Kind::Gossip, effects);
            }
            return false;
        }
        if self.is_earlier_incarnation(from) {
            self.reject(Rejection::EarlierIncarnation);
            // A process that has just started does not know yet what came before it, and must hear of that from a member
            // that takes the earlier process to run still: as long as it does not, nothing that it sends is taken.
            let updates = self.table.update(&from.name).into_iter().collect();
            let packet = Packet { updates, ..self.packet(Kind::Gossip) };
            effects.push(Effect::Send { to: from.address, packet });
            return false;
        }
        self.apply_updates(now, &[alive(from.clone())], Forwarding::Gossip, effects);
        let member = self.table.get(&from.name);
        let is_current =
            member.is_some_and(|member| member.record.stamp.incarnation == from.stamp.incarnation);
        if is_current {
            self.note_received(now, &from.name);
        }
        is_current
    }

    /// Whether a sender is a process that another with its name has superseded.
    fn is_earlier_incarnation(&self, from: &MemberRecord) -> bool {
        let known = self.table.get(&from.name).map(|known| known.record.stamp);
        known.is_some_and(|known| known.incarnation != from.stamp.incarnation && known > from.stamp)
    }

    /// A member was received directly.
    fn note_received(&mut self, now: Micros, name: &Name) {
        let Some(member) = self.table.get(name) else { return };
        let (is_suspect, stamp) = (member.state == State::Suspect, member.record.stamp);
        let probe_interval = self.config.probe_interval;
        self.health.received(now);
        if self.peers.get_mut(name).is_some_and(|peer| std::mem::take(&mut peer.is_silent)) {
            self.health.ignored(now, probe_interval);
        }
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.received_at = Some(now);
        peer.reach.from_it = Some(true);
        let vouched_at = peer.vouched_at;
        if is_suspect && !self.config.is_plain_swim {
            self.restart_suspicion(now, name);
            if now.saturating_sub(vouched_at) >= probe_interval {
                self.vouch(now, name, stamp);
            }
        }
    }

    fn handle_ack(&mut self, now: Micros, seq: u32, from: &MemberRecord, effects: &mut Vec<Effect>) {
        if let Some(leaving) = &mut self.leaving {
            leaving.notified.insert(from.name.clone());
        }
        if self.probes.get(&seq).is_some_and(|probe| probe.name == from.name) {
            if let Some(probe) = self.probes.remove(&seq) {
                let digest = self.peers.get(&probe.name).and_then(|peer| peer.digest);
                if probe.stage == Stage::Compare && digest != Some(self.table.digest()) {
                    effects.push(Effect::Exchange { address: from.address });
                }
                return self.probe_succeeded(now, &probe, None);
            }
        }
        match self.relays.remove(&seq) {
            Some(relay) if relay.name == from.name => {
                self.answer_relay(&relay, CheckResult::Answered(from.clone()), effects);
            }
            _ if self.leaving.is_some() => {}
            _ => self.reject(Rejection::Unsolicited),
        }
    }

    pub(super) fn reject(&mut self, why: Rejection) {
        *self.rejected.entry(why).or_default() += 1;
    }
}

fn alive(record: MemberRecord) -> Update {
    Update { record, state: State::Alive, by: None }
}
