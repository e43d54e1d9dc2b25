//! Ballots and versions, which order leaders and the states that they write.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Election number of a leader, sent with all its messages as a fencing token. Ballots are unique, and a
/// later leader has a greater one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Election round, counted over all proxies.
    pub round: u64,
    /// Name of the candidate.
    pub name: Name,
    /// Incarnation of the candidate, because a restarted process may use a round again.
    pub incarnation: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.name)
    }
}

/// Version of a state or a roster, ordered by the ballot of its writer, then by that leader's sequence
/// number.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Ballot of the leader that wrote it; `None`: no leader has written it, as in a new process.
    pub ballot: Option<Ballot>,
    /// Sequence number, counted separately by each leader.
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

/// State with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versioned<S> {
    /// Version, by which the newer of two states is determined.
    pub version: Version,
    /// State of this version.
    pub state: S,
}
