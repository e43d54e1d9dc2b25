//! What a process stores on disk over a restart.

use crate::ballot::{Ballot, Version, Versioned};
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use crate::voters::VoterSetHashes;
use serde::{Deserialize, Serialize};

/// What a restarted process needs of the one before it. Loaded by [`crate::Machine::with_persistence`], it counts as possibly
/// outdated: a voter recovers by it but does not leave its quarantine any sooner, and a process keeps away from what the
/// state excludes but does not serve by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct PersistentState<T: ApplicationTypes> {
    /// The process is a voter, and [`crate::RecoveryState::Recovered`].
    pub is_recovered: bool,
    /// The voters that it was configured with. With other voters it does not count as recovered.
    pub voter_sets: VoterSetHashes,
    /// The highest ballot that it has promised as a voter. A lower bound, for it may have promised more since.
    pub promised: Option<Ballot>,
    /// The highest ballot that it has heard of. A lower bound.
    pub highest_ballot: Option<Ballot>,
    /// The roster that it stores as a voter.
    pub roster: Roster,
    /// The state that it has applied.
    pub state: Versioned<T::State>,
}

/// Identifies a [`PersistentState`] of one process: two with the same mark are equal but for the time spans within.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentStateVersion {
    pub(crate) is_recovered: bool,
    pub(crate) promised: Option<Ballot>,
    pub(crate) highest_ballot: Option<Ballot>,
    pub(crate) roster: Version,
    pub(crate) state: Version,
}

impl<T: ApplicationTypes> PersistentState<T> {
    /// Its mark.
    pub fn version(&self) -> PersistentStateVersion {
        PersistentStateVersion {
            is_recovered: self.is_recovered,
            promised: self.promised.clone(),
            highest_ballot: self.highest_ballot.clone(),
            roster: self.roster.version.clone(),
            state: self.state.version.clone(),
        }
    }
}
