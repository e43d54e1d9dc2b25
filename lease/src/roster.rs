//! Roster of the processes to which a leader may have granted a lease.

use crate::ballot::Version;
use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One run of a proxy, identified by its name and incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Name of the proxy, which stays the same over a restart.
    pub name: Name,
    /// Incarnation, which differs between the processes of one name.
    pub incarnation: u64,
    /// Address on which the process listens. A later process with the same name and address has replaced it.
    pub address: SocketAddr,
}

/// Processes to which this leader or an earlier one may have granted a lease. Voters store the roster, so
/// that a later leader knows whom to wait for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Version that tells which of two rosters is newer.
    pub version: Version,
    /// Processes on the roster, including those that have stopped reporting. A process is removed once it is
    /// known to have ended.
    pub processes: BTreeSet<Process>,
}

impl Roster {
    /// Returns the roster with the highest version, or an empty one if there is none.
    pub(crate) fn newest<'a>(rosters: impl Iterator<Item = &'a Roster>) -> Roster {
        rosters.max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default()
    }
}
