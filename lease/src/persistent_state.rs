//! State of a machine that survives a restart on disk.

use crate::ballot::{Ballot, Version, Versioned};
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use crate::voters::VoterSetHashes;
use serde::{Deserialize, Serialize};

/// State that a process stores on disk, to be loaded after its restart by
/// [`crate::Machine::with_persistence`].
///
/// The loaded state may be outdated. The new process applies it, so that the application knows its decisions
/// at once, but still waits for admission before it serves. A voter recovers its promise and roster from it,
/// but its quarantine is as long as without it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct PersistentState<T: ApplicationTypes> {
    /// True if the process is a voter and [`crate::RecoveryState::Recovered`].
    pub is_recovered: bool,
    /// Hashes of the voter sets configured when the state was stored. If the configuration has changed since,
    /// the voter recovers from other voters instead.
    pub voter_sets: VoterSetHashes,
    /// Highest ballot that the process had promised as a voter when it stored the state; `None`: none.
    pub promised: Option<Ballot>,
    /// Highest ballot that the process knew when it stored the state; `None`: none.
    pub highest_ballot: Option<Ballot>,
    /// Roster that the process stores as a voter.
    pub roster: Roster,
    /// State that the process has applied.
    pub state: Versioned<T::State>,
}

/// Version of a [`PersistentState`], by which a change is detected. Two states of one process with the same
/// version differ only in the durations that they contain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentStateVersion {
    pub(crate) is_recovered: bool,
    pub(crate) promised: Option<Ballot>,
    pub(crate) highest_ballot: Option<Ballot>,
    pub(crate) roster: Version,
    pub(crate) state: Version,
}

impl<T: ApplicationTypes> PersistentState<T> {
    /// Version of this state, with the versions of the roster and of the application's state.
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
