//! State that a process keeps on disk over a restart.

use crate::ballot::{Ballot, Version, Versioned};
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use crate::voters::VoterSetHashes;
use serde::{Deserialize, Serialize};

/// State that a process stores for its restart. When loaded by [`crate::Machine::with_persistence`], it may
/// be outdated. A voter recovers from it, but its quarantine is not shortened. A process applies the
/// restrictions in the state, but may not serve because of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct PersistentState<T: ApplicationTypes> {
    /// True if the process is a voter and [`crate::RecoveryState::Recovered`].
    pub is_recovered: bool,
    /// Configured voters; with other voters, the stored state does not count as recovered.
    pub voter_sets: VoterSetHashes,
    /// Lower bound of the highest ballot that the process has promised as a voter.
    pub promised: Option<Ballot>,
    /// Lower bound of the highest ballot known to the process.
    pub highest_ballot: Option<Ballot>,
    /// Roster that the process stores as a voter.
    pub roster: Roster,
    /// State that the process has applied.
    pub state: Versioned<T::State>,
}

/// Version of a [`PersistentState`]. States of one process with the same version differ only in the durations
/// that they contain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentStateVersion {
    pub(crate) is_recovered: bool,
    pub(crate) promised: Option<Ballot>,
    pub(crate) highest_ballot: Option<Ballot>,
    pub(crate) roster: Version,
    pub(crate) state: Version,
}

impl<T: ApplicationTypes> PersistentState<T> {
    /// Version of this state.
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
