//! State that the local process has applied, and the lease that the leader has granted to it.

use crate::admission::{AdmissionReason, AdmissionWait};
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::types::{ApplicationTypes, ReplicatedState};
use flaxhead_membership::Micros;

/// Stage of a process's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionStatus {
    /// Waiting for admission since the start; the process must not serve yet.
    Pending,
    /// Admitted: a leader has put the process on the roster and granted it a lease.
    Admitted,
    /// Serving without admission, because no leader can be expected; [`AdmissionReason`] says why.
    Autonomous,
}

impl AdmissionStatus {
    /// Name of the stage on the status pages, which must not change.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            AdmissionStatus::Pending => "waits",
            AdmissionStatus::Admitted => "admitted",
            AdmissionStatus::Autonomous => "alone",
        }
    }
}

/// Result of comparing a received ballot with the highest one that the process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BallotCheck {
    /// Lower than the highest known ballot: messages under it are ignored.
    Stale,
    /// Equal to the highest known ballot.
    Current,
    /// Higher than the highest known ballot, and recorded in its place.
    Raised,
}

/// State that the local process has applied, and the lease that the leader has granted to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalReplica<T: ApplicationTypes> {
    /// Queries, replies and conclusions of the process while it waits for admission.
    pub(crate) admission_wait: AdmissionWait,
    /// True if the process may serve without admission. Stays true once it is set.
    pub(crate) is_autonomous: bool,
    /// True if `state` contains every committed change: it came from a leader with the complete state, or
    /// from another process that has it.
    pub(crate) has_complete_state: bool,
    pub(crate) state: Versioned<T::State>,
    /// Time at which the durations in `state` were exact, by the local clock.
    state_as_of: Micros,
    pub(crate) highest_ballot: Option<Ballot>,
    pub(crate) is_admitted: bool,
    pub(crate) lease_expiry: Micros,
}

impl<T: ApplicationTypes> LocalReplica<T> {
    pub(crate) fn new(now: Micros) -> Self {
        LocalReplica {
            admission_wait: AdmissionWait::new(now),
            is_autonomous: false,
            has_complete_state: false,
            state: Versioned::default(),
            state_as_of: now,
            highest_ballot: None,
            is_admitted: false,
            lease_expiry: 0,
        }
    }

    /// State that the process has applied. The durations in it are those at the time of receipt;
    /// [`LocalReplica::current_state`] advances them.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// State that the process has applied, with its durations advanced to `now`.
    pub fn current_state(&self, now: Micros) -> Versioned<T::State> {
        let mut state = self.state.clone();
        state.state.advance(now.saturating_sub(self.state_as_of));
        state
    }

    /// Highest ballot that the process knows; `None`: none. The process ignores messages under lower ballots.
    pub fn highest_ballot(&self) -> Option<&Ballot> {
        self.highest_ballot.as_ref()
    }

    /// Returns whether a leader has granted the process a lease since it started.
    pub fn is_admitted(&self) -> bool {
        self.is_admitted
    }

    /// End of the lease that the leader granted to the process, by the local clock; in the past if none is
    /// valid.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// Compares a ballot with the highest one that the process knows, and records it if it is higher.
    pub(crate) fn observe_ballot(&mut self, ballot: &Ballot) -> BallotCheck {
        if self.highest_ballot.as_ref().is_some_and(|own| own > ballot) {
            return BallotCheck::Stale;
        }
        if self.highest_ballot.as_ref() == Some(ballot) {
            return BallotCheck::Current;
        }
        self.highest_ballot = Some(ballot.clone());
        BallotCheck::Raised
    }

    /// Replaces the state by `state`. Returns false, without a change, if the current state is newer.
    pub(crate) fn apply(&mut self, now: Micros, state: Versioned<T::State>) -> bool {
        if state.version < self.state.version {
            return false;
        }
        self.state = state;
        self.state_as_of = now;
        true
    }

    /// Records a lease that the leader granted to this process at its request of `requested_at`.
    /// `leader_knows_state` says whether the leader's state is complete.
    ///
    /// Returns false, without recording the lease, if the process still waits for admission and the leader's
    /// state is not complete. The process would otherwise begin to serve with an incomplete state.
    pub(crate) fn take_lease(
        &mut self,
        requested_at: Micros,
        leader_knows_state: bool,
        config: &Config,
    ) -> bool {
        if !(self.is_admitted || leader_knows_state || self.is_autonomous) {
            return false;
        }
        self.is_admitted = true;
        self.has_complete_state |= leader_knows_state;
        self.admission_wait.reason = AdmissionReason::Admitted;
        self.lease_expiry = self.lease_expiry.max(requested_at + config.lease_duration);
        true
    }

    /// Merges the complete state of another process into the state of this one.
    pub(crate) fn merge(&mut self, now: Micros, other: Versioned<T::State>) {
        let mut own = self.current_state(now);
        if other.version > own.version {
            let older = std::mem::replace(&mut own, other);
            own.state.merge(&older.state);
        } else {
            own.state.merge(&other.state);
        }
        self.state = own;
        self.state_as_of = now;
    }

    /// Stage of the admission, derived from the recorded lease and conclusions.
    pub(crate) fn admission_status(&self) -> AdmissionStatus {
        match (self.is_admitted, self.is_autonomous) {
            (true, _) => AdmissionStatus::Admitted,
            (false, true) => AdmissionStatus::Autonomous,
            (false, false) => AdmissionStatus::Pending,
        }
    }
}
