//! Processes that may hold a lease.

use crate::ballot::Version;
use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Process that may hold a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Name, which a restart keeps.
    pub name: Name,
    /// Incarnation, which differs between processes of the same name.
    pub incarnation: u64,
    /// Address on which the process listens. A later process on the same address has replaced it.
    pub address: SocketAddr,
}

/// Processes that may hold a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Version, by which the newer of two rosters is determined.
    pub version: Version,
    /// Processes that may hold a lease, including those that were not heard recently.
    pub processes: BTreeSet<Process>,
}

impl Roster {
    /// Returns the roster with the highest version, or an empty one if there is none.
    pub(crate) fn newest<'a>(rosters: impl Iterator<Item = &'a Roster>) -> Roster {
        rosters.max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default()
    }
}
