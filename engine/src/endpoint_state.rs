//! Address, health and availability of a listed host.

use crate::endpoint_list::Health;
use crate::send_cutoff::SendCutoff;
use flaxhead_policy::Entry;
use std::net::SocketAddr;

/// Address, health and availability of a host, kept for as long as the host is listed.
#[derive(Debug)]
pub(crate) struct EndpointState {
    /// Address at which the host accepts connections.
    pub(crate) address: SocketAddr,
    /// Last start of the host, Unix time in milliseconds.
    pub(crate) started_ms: u64,
    /// Health according to the list.
    pub(crate) health: Health,
    /// Last description of the host for the policy: state, zone, cell and weight as listed. It is passed to
    /// the policy again when the host's availability changes.
    pub(crate) entry: Entry,
    /// True if the policy was last told that the host is ready.
    pub(crate) announced_ready: bool,
    /// Time from which no new attempts may be sent to the host, even if the list says that it is ready.
    pub(crate) cutoff: SendCutoff,
}

impl EndpointState {
    /// Returns whether the host is available, and still at this address.
    pub(crate) fn accepts_at(&self, address: SocketAddr) -> bool {
        self.is_available() && self.address == address
    }

    /// Returns whether the host is available for new attempts: listed as ready, and not excluded.
    pub(crate) fn is_available(&self) -> bool {
        self.health == Health::Ready && !self.cutoff.has_passed()
    }
}
