//! Access control by client address: allowed and denied networks, and trusted reverse proxies.

use ipnet::{IpNet, Ipv4Net};
use std::net::IpAddr;

/// List of networks, parsed from comma-separated CIDR ranges; a single address is a range of one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Networks(Vec<IpNet>);

/// Error for a part of a list of networks that is neither an address nor a CIDR range.
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
            net.map(to_ipv4_range).map_err(|_| InvalidNetwork(part.to_owned()))
        };
        text.split(',').map(network).collect::<Result<_, _>>().map(Networks)
    }
}

/// Converts a range of IPv4-mapped IPv6 addresses to the IPv4 range.
fn to_ipv4_range(net: IpNet) -> IpNet {
    let IpNet::V6(ipv6) = net else { return net };
    let mapped = ipv6.addr().to_ipv4_mapped().zip(ipv6.prefix_len().checked_sub(96));
    mapped.and_then(|(address, length)| Ipv4Net::new(address, length).ok()).map_or(net, IpNet::V4)
}

impl Networks {
    /// Whether a network contains the address; an IPv4-mapped one is compared as its IPv4 address.
    pub fn contains(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.0.iter().any(|net| net.contains(&address))
    }
}

/// Networks from which clients may connect, and the reverse proxies that may name a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Access {
    /// Allowed networks; all if empty.
    pub allow: Networks,
    /// Denied networks; they take precedence over `allow`.
    pub deny: Networks,
    /// Reverse proxies in front of this one, whose connections begin with a PROXY header that names the
    /// client.
    pub proxy_from: Networks,
}

/// Decision on the peer of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAccess {
    /// Serve the connection.
    Allow,
    /// Close the connection.
    Deny,
    /// Read the PROXY header, and check the address that it names with [`Access::admits`].
    TrustedProxy,
}

impl Access {
    /// Decides on a peer before anything is read from it.
    pub fn check_peer(&self, address: IpAddr) -> PeerAccess {
        match (self.proxy_from.contains(address), self.admits(address)) {
            (true, _) => PeerAccess::TrustedProxy,
            (false, true) => PeerAccess::Allow,
            (false, false) => PeerAccess::Deny,
        }
    }

    /// Whether clients with this address are admitted; `deny` takes precedence over `allow`.
    pub fn admits(&self, address: IpAddr) -> bool {
        !self.deny.contains(address) && (self.allow.0.is_empty() || self.allow.contains(address))
    }
}
