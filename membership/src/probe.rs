//! What is out: own probes, and those made for others.

use crate::name::{Name, Stamp};
use crate::table::Cause;
use crate::Micros;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The member itself was asked.
    Direct,
    /// Others were asked to ask it, and its machine whether anything listens.
    Indirect,
    /// A member that is gone was asked, in case it is back: no answer says nothing.
    Reconnect,
    /// A member was asked for its digest: where it differs, a full exchange follows.
    Compare,
}

/// An own probe.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) name: Name,
    pub(crate) stamp: Stamp,
    pub(crate) sent: Micros,
    pub(crate) due: Micros,
    pub(crate) stage: Stage,
    /// All who can be asked to ask it are, not a few: what is believed after this is not taken back lightly.
    pub(crate) last_call: bool,
    /// Who was asked to ask.
    pub(crate) helpers: Vec<Name>,
    /// Who said that it got no answer either.
    pub(crate) nacks: BTreeSet<Name>,
    /// Who was told that nothing listens there.
    pub(crate) refused: BTreeSet<Name>,
    /// What its machine said.
    pub(crate) checked: Option<Cause>,
}

/// A probe for another.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) origin: Name,
    pub(crate) origin_at: SocketAddr,
    pub(crate) origin_seq: u32,
    pub(crate) name: Name,
    pub(crate) address: SocketAddr,
    pub(crate) due: Micros,
    /// Its machine has been asked.
    pub(crate) checking: bool,
}
