//! A listed host, as the engine keeps it.

use crate::endpoint_list::Health;
use crate::send_cutoff::SendCutoff;
use flaxhead_policy::Entry;
use std::net::SocketAddr;

/// A listed host.
#[derive(Debug)]
pub(crate) struct EndpointState {
    /// The address where it listens.
    pub(crate) address: SocketAddr,
    /// When it last started, Unix time in milliseconds.
    pub(crate) started_ms: u64,
    /// Its health according to the list.
    pub(crate) health: Health,
    /// What the decision module is given of it while it is available.
    pub(crate) entry: Entry,
    /// Whether the module was last told that it takes calls.
    pub(crate) announced_ready: bool,
    /// From when on nothing new may be sent there, whatever the list says.
    pub(crate) cutoff: SendCutoff,
}

impl EndpointState {
    /// Whether something new may be written to it at this address.
    pub(crate) fn accepts_at(&self, address: SocketAddr) -> bool {
        self.is_available() && self.address == address
    }

    /// Whether it takes calls: it is listed ready and not excluded.
    pub(crate) fn is_available(&self) -> bool {
        self.health == Health::Ready && !self.cutoff.has_passed()
    }
}
