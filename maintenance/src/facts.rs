//! State of hosts as one process knows it.

use std::collections::{BTreeMap, BTreeSet};

/// State of a host, from discovery and from the calls of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostStatus {
    /// Zone of the host.
    pub zone: String,
    /// Pod of the host.
    pub pod: u32,
    /// Discovery lists the host as ready to serve calls.
    pub ready: bool,
    /// Calls of this process to the host fail.
    pub failing: bool,
    /// Progress of the host's warm-up, in thousandths; 1000: warmed up.
    pub warmth: u32,
    /// Capacity of the host relative to a host of size 1, in thousandths.
    pub weight: u32,
}

impl HostStatus {
    pub(crate) const WARM_PER_MILLE: u32 = 1_000;

    pub(crate) fn is_warm(&self) -> bool {
        self.warmth >= HostStatus::WARM_PER_MILLE
    }
}

/// State of all hosts that discovery lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostFacts {
    /// State of each host, by host name.
    pub hosts: BTreeMap<String, HostStatus>,
    /// Zones in which this process reaches no host.
    pub lost_zones: BTreeSet<String>,
}
