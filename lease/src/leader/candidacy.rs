//! An attempt to become the leader.

use crate::ballot::{Ballot, Versioned};
use crate::message::Promise;
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::{ApplicationTypes, ReplicatedState};
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt to become the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Candidacy<T: ApplicationTypes> {
    pub ballot: Ballot,
    /// When it began: the lease counts from here.
    pub started: Micros,
    pub promises: BTreeMap<Name, Promise<T>>,
    /// The voters that have granted the lease.
    pub grants: BTreeSet<Name>,
    /// A majority has promised, and the lease was proposed.
    pub is_proposed: bool,
}

impl<T: ApplicationTypes> Candidacy<T> {
    pub(crate) fn new(ballot: Ballot, started: Micros) -> Candidacy<T> {
        Candidacy { ballot, started, promises: BTreeMap::new(), grants: BTreeSet::new(), is_proposed: false }
    }

    /// Whether a majority of the voters that promised had recovered: together they know all that a majority knew.
    pub(super) fn is_recovered(&self, voters: &Voters) -> bool {
        let has_recovered = |promise: &Promise<T>| promise.recovery == RecoveryState::Recovered;
        voters.has_majority(|name| self.promises.get(name).is_some_and(has_recovered))
    }

    /// The newest of the states that came with the promises, and the candidate's `own`. Unless it `is_recovered`, all
    /// that any of them holds is merged into it.
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

    /// The newest of the rosters that came with the promises. What a majority has of the last leader's roster is all of
    /// it; older ones are of no use.
    pub(super) fn newest_roster(&self) -> Roster {
        Roster::newest(self.promises.values().map(|promise| &promise.roster))
    }
}
