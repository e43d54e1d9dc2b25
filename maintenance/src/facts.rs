//! What a process knows of hosts, from discovery and its own calls.

use std::collections::{BTreeMap, BTreeSet};

/// A host, as discovery lists it and this process's calls find it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostStatus {
    /// Its zone.
    pub zone: String,
    /// Its pod.
    pub pod: u32,
    /// Discovery lists it as ready.
    pub ready: bool,
    /// Calls to it fail.
    pub failing: bool,
    /// How far it has warmed up, in thousandths.
    pub warmth: u32,
    /// Its size relative to the others', in thousandths.
    pub weight: u32,
}

impl HostStatus {
    /// The `warmth` of a host that has warmed up.
    pub(crate) const WARM: u32 = 1_000;

    /// Whether it has warmed up.
    pub(crate) fn is_warm(&self) -> bool {
        self.warmth >= HostStatus::WARM
    }
}

/// All hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostFacts {
    /// By name.
    pub hosts: BTreeMap<String, HostStatus>,
    /// Zones in which this process reaches no host.
    pub lost_zones: BTreeSet<String>,
}
