//! What is sent: updates on whatever goes out, digests to compare, full states.

use super::{Effect, Machine};
use crate::liveness::State;
use crate::name::Name;
use crate::packet::{Kind, Packet, Update};
use crate::probe::Stage;
use crate::Micros;
use std::net::SocketAddr;

/// Maximum size of all in a packet but updates: two records, a kind, a digest.
const MAX_OVERHEAD_BYTES: usize = 320;
/// Members up to which the full exchange keeps its interval; from there on that grows with the doublings.
const SYNC_SCALING_MEMBERS: usize = 32;
/// Draws for each member of a sample: most members run, so a few draws find as many as there are.
const DRAWS_PER_SAMPLE: usize = 8;

impl Machine {
    pub(super) fn gossip(&mut self, effects: &mut Vec<Effect>) {
        for name in self.sample(self.config.fanout) {
            let Some(to) = self.table.get(&name).map(|member| member.record.address) else { continue };
            self.send(Some(&name), to, Kind::Gossip, effects);
        }
    }

    pub(super) fn sync_interval(&self) -> Micros {
        let members = self.peers.len() + 1;
        let doublings = usize::BITS - (members / SYNC_SCALING_MEMBERS).leading_zeros();
        self.config.sync_interval * Micros::from(doublings.max(1))
    }

    /// Compares views with one member: its digest comes with its answer.
    pub(super) fn sync(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if let Some(name) = self.sample(1).first() {
            self.probe(now, name, Stage::Compare, false, effects);
        }
    }

    /// Draws members that run to send to; suspects among them, who must hear of it.
    pub(super) fn sample(&mut self, count: usize) -> Vec<Name> {
        self.sample_where(count, |machine, name| {
            let member = machine.table.get(name);
            member.is_some_and(|member| matches!(member.state, State::Alive | State::Suspect))
        })
    }

    /// Draws members that can probe another.
    pub(super) fn sample_relays(&mut self, count: usize, probed: &Name) -> Vec<Name> {
        self.sample_where(count, |machine, name| probed != name && machine.can_relay(name))
    }

    fn sample_where(&mut self, count: usize, is_good: impl Fn(&Machine, &Name) -> bool) -> Vec<Name> {
        let mut chosen: Vec<Name> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_SAMPLE {
            if chosen.len() >= count || self.ring.is_empty() {
                break;
            }
            let place = self.random_index(self.ring.len());
            let Some(name) = self.ring.get(place) else { break };
            if is_good(self, name) && !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
        chosen
    }

    /// Sends a packet, with as many updates as fit.
    pub(super) fn send(
        &mut self,
        name: Option<&Name>,
        to: SocketAddr,
        kind: Kind,
        effects: &mut Vec<Effect>,
    ) {
        let mut updates = Vec::new();
        if self.leaving.is_some() {
            updates.extend(self.table.update(&self.table.me().name));
        }
        // A receiver that is not taken to run is told so first of all, so that it can refute it.
        let receiver = name.and_then(|name| self.table.get(name));
        let receiver = receiver.filter(|member| member.state != State::Alive);
        updates.extend(receiver.and_then(|member| self.table.update(&member.record.name)));
        let used: usize = updates.iter().map(Update::max_bytes).sum();
        let max_bytes = self.config.max_packet_bytes.saturating_sub(MAX_OVERHEAD_BYTES);
        updates.extend(self.queue.take(max_bytes.saturating_sub(used)));
        effects.push(Effect::Send { to, packet: Packet { updates, ..self.packet(kind) } });
    }

    /// A packet without updates, for a question or an answer over a connection.
    pub fn packet(&self, kind: Kind) -> Packet {
        Packet { from: self.table.me().clone(), digest: self.table.digest(), kind, updates: Vec::new() }
    }

    /// All that is known, for a full exchange.
    pub fn full_state(&self) -> Packet {
        let me = &self.table.me().name;
        let names = self.table.iter().map(|member| &member.record.name).filter(|name| *name != me);
        let updates = names.filter_map(|name| self.table.update(name)).collect();
        Packet { updates, ..self.packet(Kind::Gossip) }
    }
}
