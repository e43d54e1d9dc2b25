//! Hosts as one process knows them from discovery and from its own calls.

use std::collections::{BTreeMap, BTreeSet};

/// State of a host, from discovery and from the calls of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostStatus {
    /// Zone of the host.
    pub zone: String,
    /// Pod of the host.
    pub pod: u32,
    /// Whether discovery lists the host as ready to serve calls.
    pub ready: bool,
    /// Of the recent calls of this process to the host, so many failed that the process considers it faulty.
    pub failing: bool,
    /// Share of its full capacity that the host has reached, in thousandths; 1000: all of it. A host is
    /// *warming up* in the time after a start in which it has not reached its full capacity.
    pub warmth: u32,
    /// Weight of the host: its full capacity relative to other hosts, in thousandths. A host of weight 2 can
    /// serve twice as many concurrent calls as a host of weight 1.
    pub weight: u32,
}

impl HostStatus {
    pub(crate) const WARM_PER_MILLE: u32 = 1_000;

    pub(crate) fn is_warm(&self) -> bool {
        self.warmth >= HostStatus::WARM_PER_MILLE
    }
}

/// All hosts that discovery lists, and the zones that this process cannot reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostFacts {
    /// State of each host, by host name.
    pub hosts: BTreeMap<String, HostStatus>,
    /// Zones in which this process reaches no host.
    pub lost_zones: BTreeSet<String>,
}
