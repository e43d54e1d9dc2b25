//! What a process knows from elsewhere: members from the membership, and what the application goes by.

use flaxhead_membership::{Micros, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

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
pub struct Facts<O> {
    /// By name, this process left out.
    pub members: BTreeMap<Name, MemberFact>,
    /// Whether this process takes part in what is settled in common, by the membership's word.
    pub takes_part: bool,
    /// What the application goes by.
    pub own: O,
}
