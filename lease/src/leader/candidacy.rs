//! Candidacy of a voter for the leader's lease.

use crate::ballot::{Ballot, Versioned};
use crate::message::Promise;
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::{ApplicationTypes, ReplicatedState};
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Attempt of a voter to become the leader: it requests promises, then proposes the lease to the voters that
/// have promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Candidacy<T: ApplicationTypes> {
    pub ballot: Ballot,
    /// Start of the candidacy, by the local clock. The duration of the leader's lease counts from it.
    pub started: Micros,
    /// Promises received, by the name of the voter.
    pub promises: BTreeMap<Name, Promise<T>>,
    /// Voters that have accepted the proposal and so granted the leader's lease.
    pub grants: BTreeSet<Name>,
    /// True once a majority of voters has promised and the candidate has sent its proposals.
    pub is_proposed: bool,
}

impl<T: ApplicationTypes> Candidacy<T> {
    pub(crate) fn new(ballot: Ballot, started: Micros) -> Candidacy<T> {
        Candidacy { ballot, started, promises: BTreeMap::new(), grants: BTreeSet::new(), is_proposed: false }
    }

    /// Returns whether a majority of all voters has both promised and recovered. Together they know each
    /// roster and state that a majority stored.
    pub(super) fn is_recovered(&self, voters: &Voters) -> bool {
        let has_recovered = |promise: &Promise<T>| promise.recovery == RecoveryState::Recovered;
        voters.has_majority(|name| self.promises.get(name).is_some_and(has_recovered))
    }

    /// Returns the newest state among the promises and the candidate's own state `own`. If not
    /// `is_recovered`, merges all other states into it, because each may contain committed changes that the
    /// newest lacks.
    pub(super) fn newest_state(&self, own: &Versioned<T::State>, is_recovered: bool) -> Versioned<T::State> {
        let states = || self.promises.values().map(|promise| &promise.state).chain([own]);
        let newest = states().max_by(|a, b| a.version.cmp(&b.version));
        let mut newest = newest.cloned().unwrap_or_default();
        if !is_recovered {
            for other in states() {
                newest.state.merge(&other.state);
            }
        }
        newest
    }

    /// Returns the newest roster among the promises. Older ones are not needed, because each leader's roster
    /// continues the newest one that it received.
    pub(super) fn newest_roster(&self) -> Roster {
        Roster::newest(self.promises.values().map(|promise| &promise.roster))
    }
}
