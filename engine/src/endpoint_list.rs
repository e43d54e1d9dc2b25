//! Endpoint list, as the platform's JSON encodes it: field names are the JSON keys.

use flaxhead_policy::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Full list of the hosts that can serve calls, or the hosts that changed since an earlier version.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list, a sequence number from which a watch can continue.
    pub seq: u64,
    /// True for the full list, false for the hosts that changed.
    pub whole: bool,
    /// Hosts of the full list, or those that changed.
    pub hosts: Vec<Endpoint>,
}

/// Description of a host in the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// Name of the host, the same at every proxy.
    pub host: String,
    /// Address at which the host accepts connections.
    pub dial: SocketAddr,
    /// Zone of the host; empty if unknown.
    #[serde(default)]
    pub site: String,
    /// Hardware model (not a class of calls); hosts of one model have similar capacity.
    #[serde(default)]
    pub class: String,
    /// Cell; hosts of one cell deduplicate each other's requests.
    #[serde(default)]
    pub block: u32,
    /// Readiness for new requests.
    pub health: Health,
    /// Capacity relative to the other hosts'.
    #[serde(default)]
    pub share: f64,
    /// Last start of the host, Unix time in milliseconds; 0 if it started too long ago to matter.
    #[serde(default)]
    pub born_ms: u64,
}

/// Readiness of a host according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Ready,
    /// Draining: finishes the requests in progress and accepts no new ones.
    Terminating,
    /// Removed from service.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedHealth {
    pub(crate) server: ServerId,
    pub(crate) health: Health,
}

pub(crate) type HealthByHost = BTreeMap<String, ListedHealth>;

/// Host whose health differs between two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HealthChange {
    pub(crate) host: String,
    pub(crate) server: ServerId,
    /// Health after the change.
    pub(crate) health: Health,
}

/// Returns the hosts whose health differs between two lists, starting with those that are no longer listed.
pub(crate) fn health_changes(before: &HealthByHost, after: &HealthByHost) -> Vec<HealthChange> {
    let change = |host: &String, server, health| HealthChange { host: host.clone(), server, health };
    let removed = before.iter().filter(|(host, _)| !after.contains_key(*host));
    let removed = removed.map(|(host, listed)| change(host, listed.server, Health::Gone));
    let changed = after.iter().filter(|(host, listed)| before.get(*host) != Some(*listed));
    let changed = changed.map(|(host, listed)| change(host, listed.server, listed.health));
    removed.chain(changed).collect()
}

#[cfg(test)]
mod tests;
