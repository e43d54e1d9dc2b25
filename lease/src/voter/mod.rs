//! The part of a voter: it grants leases, and stores the roster for as long as its process lives.

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

/// A lease that a voter has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedLease {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// When it ends, by the voter's clock and with all drift.
    pub until: Micros,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter<T: ApplicationTypes> {
    pub recovery: RecoveryState,
    /// Its disk says that the process before it had recovered: it is quarantined for the leases alone.
    pub was_recovered: bool,
    quarantined_until: Micros,
    next_recovery_at: Micros,
    nonce: u64,
    responses: BTreeMap<Name, ReceivedRecovery<T>>,
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

    /// Whether it may vote.
    pub(crate) fn may_vote(&self) -> bool {
        self.recovery.may_vote()
    }

    /// When it has something to do by time alone.
    pub(crate) fn next_wake(&self) -> Micros {
        match self.recovery {
            RecoveryState::Quarantined => self.quarantined_until,
            RecoveryState::Recovering => self.next_recovery_at,
            RecoveryState::StateLost | RecoveryState::Recovered => Micros::MAX,
        }
    }

    /// How long the lease that it has granted still runs; 0 where that is the lease of `except`.
    pub(crate) fn lease_left(&self, now: Micros, except: Option<&Ballot>) -> Micros {
        let lease = self.lease.as_ref().filter(|lease| Some(&lease.ballot) != except);
        lease.map_or(0, |lease| lease.until.saturating_sub(now))
    }

    /// Answers a candidate. `None`: it may not vote.
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

    /// Answers a proposal to the process with this incarnation. `None`: it may not vote, or the proposal is for an earlier
    /// process, with which its promise is gone.
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
        let until = now + Config::with_max_drift(config.lease_duration);
        self.lease = Some(GrantedLease { ballot: ballot.clone(), until });
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
