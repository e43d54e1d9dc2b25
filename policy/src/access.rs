//! Who may reach the transfer path: lists of networks, and which peers may speak for others.

use ipnet::{IpNet, Ipv4Net};
use std::net::IpAddr;

/// A list of networks, as comma-separated CIDR ranges; a lone address is a range of one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

/// A part of a list that names no network.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is neither an address nor a CIDR range")]
pub struct InvalidNetwork(String);

impl std::str::FromStr for Networks {
    type Err = InvalidNetwork;

    fn from_str(text: &str) -> Result<Networks, InvalidNetwork> {
        if text.trim().is_empty() {
            return Ok(Networks::default());
        }
        let network = |part: &str| {
            let part = part.trim();
            let net = part.parse().or_else(|_| part.parse::<IpAddr>().map(IpNet::from));
            net.map(canonical).map_err(|_| InvalidNetwork(part.to_owned()))
        };
        text.split(',').map(network).collect::<Result<_, _>>().map(Networks)
    }
}

/// A range of IPv4-mapped IPv6 addresses is the IPv4 range.
fn canonical(net: IpNet) -> IpNet {
    let IpNet::V6(v6) = net else { return net };
    let mapped = v6.addr().to_ipv4_mapped().zip(v6.prefix_len().checked_sub(96));
    mapped.and_then(|(address, length)| Ipv4Net::new(address, length).ok()).map_or(net, IpNet::V4)
}

impl Networks {
    /// Whether an address is in one of them; an IPv4-mapped one is in what its IPv4 address is in.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|net| net.contains(&address))
    }
}

/// What the operators allow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// Who may come; empty: everyone.
    pub allow: Networks,
    /// Who may not, even so.
    pub deny: Networks,
    /// Fronts whose connections begin with a PROXY header, which says whom they speak for.
    pub proxy_from: Networks,
}

/// What is done with a peer that has connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAccess {
    /// It is served.
    Allow,
    /// It is closed.
    Deny,
    /// It is a front: whom it speaks for is judged.
    TrustedProxy,
}

impl Access {
    /// What is done with a peer, before anything is read from it.
    pub fn check_peer(&self, address: IpAddr) -> PeerAccess {
        match (self.proxy_from.contains(address), self.admits(address)) {
            (true, _) => PeerAccess::TrustedProxy,
            (false, true) => PeerAccess::Allow,
            (false, false) => PeerAccess::Deny,
        }
    }

    /// Whether a client's true address may come: deny wins over allow.
    pub fn admits(&self, address: IpAddr) -> bool {
        !self.deny.contains(address) && (self.allow.0.is_empty() || self.allow.contains(address))
    }
}
