//! Input of the protocol: the membership, and the data of the application.

use flaxhead_membership::{Micros, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of a member's process, according to the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Running.
    Alive,
    /// Running, but suspected by some member, or cut off by its own account.
    Suspected,
    /// Not heard: it may be dead, frozen or partitioned.
    Unreachable,
    /// Ended: its machine refuses connections to its address.
    Exited,
    /// Leaving by its own announcement; it still completes the requests that it has accepted.
    Left,
}

/// Member, according to the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Incarnation, which differs between processes of the same name.
    pub incarnation: u64,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// State of the process.
    pub presence: Presence,
    /// Time of the last change of the presence.
    pub since: Micros,
}

/// Input of the protocol. `F` is the input type of the application.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts<F> {
    /// Other members by name.
    pub members: BTreeMap<Name, MemberStatus>,
    /// True if this process may become the leader or renew its leadership: according to the membership it is
    /// neither cut off, nor displaced, nor leaving.
    pub participates: bool,
    /// Input of the application.
    pub application: F,
}
