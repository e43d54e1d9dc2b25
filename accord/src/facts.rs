//! What a process knows from elsewhere: hosts from discovery and its own calls, members from the membership.

use crate::Micros;
use flaxhead_membership::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

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

/// Whether a member's process runs, as the membership has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// It runs.
    Runs,
    /// It runs, and somebody doubts it, or it finds itself cut off.
    Doubted,
    /// Nothing is heard of it: it may be dead, frozen or cut off.
    Silent,
    /// Its machine says that nothing listens there: the process has ended.
    Ended,
    /// It said that it goes; it answers what it has taken.
    Left,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberFact {
    /// Which process.
    pub life: u64,
    /// Where it listens.
    pub at: SocketAddr,
    /// Whether it runs.
    pub presence: Presence,
    /// Since when.
    pub since: Micros,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts {
    /// By name.
    pub hosts: BTreeMap<String, HostFact>,
    /// By name, this process left out.
    pub members: BTreeMap<Name, MemberFact>,
    /// Zones that this process reaches no host of.
    pub lost_zones: BTreeSet<String>,
    /// Whether this process takes part in what is settled in common, by the membership's word.
    pub takes_part: bool,
}
