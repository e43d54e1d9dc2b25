//! What a process knows of hosts, from discovery and its own calls.

use std::collections::{BTreeMap, BTreeSet};

/// A host, as discovery lists it and this process's calls find it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostFact {
    /// Its zone.
    pub zone: String,
    /// Its pod.
    pub pod: u32,
    /// Discovery lists it as ready.
    pub ready: bool,
    /// Calls to it fail.
    pub failing: bool,
    /// How warm it is, in thousandths.
    pub warmth: u32,
    /// Its size beside the others', in thousandths.
    pub weight: u32,
}

/// All of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostFacts {
    /// By name.
    pub hosts: BTreeMap<String, HostFact>,
    /// Zones that this process reaches no host of.
    pub lost_zones: BTreeSet<String>,
}
