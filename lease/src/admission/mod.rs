//! How a process that started waits for its admission: whom it queries, and what it may conclude from the replies. A wait
//! lasts only while it can change the answer.

mod evidence;
mod reason;

pub use reason::AdmissionReason;

use crate::config::Config;
use crate::recovery_state::RecoveryState;
use crate::voters::Voters;
use evidence::Evidence;
use flaxhead_membership::{Micros, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of processes with the complete state that a reply names: one is enough, the others are for its death.
pub(crate) const MAX_INFORMED_PEERS: usize = 3;
/// Maximum number of replies that are stored.
const MAX_REPLIES: usize = 64;
/// Queries within the duration of a lease.
const QUERIES_PER_LEASE: Micros = 12;

/// What a process tells one that waits for admission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryStatus {
    /// As a voter, how far it has recovered; `None`: it is no voter.
    pub voter: Option<RecoveryState>,
    /// Its state is complete.
    pub has_complete_state: bool,
    /// It holds a lease now.
    pub has_lease: bool,
    /// The leader, as far as it knows.
    pub leader: Option<Name>,
    /// Others that recently reported that their state is complete.
    pub peers_with_complete_state: BTreeSet<Name>,
}

/// A query that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Query {
    /// To whom.
    pub to: Name,
    /// Whether the process's state is asked for as well.
    pub wants_state: bool,
}

/// This process as a voter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnVoter<'a> {
    /// Its name.
    pub name: &'a Name,
    /// How far it has recovered; `None`: it is no voter.
    pub recovery: Option<RecoveryState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reply {
    /// When it was asked for: what it says was so at that time or later.
    requested_at: Micros,
    status: RecoveryStatus,
}

impl Reply {
    /// Whether it was asked for within the duration of a lease.
    fn is_fresh(&self, now: Micros, config: &Config) -> bool {
        now.saturating_sub(self.requested_at) <= config.lease_duration
    }
}

/// The wait of a process for its admission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AdmissionWait {
    started: Micros,
    /// When it queries next.
    pub next_query_at: Micros,
    queries_sent: u64,
    replies: BTreeMap<Name, Reply>,
    /// The process whose complete state it took.
    state_from: Option<Name>,
    /// What it waits for, by its last evaluation.
    pub reason: AdmissionReason,
}

impl AdmissionWait {
    pub(crate) fn new(now: Micros) -> AdmissionWait {
        AdmissionWait {
            started: now,
            next_query_at: now,
            queries_sent: 0,
            replies: BTreeMap::new(),
            state_from: None,
            reason: AdmissionReason::AwaitingReply,
        }
    }

    /// The time between two rounds of queries.
    pub(crate) fn query_interval(config: &Config) -> Micros {
        (config.lease_duration / QUERIES_PER_LEASE).max(1)
    }

    /// The queries to send now: to all voters, and to one process with the complete state for that. One state is enough,
    /// so these processes are asked in turn.
    pub(crate) fn next_queries(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        me: &Name,
    ) -> Vec<Query> {
        self.queries_sent += 1;
        self.replies.retain(|_, reply| reply.is_fresh(now, config));
        let mut wants_state: BTreeMap<Name, bool> = voters.iter().map(|name| (name.clone(), false)).collect();
        let informed = self.peers_with_complete_state();
        let place = usize::try_from(self.queries_sent).unwrap_or(usize::MAX) % informed.len().max(1);
        wants_state.extend(informed.into_iter().nth(place).map(|name| (name, true)));
        wants_state.remove(me);
        wants_state.into_iter().map(|(to, wants_state)| Query { to, wants_state }).collect()
    }

    /// The processes with the complete state, by their own reply or another's.
    fn peers_with_complete_state(&self) -> BTreeSet<Name> {
        let complete = self.replies.iter().filter(|(_, reply)| reply.status.has_complete_state);
        let named = self.replies.values().flat_map(|reply| &reply.status.peers_with_complete_state);
        complete.map(|(name, _)| name).chain(named).cloned().collect()
    }

    /// Takes a reply, which came with the state or without.
    pub(crate) fn record_reply(
        &mut self,
        from: &Name,
        requested_at: Micros,
        status: RecoveryStatus,
        with_state: bool,
    ) {
        if with_state && status.has_complete_state {
            self.state_from = Some(from.clone());
        }
        if self.replies.len() >= MAX_REPLIES && !self.replies.contains_key(from) {
            return;
        }
        let is_newest = self.replies.get(from).is_none_or(|reply| reply.requested_at <= requested_at);
        if is_newest {
            self.replies.insert(from.clone(), Reply { requested_at, status });
        }
    }

    /// How far a voter, this process too, had recovered by its reply within the duration of a lease.
    fn voter_recovery(
        &self,
        now: Micros,
        config: &Config,
        own: OwnVoter<'_>,
        name: &Name,
    ) -> Option<RecoveryState> {
        if name == own.name {
            return own.recovery;
        }
        self.replies.get(name).filter(|reply| reply.is_fresh(now, config))?.status.voter
    }

    /// Whether every voter has replied within the duration of a lease that it has not recovered: nobody can say what the
    /// state was.
    pub(crate) fn all_voters_lost_state(
        &self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: OwnVoter<'_>,
    ) -> bool {
        let is_lost = |name: &Name| {
            let recovery = self.voter_recovery(now, config, own, name);
            recovery.is_some_and(|recovery| recovery < RecoveryState::Recovered)
        };
        voters.iter().all(is_lost)
    }

    /// Draws its conclusion from the replies so far. Returns whether the process may serve without being admitted.
    pub(crate) fn evaluate(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: OwnVoter<'_>,
    ) -> bool {
        let evidence = Evidence::gather(self, now, config, voters, own);
        self.reason = evidence.conclusion(self.state_from.as_ref());
        self.reason.may_serve()
    }
}

#[cfg(test)]
mod tests;
