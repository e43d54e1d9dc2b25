//! State that the engine keeps for a listed host.

use crate::endpoint_list::Health;
use crate::send_cutoff::SendCutoff;
use flaxhead_policy::Entry;
use std::net::SocketAddr;

/// State of a listed host.
#[derive(Debug)]
pub(crate) struct EndpointState {
    /// Address at which the host accepts connections.
    pub(crate) address: SocketAddr,
    /// Last start of the host, Unix time in milliseconds.
    pub(crate) started_ms: u64,
    /// Health according to the list.
    pub(crate) health: Health,
    /// Entry that is passed to the policy while the host is available.
    pub(crate) entry: Entry,
    /// True if the policy was last told that the host is ready.
    pub(crate) announced_ready: bool,
    /// Time from which no new attempts may be sent to the host, even if the list says that it is ready.
    pub(crate) cutoff: SendCutoff,
}

impl EndpointState {
    /// Returns whether a new attempt may be written to the host at this address.
    pub(crate) fn accepts_at(&self, address: SocketAddr) -> bool {
        self.is_available() && self.address == address
    }

    /// Returns whether the host is listed as ready and not excluded.
    pub(crate) fn is_available(&self) -> bool {
        self.health == Health::Ready && !self.cutoff.has_passed()
    }
}
