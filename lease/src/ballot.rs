//! Ballots and versions: numbers that only grow, and that order any two leaders and any two states.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A leader's election number, which is also the fencing token of everything that it sends. No two leaders have the same
/// one, and that of a later leader is greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The election round, counted over all proxies.
    pub round: u64,
    /// The candidate.
    pub name: Name,
    /// The candidate's incarnation: a process that restarts counts its rounds anew.
    pub incarnation: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.name)
    }
}

/// Which of two states, or of two rosters, is newer: by the leader that wrote it, then by that leader's count.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The ballot of the leader that wrote it; `None`: no leader did, as at a process that knows nothing yet.
    pub ballot: Option<Ballot>,
    /// The leader's count of its own versions.
    pub seq: u64,
}

impl Version {
    /// Whether it was written under this ballot.
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

/// A state together with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versioned<S> {
    /// Which of two states is newer.
    pub version: Version,
    /// The state.
    pub state: S,
}
