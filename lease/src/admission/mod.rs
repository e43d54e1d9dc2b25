//! Wait of a started process for its admission: the queries that it sends to other processes, and what it
//! concludes from their replies.

mod reason;
mod reply_summary;

pub use reason::AdmissionReason;

use crate::config::Config;
use crate::recovery_state::RecoveryState;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use reply_summary::ReplySummary;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of processes with the complete state that a reply names. More than one, in case some of
/// them fail.
pub(crate) const MAX_NAMED_PEERS: usize = 3;
/// Maximum number of processes whose last reply is stored, to limit memory.
const MAX_REPLIES: usize = 64;
/// Number of rounds of queries per lease duration.
const QUERIES_PER_LEASE: Micros = 12;

/// Content of a reply to a process that waits for admission: what the replying process knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryStatus {
    /// Progress of the replying process's recovery as a voter; `None`: it is not a voter.
    pub voter: Option<RecoveryState>,
    /// True if the state of the replying process contains every committed change.
    pub has_complete_state: bool,
    /// True if the replying process holds a valid lease from the leader.
    pub has_lease: bool,
    /// Leader known to the replying process; `None`: it knows none.
    pub leader: Option<Name>,
    /// Other processes that recently reported a complete state to the replying process.
    pub peers_with_complete_state: BTreeSet<Name>,
}

/// Query that the machine must send to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Query {
    /// Name of the process to be queried.
    pub to: Name,
    /// True if the reply should include the state of the queried process.
    pub wants_state: bool,
}

/// Recovery of the local process as a voter, which counts like the reply of another voter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnVoter<'a> {
    /// Name of the local process.
    pub name: &'a Name,
    /// Progress of the recovery; `None`: the local process is not a voter.
    pub recovery: Option<RecoveryState>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reply {
    /// Time at which the query was sent, by the local clock. The reply describes this time or a later one.
    requested_at: Micros,
    status: RecoveryStatus,
}

impl Reply {
    /// Returns whether the query was sent within the last lease duration, so that the reply still counts.
    fn is_fresh(&self, now: Micros, config: &Config) -> bool {
        now.saturating_sub(self.requested_at) <= config.lease_duration
    }
}

/// State of a process's wait for admission: the queries sent, the last replies, and the conclusion from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AdmissionWait {
    started: Micros,
    /// Time at which the next round of queries is due.
    pub next_query_at: Micros,
    /// Number of rounds of queries so far.
    queries_sent: u64,
    /// Last reply of each process.
    replies: BTreeMap<Name, Reply>,
    /// Process that has sent its complete state to this one.
    state_from: Option<Name>,
    /// Reason for which the process waits or may serve, as of the last evaluation of the replies.
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

    /// Time between two rounds of queries, in microseconds.
    pub(crate) fn query_interval(config: &Config) -> Micros {
        (config.lease_duration / QUERIES_PER_LEASE).max(1)
    }

    /// Returns the queries of the next round: one to each voter, and one to a process with the complete state
    /// that asks for that state. If several processes have it, they take turns by round, because one state is
    /// enough.
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
        let peers = self.peers_with_complete_state();
        let index = usize::try_from(self.queries_sent).unwrap_or(usize::MAX) % peers.len().max(1);
        wants_state.extend(peers.into_iter().nth(index).map(|name| (name, true)));
        wants_state.remove(me);
        wants_state.into_iter().map(|(to, wants_state)| Query { to, wants_state }).collect()
    }

    /// Processes that have the complete state, by their own reply or according to another process's reply.
    fn peers_with_complete_state(&self) -> BTreeSet<Name> {
        let complete = self.replies.iter().filter(|(_, reply)| reply.status.has_complete_state);
        let reported = self.replies.values().flat_map(|reply| &reply.status.peers_with_complete_state);
        complete.map(|(name, _)| name).chain(reported).cloned().collect()
    }

    /// Stores a reply of the process `from`, unless a later one is known. `with_state` says whether it
    /// contained the state.
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

    /// Recovery state that the voter `name` reported within the last lease duration, or that of the local
    /// process under its own name; `None`: not known.
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

    /// Returns whether every voter reported within the last lease duration that it has not recovered, so that
    /// none of them knows the state.
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

    /// Updates [`AdmissionWait::reason`] from the replies so far. Returns whether the process may serve
    /// without admission.
    pub(crate) fn evaluate(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: OwnVoter<'_>,
    ) -> bool {
        let summary = ReplySummary::from_replies(self, now, config, voters, own);
        self.reason = summary.admission_reason(self.state_from.as_ref());
        self.reason.may_serve()
    }
}

#[cfg(test)]
mod tests;
