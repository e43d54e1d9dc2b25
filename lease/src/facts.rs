//! Data from outside the protocol: the membership of the proxies, and the application's own data.

use flaxhead_membership::{Micros, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Presence of a member's process, as judged by the membership ([`flaxhead_membership`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Presence {
    /// Running, without suspicion by any member.
    Alive,
    /// Presumably running, but suspected to have failed by some member, or cut off from most members by its
    /// own account.
    Suspected,
    /// Not heard by any member: the process may have ended, be paused, or be partitioned.
    Unreachable,
    /// Ended: the host at its address runs and refuses connections.
    Exited,
    /// Leaving by its own announcement. The process may still be completing the calls that it has accepted.
    Left,
}

/// Other proxy process, as known to the membership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Incarnation, which differs between processes of the same name.
    pub incarnation: u64,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Presence of the process.
    pub presence: Presence,
    /// Time of the last change of the presence, by the clock of the local lease machine.
    pub since: Micros,
}

/// Data from outside the protocol that the machine uses in each call. `F` is the type of the application's
/// part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts<F> {
    /// Members other than the local process, by name.
    pub members: BTreeMap<Name, MemberStatus>,
    /// True if this process may become the leader or renew its leadership. False if the membership finds it
    /// cut off from most members, displaced by another process of its name, or leaving.
    pub participates: bool,
    /// Data that the application uses for its decisions besides the membership, such as host capacities. The
    /// driver refreshes it before calls of the machine.
    pub application: F,
}
