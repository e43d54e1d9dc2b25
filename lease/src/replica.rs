//! The part of every process: the state that it has applied, and its lease.

use crate::admission::{AdmissionReason, AdmissionWait};
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::types::{ApplicationTypes, ReplicatedState};
use flaxhead_membership::Micros;

/// Whether a process was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionStatus {
    /// It started and does not know the state yet.
    Pending,
    /// It is on the roster.
    Admitted,
    /// It serves without having been admitted, by the state that it has: [`AdmissionReason`] says why.
    Autonomous,
}

impl AdmissionStatus {
    /// The word that the side port has for it.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            AdmissionStatus::Pending => "waits",
            AdmissionStatus::Admitted => "admitted",
            AdmissionStatus::Autonomous => "alone",
        }
    }
}

/// How a ballot that was heard of compares with the highest one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceCheck {
    /// It is lower: nothing under it counts any more.
    Stale,
    /// It is the highest.
    Current,
    /// It is higher, and is the highest from now on.
    Raised,
}

/// One process as a participant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalReplica<T: ApplicationTypes> {
    /// What it has learned while it waits for admission.
    pub(crate) wait: AdmissionWait,
    /// It serves without having been admitted.
    pub(crate) is_autonomous: bool,
    /// Its state is complete: a leader that knew it admitted this process, or a process with the complete state sent it.
    pub(crate) has_complete_state: bool,
    pub(crate) state: Versioned<T::State>,
    /// The time at which the spans in the state are exact.
    state_as_of: Micros,
    pub(crate) highest_ballot: Option<Ballot>,
    pub(crate) is_admitted: bool,
    pub(crate) lease_expiry: Micros,
}

impl<T: ApplicationTypes> LocalReplica<T> {
    pub(crate) fn new(now: Micros) -> Self {
        LocalReplica {
            wait: AdmissionWait::new(now),
            is_autonomous: false,
            has_complete_state: false,
            state: Versioned::default(),
            state_as_of: now,
            highest_ballot: None,
            is_admitted: false,
            lease_expiry: 0,
        }
    }

    /// The state that it has applied, its spans as they were when it came.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// The state that it has applied, its spans as they are now.
    pub fn current_state(&self, now: Micros) -> Versioned<T::State> {
        let mut state = self.state.clone();
        state.state.advance(now.saturating_sub(self.state_as_of));
        state
    }

    /// The highest ballot that it has heard of: it accepts nothing under a lower one.
    pub fn highest_ballot(&self) -> Option<&Ballot> {
        self.highest_ballot.as_ref()
    }

    /// Whether a leader that knows the state has admitted it.
    pub fn is_admitted(&self) -> bool {
        self.is_admitted
    }

    /// When its lease ends, by its own clock; a moment in the past where it holds none.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// Takes note of a ballot.
    pub(crate) fn observe_fence(&mut self, fence: &Ballot) -> FenceCheck {
        if self.highest_ballot.as_ref().is_some_and(|own| own > fence) {
            return FenceCheck::Stale;
        }
        if self.highest_ballot.as_ref() == Some(fence) {
            return FenceCheck::Current;
        }
        self.highest_ballot = Some(fence.clone());
        FenceCheck::Raised
    }

    /// Applies a state of the leader whose fence counts. Returns whether it was no older than the one before.
    pub(crate) fn apply(&mut self, now: Micros, state: Versioned<T::State>) -> bool {
        if state.version < self.state.version {
            return false;
        }
        self.state = state;
        self.state_as_of = now;
        true
    }

    /// Takes a lease that it asked for at `requested_at`. Before it was admitted it takes one only of a leader that
    /// `is_recovered`. Returns whether it was taken.
    pub(crate) fn take_lease(&mut self, requested_at: Micros, is_recovered: bool, config: &Config) -> bool {
        if !(self.is_admitted || is_recovered || self.is_autonomous) {
            return false;
        }
        self.is_admitted = true;
        self.has_complete_state |= is_recovered;
        self.wait.reason = AdmissionReason::Admitted;
        self.lease_expiry = self.lease_expiry.max(requested_at + config.lease_duration);
        true
    }

    /// Merges the complete state of another process into its own.
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

    /// Whether it was admitted.
    pub(crate) fn admission_status(&self) -> AdmissionStatus {
        match (self.is_admitted, self.is_autonomous) {
            (true, _) => AdmissionStatus::Admitted,
            (false, true) => AdmissionStatus::Autonomous,
            (false, false) => AdmissionStatus::Pending,
        }
    }
}
