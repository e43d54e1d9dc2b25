//! What the operators say of the peers.

use flaxhead_membership::Config;
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

/// What `[peers]` holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this process listens, over UDP and TCP.
    pub listen: SocketAddr,
    /// Where others reach it; the same as `listen` but behind a translation of addresses.
    pub advertise: SocketAddr,
    /// Whom it asks first for who else there is; its own address may be among them.
    pub contacts: Vec<SocketAddr>,
    /// Only processes of one cluster talk to each other.
    pub cluster: String,
    /// Networks from which datagrams and connections are taken.
    pub networks: Vec<IpNet>,
    /// How the protocol is paced.
    pub config: Config,
}

impl Settings {
    /// Most bytes of a cluster's name.
    pub const MAX_CLUSTER_BYTES: usize = 32;

    /// Whether something from this address is taken.
    pub fn is_allowed(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.networks.iter().any(|network| network.contains(&address))
    }
}
