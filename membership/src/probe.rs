//! Probes that are under way: a process's own, and those that it makes for others.

use crate::liveness::Cause;
use crate::name::{Name, Stamp};
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The member itself was pinged.
    Direct,
    /// Others were asked to ping it, and its machine whether anything listens.
    Indirect,
    /// A member that is gone was pinged, in case it is back: no answer says nothing.
    Reconnect,
    /// A member was pinged for its digest: where that differs, a full exchange follows.
    Compare,
}

/// A process's own probe.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) name: Name,
    pub(crate) stamp: Stamp,
    pub(crate) sent_at: Micros,
    pub(crate) due: Micros,
    pub(crate) stage: Stage,
    /// It is made through as many helpers as there are: what is believed after it is not taken back lightly.
    pub(crate) is_final: bool,
    /// The members that were asked to ping.
    pub(crate) helpers: Vec<Name>,
    /// Those of them that got no answer either.
    pub(crate) nacks: BTreeSet<Name>,
    /// Those of them that were told that nothing listens there.
    pub(crate) refusals: BTreeSet<Name>,
    /// What the member's machine reported.
    pub(crate) check: Option<Cause>,
}

/// A probe for another member.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) origin: Name,
    pub(crate) origin_address: SocketAddr,
    pub(crate) origin_seq: u32,
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) due: Micros,
    /// The member's machine has been asked.
    pub(crate) is_checking: bool,
}
