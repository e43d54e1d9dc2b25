//! What the operators configure of the peers.

use flaxhead_membership::Config;
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// Connections at once, each way; more wait, or are left out.
pub(crate) const MAX_CONNECTIONS: usize = 16;

/// What `[peers]` configures.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this process listens, over UDP and TCP.
    pub listen: SocketAddr,
    /// Where others reach it; the same as `listen` unless behind a translation of addresses.
    pub advertise: SocketAddr,
    /// Whom it asks first for other members; its own address may be among them.
    pub contacts: Vec<SocketAddr>,
    /// Only processes of one cluster exchange packets.
    pub cluster: String,
    /// Networks from which datagrams and connections are accepted.
    pub networks: Vec<IpNet>,
    /// The time spans and limits of the protocol.
    pub config: Config,
}

impl Settings {
    /// Maximum length of a cluster's name, in bytes.
    pub const MAX_CLUSTER_BYTES: usize = 32;

    /// Whether packets from this address are accepted.
    pub fn is_allowed(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.networks.iter().any(|network| network.contains(&address))
    }
}
