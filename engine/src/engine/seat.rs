//! A host of the list, as the engine goes by it.

use crate::leave::Leave;
use crate::list::Health;
use flaxhead_policy::Entry;
use std::net::SocketAddr;

/// A host of the list.
#[derive(Debug)]
pub(crate) struct Seat {
    pub dial: SocketAddr,
    pub born_ms: u64,
    pub health: Health,
    /// The list's entry, and whether the module was told that it takes calls.
    pub entry: Entry,
    pub(super) announced_ready: bool,
    pub(super) leave: Leave,
}

impl Seat {
    /// Whether something new may be written to it at this address.
    pub(super) fn takes(&self, address: SocketAddr) -> bool {
        self.is_open() && self.dial == address
    }

    /// Whether it takes calls, by the list and by what is to be left alone.
    pub(super) fn is_open(&self) -> bool {
        self.health == Health::Ready && !self.leave.is_over()
    }
}
