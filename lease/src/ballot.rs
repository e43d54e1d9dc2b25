//! Numbers that only grow.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A holder's number, the fence of all that it says: two holders never have the same, and a later one's is greater.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts the tries, over all proxies.
    pub round: u64,
    /// Whose it is.
    pub name: Name,
    /// Of which process with that name: one that restarts counts anew.
    pub life: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.round, self.name)
    }
}

/// Which of two slates, or rosters, is newer: by the holder that wrote it, then by its count.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Whose; `None`: nobody's, as where a process knows nothing yet.
    pub fence: Option<Ballot>,
    /// Which of the holder's.
    pub seq: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.fence {
            Some(fence) => write!(f, "{fence}.{}", self.seq),
            None => f.write_str("none"),
        }
    }
}

/// A slate, and which of two is newer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told<S> {
    /// Which of two is newer.
    pub version: Version,
    /// What is settled.
    pub slate: S,
}
