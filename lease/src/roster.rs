//! Who takes part.

use crate::ballot::Version;
use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A process that may have leave.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its name.
    pub name: Name,
    /// Which process with that name.
    pub life: u64,
    /// Where it listens: another process that listens there has taken its place.
    pub at: SocketAddr,
}

/// All processes that may have leave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Which of two is newer.
    pub version: Version,
    /// Each of them.
    pub processes: BTreeSet<Process>,
}
