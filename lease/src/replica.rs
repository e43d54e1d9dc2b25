//! Applied state and lease of the local process.

use crate::admission::{AdmissionReason, AdmissionWait};
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::types::{ApplicationTypes, ReplicatedState};
use flaxhead_membership::Micros;

/// Admission of a process by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionStatus {
    /// Started, without knowing the state.
    Pending,
    /// Admitted by a leader; the process is on the roster.
    Admitted,
    /// Serving without admission, for a reason given by [`AdmissionReason`].
    Autonomous,
}

impl AdmissionStatus {
    /// Name on the status pages.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            AdmissionStatus::Pending => "waits",
            AdmissionStatus::Admitted => "admitted",
            AdmissionStatus::Autonomous => "alone",
        }
    }
}

/// Comparison of a received ballot with the highest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BallotCheck {
    /// Lower: messages under it are ignored.
    Stale,
    /// Equal to the highest known one.
    Current,
    /// Higher: it replaces the highest known one.
    Raised,
}

/// Applied state and lease of the local process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalReplica<T: ApplicationTypes> {
    /// Queries, replies and conclusions of the process while it waits for its admission.
    pub(crate) admission_wait: AdmissionWait,
    /// True if the process serves without admission.
    pub(crate) is_autonomous: bool,
    /// True if the state contains every committed change: it came from a leader that knew it, or from a
    /// process whose state is complete.
    pub(crate) has_complete_state: bool,
    pub(crate) state: Versioned<T::State>,
    /// Time at which the durations in the state were exact.
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

    /// Applied state, with its durations as received.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// Applied state, with its durations advanced to `now`.
    pub fn current_state(&self, now: Micros) -> Versioned<T::State> {
        let mut state = self.state.clone();
        state.state.advance(now.saturating_sub(self.state_as_of));
        state
    }

    /// Highest ballot known to the process, which ignores messages under a lower one.
    pub fn highest_ballot(&self) -> Option<&Ballot> {
        self.highest_ballot.as_ref()
    }

    /// Returns whether a leader that knows the state has admitted the process.
    pub fn is_admitted(&self) -> bool {
        self.is_admitted
    }

    /// End of the lease, by the local clock; a time in the past if the process holds none.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// Compares a ballot with the highest known one, and replaces that if it is lower.
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

    /// Applies a state. Returns false if the current one is newer.
    pub(crate) fn apply(&mut self, now: Micros, state: Versioned<T::State>) -> bool {
        if state.version < self.state.version {
            return false;
        }
        self.state = state;
        self.state_as_of = now;
        true
    }

    /// Takes the lease that was requested at `requested_at`. Returns false if the process still waits for its
    /// admission and the leader does not know the complete state, because the process could then serve with
    /// an incomplete state.
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

    /// Merges the complete state of another process.
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

    /// Admission status of the process.
    pub(crate) fn admission_status(&self) -> AdmissionStatus {
        match (self.is_admitted, self.is_autonomous) {
            (true, _) => AdmissionStatus::Admitted,
            (false, true) => AdmissionStatus::Autonomous,
            (false, false) => AdmissionStatus::Pending,
        }
    }
}
