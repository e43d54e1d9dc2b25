//! The processes that take part.

use crate::ballot::Version;
use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A process that may hold a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its name, the same after a restart.
    pub name: Name,
    /// Which process with that name.
    pub incarnation: u64,
    /// Where it listens: another process that listens there has replaced it.
    pub address: SocketAddr,
}

/// All processes that may hold a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Which of two rosters is newer.
    pub version: Version,
    /// The processes.
    pub processes: BTreeSet<Process>,
}

impl Roster {
    /// The newest of several; the empty one where there are none.
    pub(crate) fn newest<'a>(rosters: impl Iterator<Item = &'a Roster>) -> Roster {
        rosters.max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default()
    }
}
