//! Who is asked for others: contacts at which no member is known, and members that are gone.

use super::{Effect, Machine};
use crate::name::Name;
use crate::probe::Stage;
use crate::table::State;
use crate::Micros;
use std::net::SocketAddr;

/// Tries to join double their pause up to this many times.
const JOIN_DOUBLINGS: u32 = 3;
/// The same where others are known, and a contact is not: it may be gone for good, or no member's own address.
const UNMET_DOUBLINGS: u32 = 7;

impl Machine {
    /// Contacts at which no member is known. Each is asked until one is: a contact that others come to first knows
    /// them, and would ask no other contact; so those that start together could part into groups that never meet.
    pub(super) fn unmet(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let met = |at: &SocketAddr| self.table.others().any(|member| member.record.address == *at);
        self.contacts.iter().copied().filter(move |at| !met(at))
    }

    pub(super) fn wants_contact(&self) -> bool {
        self.leaving.is_none() && self.unmet().next().is_some()
    }

    pub(super) fn join(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let unmet: Vec<SocketAddr> = self.unmet().collect();
        let place = self.below(unmet.len() as u64) as usize;
        let doublings = match self.table.others().next() {
            None => self.join_tries.min(JOIN_DOUBLINGS),
            Some(_) => self.unmet_tries.min(UNMET_DOUBLINGS),
        };
        let wait = self.config.probe_interval << doublings;
        self.join_tries += 1;
        self.unmet_tries = self.unmet_tries.saturating_add(1);
        self.timers.join = now + wait / 2 + self.below(wait);
        out.extend(unmet.get(place).map(|&at| Effect::Exchange { address: at }));
    }

    /// Asks one that is gone whether it is back: a cut that has healed is found out so.
    pub(super) fn reconnect(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let keep = self.config.retention;
        let is = |m: &&crate::Member, state| m.state == state;
        let gone = self.table.iter().filter(|m| is(m, State::Dead) || is(m, State::Left));
        let old = |m: &&crate::Member| {
            self.peers.get(&m.record.name).is_some_and(|peer| now.saturating_sub(peer.since) >= keep)
        };
        let old: Vec<Name> = gone.filter(old).map(|m| m.record.name.clone()).collect();
        for name in old {
            self.table.remove(&name);
            self.peers.remove(&name);
        }
        let dead: Vec<Name> =
            self.table.iter().filter(|m| is(m, State::Dead)).map(|m| m.record.name.clone()).collect();
        let place = self.below(dead.len() as u64) as usize;
        if let Some(name) = dead.get(place) {
            self.probe(now, name, Stage::Reconnect, false, out);
        }
    }
}
