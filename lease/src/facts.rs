//! What a process knows from outside the protocol: its members from the membership, and the application's own input.

use flaxhead_membership::{Micros, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether a member's process runs, according to the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// It runs.
    Alive,
    /// It runs, but some member suspects it, or it finds itself cut off.
    Suspected,
    /// Nothing is heard of it: it may be dead, frozen or partitioned.
    Unreachable,
    /// Its machine reports that nothing listens at its address: the process has ended.
    Exited,
    /// It announced that it leaves; it still answers the requests that it has accepted.
    Left,
}

/// A member, according to the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Which process with its name.
    pub incarnation: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it runs.
    pub presence: Presence,
    /// When its presence last changed.
    pub since: Micros,
}

/// All that a process knows from outside the protocol. `F`: the application's own input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts<F> {
    /// The other members, by name.
    pub members: BTreeMap<Name, MemberStatus>,
    /// Whether this process may take part in agreements, according to the membership: it is not cut off, displaced or
    /// leaving.
    pub participates: bool,
    /// What the application decides by.
    pub application: F,
}
