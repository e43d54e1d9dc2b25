//! Voter role of a process: grants the leader's lease, and keeps the roster in memory.

mod recovery;

use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::message::{Acceptance, Denial, Message, Promise, Proposal};
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use flaxhead_membership::{Micros, Name};
use recovery::ReceivedRecovery;
use std::collections::BTreeMap;

/// Leader's lease that this voter has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    /// Ballot of the candidate or leader to which the lease was granted.
    pub ballot: Ballot,
    /// End of the lease, by the voter's clock and extended by the maximum clock drift.
    pub expires_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter<T: ApplicationTypes> {
    pub recovery: RecoveryState,
    /// True if this voter loaded from disk everything that it stored before its restart. It then becomes
    /// `Recovered` at the end of the quarantine, without requests to other voters.
    pub was_recovered: bool,
    quarantined_until: Micros,
    next_recovery_at: Micros,
    /// Number of the last requests to other voters; responses must repeat it or an earlier one.
    nonce: u64,
    /// Last response of each other voter, while this one is recovering.
    responses: BTreeMap<Name, ReceivedRecovery<T>>,
    /// Highest ballot that this voter has promised; it accepts no lower one.
    pub promised: Option<Ballot>,
    lease: Option<GrantedLease>,
    pub roster: Roster,
}

impl<T: ApplicationTypes> Voter<T> {
    pub(crate) fn new(now: Micros, config: &Config) -> Self {
        let quarantined_until = now + config.quarantine();
        Voter {
            recovery: RecoveryState::Quarantined,
            was_recovered: false,
            quarantined_until,
            next_recovery_at: quarantined_until,
            nonce: 0,
            responses: BTreeMap::new(),
            promised: None,
            lease: None,
            roster: Roster::default(),
        }
    }

    /// Returns whether the voter may promise and accept ballots.
    pub(crate) fn may_vote(&self) -> bool {
        self.recovery.may_vote()
    }

    /// Time at which the quarantine ends or the next recovery requests are due; `Micros::MAX`: no timer is
    /// set.
    pub(crate) fn next_wake(&self) -> Micros {
        match self.recovery {
            RecoveryState::Quarantined => self.quarantined_until,
            RecoveryState::Recovering => self.next_recovery_at,
            RecoveryState::StateLost | RecoveryState::Recovered => Micros::MAX,
        }
    }

    /// Remaining time of the lease that this voter has granted, in microseconds; 0 if none is valid or it was
    /// granted under the ballot `except`.
    pub(crate) fn lease_left(&self, now: Micros, except: Option<&Ballot>) -> Micros {
        let lease = self.lease.as_ref().filter(|lease| Some(&lease.ballot) != except);
        lease.map_or(0, |lease| lease.expires_at.saturating_sub(now))
    }

    /// Handles the request of a candidate or leader to promise `ballot`. Returns the promise or the denial;
    /// `None`: the voter may not vote.
    pub(crate) fn prepare(
        &mut self,
        now: Micros,
        incarnation: u64,
        ballot: Ballot,
        state: Versioned<T::State>,
    ) -> Option<Message<T>> {
        if !self.may_vote() {
            return None;
        }
        let lease_left = self.lease_left(now, Some(&ballot));
        if lease_left > 0 || self.promised.as_ref().is_some_and(|promised| *promised > ballot) {
            return Some(self.denial(ballot, lease_left));
        }
        self.promised = Some(ballot.clone());
        Some(Message::Promised(Box::new(Promise {
            ballot,
            incarnation,
            recovery: self.recovery,
            roster: self.roster.clone(),
            state,
        })))
    }

    /// Handles a proposal to grant or extend the leader's lease. Returns the acceptance or the denial;
    /// `None`: the voter may not vote, or an earlier incarnation of it gave the promise, which is lost.
    pub(crate) fn accept(
        &mut self,
        now: Micros,
        config: &Config,
        incarnation: u64,
        proposal: Proposal,
    ) -> Option<Message<T>> {
        if !self.may_vote() || proposal.incarnation != incarnation {
            return None;
        }
        let Proposal { ballot, round, is_recovered, roster, .. } = proposal;
        let lease_left = self.lease_left(now, Some(&ballot));
        if lease_left > 0 || self.promised.as_ref() != Some(&ballot) {
            return Some(self.denial(ballot, lease_left));
        }
        let expires_at = now + Config::with_max_drift(config.lease_duration);
        self.lease = Some(GrantedLease { ballot: ballot.clone(), expires_at });
        if roster.version > self.roster.version {
            self.roster = roster;
        }
        if is_recovered {
            self.recovery = RecoveryState::Recovered;
        }
        let roster = self.roster.version.clone();
        Some(Message::Accepted(Acceptance { ballot, round, incarnation, roster }))
    }

    fn denial(&self, ballot: Ballot, lease_left: Micros) -> Message<T> {
        Message::Denied(Denial { ballot, promised: self.promised.clone(), lease_left })
    }
}
