//! Whom a process asks for other members: contacts at which no member is known, and members that are gone.

use super::{Effect, Machine};
use crate::liveness::State;
use crate::name::Name;
use crate::probe::Stage;
use crate::table::Member;
use crate::Micros;
use std::net::SocketAddr;

/// Doublings of the backoff between attempts to join.
const MAX_JOIN_DOUBLINGS: u32 = 3;
/// The same where other members are known, and a contact is not: it may be gone for good, or no member's own address.
const MAX_UNMET_DOUBLINGS: u32 = 7;

impl Machine {
    /// The contacts at which no member is known. Each is asked until one is: a contact that others come to first knows them,
    /// and would ask no other contact; so those that start together could part into groups that never meet.
    pub(super) fn unmet_contacts(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let is_met =
            |address: &SocketAddr| self.table.others().any(|member| member.record.address == *address);
        self.contacts.iter().copied().filter(move |address| !is_met(address))
    }

    pub(super) fn wants_contact(&self) -> bool {
        self.leaving.is_none() && self.unmet_contacts().next().is_some()
    }

    /// Asks one of the contacts, and schedules the next attempt.
    pub(super) fn join(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let unmet: Vec<SocketAddr> = self.unmet_contacts().collect();
        let place = self.random_index(unmet.len());
        let doublings = match self.table.others().next() {
            None => self.join_attempts.min(MAX_JOIN_DOUBLINGS),
            Some(_) => self.unmet_attempts.min(MAX_UNMET_DOUBLINGS),
        };
        let backoff = self.config.probe_interval << doublings;
        self.join_attempts += 1;
        self.unmet_attempts = self.unmet_attempts.saturating_add(1);
        self.timers.join = now + backoff / 2 + self.random_below(backoff);
        effects.extend(unmet.get(place).map(|&address| Effect::Exchange { address }));
    }

    /// Pings a dead member, in case it is back: so a partition that has healed is found out. Members that have been gone
    /// for long are removed.
    pub(super) fn reconnect(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.remove_expired(now);
        let is_dead = |member: &&Member| member.state == State::Dead;
        let dead: Vec<Name> =
            self.table.iter().filter(is_dead).map(|member| member.record.name.clone()).collect();
        let place = self.random_index(dead.len());
        if let Some(name) = dead.get(place) {
            self.probe(now, name, Stage::Reconnect, false, effects);
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        let has_expired = |member: &&Member| {
            let since = self.peers.get(&member.record.name).map(|peer| peer.since);
            since.is_some_and(|since| now.saturating_sub(since) >= self.config.retention)
        };
        let gone = self.table.iter().filter(|member| matches!(member.state, State::Dead | State::Left));
        let expired: Vec<Name> = gone.filter(has_expired).map(|member| member.record.name.clone()).collect();
        for name in expired {
            self.table.remove(&name);
            self.peers.remove(&name);
        }
    }
}
