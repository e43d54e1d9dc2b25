//! Ballots, which order the leaders, and versions, which order the states and rosters that the leaders write.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Election number of a candidate or leader, sent with its messages as a fencing token. Ballots are unique,
/// and a later leader has a greater one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the election: one more than in the highest ballot that the candidate knew.
    pub round: u64,
    /// Name of the candidate, which distinguishes ballots of the same round.
    pub name: Name,
    /// Incarnation of the candidate, because after a restart it may use the same round again.
    pub incarnation: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.name)
    }
}

/// Version of a state or a roster, ordered by the ballot of the leader that wrote it, then by that leader's
/// sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Ballot of the leader that wrote it; `None`: the initial state or roster of a process, written by no
    /// leader.
    pub ballot: Option<Ballot>,
    /// Sequence number, counted by each leader from 1, separately for states and rosters; 0 in the initial
    /// version.
    pub seq: u64,
}

impl Version {
    /// Returns whether the version was written under `ballot`.
    pub(crate) fn is_of(&self, ballot: &Ballot) -> bool {
        self.ballot.as_ref() == Some(ballot)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.ballot {
            Some(ballot) => write!(f, "{ballot}.{}", self.seq),
            None => f.write_str("none"),
        }
    }
}

/// State of an application, with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versioned<S> {
    /// Version that tells which of two states is newer.
    pub version: Version,
    /// State that has this version.
    pub state: S,
}
