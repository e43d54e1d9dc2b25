//! Attempt of a voter to become the leader.

use crate::ballot::{Ballot, Versioned};
use crate::message::Promise;
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::{ApplicationTypes, ReplicatedState};
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Attempt of a voter to become the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Candidacy<T: ApplicationTypes> {
    pub ballot: Ballot,
    /// Start of the candidacy, from which the lease is counted.
    pub started: Micros,
    pub promises: BTreeMap<Name, Promise<T>>,
    /// Voters that have granted the lease.
    pub grants: BTreeSet<Name>,
    /// True once a majority has promised and the lease was proposed.
    pub is_proposed: bool,
}

impl<T: ApplicationTypes> Candidacy<T> {
    pub(crate) fn new(ballot: Ballot, started: Micros) -> Candidacy<T> {
        Candidacy { ballot, started, promises: BTreeMap::new(), grants: BTreeSet::new(), is_proposed: false }
    }

    /// Returns whether the promising voters include a majority that has recovered, which together knows
    /// everything that a majority stored.
    pub(super) fn is_recovered(&self, voters: &Voters) -> bool {
        let has_recovered = |promise: &Promise<T>| promise.recovery == RecoveryState::Recovered;
        voters.has_majority(|name| self.promises.get(name).is_some_and(has_recovered))
    }

    /// Returns the newest state of the promises and of the candidate (`own`). If not `is_recovered`, all the
    /// other states are merged into it.
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

    /// Returns the newest roster of the promises. A roster that a majority stores is complete, so older ones
    /// are not needed.
    pub(super) fn newest_roster(&self) -> Roster {
        Roster::newest(self.promises.values().map(|promise| &promise.roster))
    }
}
