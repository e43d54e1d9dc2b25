//! Data from outside the protocol: the membership, and the application's own data.

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
    /// Leaving by its own announcement; it still completes the calls that it has accepted.
    Left,
}

/// Member, according to the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Incarnation, which differs between processes of the same name.
    pub incarnation: u64,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// State of the process, as far as the membership knows.
    pub presence: Presence,
    /// Time of the last change of the presence.
    pub since: Micros,
}

/// Data from outside the protocol that a step of the machine uses. `F` is the type of the application's part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts<F> {
    /// Members other than the local process, by name.
    pub members: BTreeMap<Name, MemberStatus>,
    /// True if this process may become the leader or renew its leadership: according to the membership it is
    /// neither cut off, nor displaced, nor leaving.
    pub participates: bool,
    /// Data that the application uses for its decisions besides the membership, such as host capacities. The
    /// driver reads it anew before a step.
    pub application: F,
}
