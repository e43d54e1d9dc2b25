//! What is sent: updates on whatever goes out, views compared, whole views.

use super::{Effect, Machine};
use crate::name::Name;
use crate::packet::{Kind, Packet, Update};
use crate::probe::Stage;
use crate::table::State;
use crate::Micros;
use std::net::SocketAddr;

/// Bytes of a packet that are no updates, at the most: two cards, a kind, a digest.
const MAX_OVERHEAD_BYTES: usize = 320;
/// Members up to which the full exchange keeps its pace; from there on it grows with the doublings.
const SYNC_SCALING_MEMBERS: usize = 32;

impl Machine {
    pub(super) fn gossip(&mut self, out: &mut Vec<Effect>) {
        for name in self.sample(self.config.fanout, None) {
            let Some(to) = self.table.get(&name).map(|m| m.record.address) else { continue };
            self.send(Some(&name), to, Kind::Gossip, out);
        }
    }

    pub(super) fn sync_every(&self) -> Micros {
        let members = self.peers.len() + 1;
        let doublings = (usize::BITS - (members / SYNC_SCALING_MEMBERS).leading_zeros()).max(1);
        self.config.sync_interval * Micros::from(doublings)
    }

    /// Compares views with one member: its digest comes with its answer.
    pub(super) fn sync(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if let Some(name) = self.sample(1, None).first() {
            self.probe(now, name, Stage::Compare, false, out);
        }
    }

    /// Members to send to, drawn; suspects among them, who must hear of it.
    pub(super) fn sample(&mut self, count: usize, but: Option<&Name>) -> Vec<Name> {
        let len = self.ring.len() as u64;
        let mut chosen: Vec<Name> = Vec::with_capacity(count);
        // Most are up: a few draws find as many as there are.
        for _ in 0..count * 8 {
            if chosen.len() >= count || len == 0 {
                break;
            }
            let place = self.below(len) as usize;
            let Some(name) = self.ring.get(place) else { break };
            let member = self.table.get(name);
            let up = member.is_some_and(|m| matches!(m.state, State::Alive | State::Suspect));
            let good = match but {
                Some(but) => but != name && self.can_relay(name),
                None => up,
            };
            if good && !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
        chosen
    }

    pub(super) fn send(&mut self, name: Option<&Name>, to: SocketAddr, kind: Kind, out: &mut Vec<Effect>) {
        let mut room = self.config.max_packet_bytes.saturating_sub(MAX_OVERHEAD_BYTES);
        let mut updates = Vec::new();
        if self.leaving.is_some() {
            updates.extend(self.table.update(&self.table.me().name));
        }
        // One that is not taken to run is told first of all, so that it can say that it does.
        let told = name.and_then(|name| self.table.get(name)).filter(|m| m.state != State::Alive);
        let told = told.and_then(|m| self.table.update(&m.record.name));
        updates.extend(told);
        room = room.saturating_sub(updates.iter().map(Update::bytes).sum());
        updates.extend(self.queue.take(room));
        out.push(Effect::Send { to, packet: Packet { updates, ..self.packet(kind) } });
    }

    /// A packet that says nothing of others, for a question or an answer over a connection.
    pub fn packet(&self, kind: Kind) -> Packet {
        Packet { from: self.table.me().clone(), digest: self.table.digest(), kind, updates: Vec::new() }
    }

    /// All that is known, for a full exchange.
    pub fn full_state(&self) -> Packet {
        let me = &self.table.me().name;
        let names = self.table.iter().map(|m| &m.record.name).filter(|name| *name != me);
        let updates = names.filter_map(|name| self.table.update(name)).collect();
        Packet { updates, ..self.packet(Kind::Gossip) }
    }
}
