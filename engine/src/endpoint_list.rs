//! Endpoint list, as the platform's JSON encodes it: field names are the JSON keys.

use flaxhead_policy::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Full endpoint list, or the endpoints that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub seq: u64,
    /// True for the full list, false for changed endpoints only.
    pub whole: bool,
    /// Endpoints of the full list, or those that changed.
    pub hosts: Vec<Endpoint>,
}

/// Host in the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// Name of the host, the same at every proxy.
    pub host: String,
    /// Address at which the host accepts connections.
    pub dial: SocketAddr,
    /// Zone of the host; empty if unknown.
    #[serde(default)]
    pub site: String,
    /// Hardware model; hosts of one model have similar capacity.
    #[serde(default)]
    pub class: String,
    /// Cell; hosts of one cell deduplicate each other's requests.
    #[serde(default)]
    pub block: u32,
    /// Health, which says whether the host accepts requests.
    pub health: Health,
    /// Capacity relative to the other hosts'.
    #[serde(default)]
    pub share: f64,
    /// Last start of the host, Unix time in milliseconds; 0 if it started too long ago to matter.
    #[serde(default)]
    pub born_ms: u64,
}

/// State of a host according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    Ready,
    /// Draining: finishes the requests in progress and accepts no new ones.
    Terminating,
    /// Removed from service.
    Gone,
}

/// Server number and health of a listed host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedHealth {
    pub(crate) server: ServerId,
    pub(crate) health: Health,
}

/// Listed hosts by name.
pub(crate) type HealthByHost = BTreeMap<String, ListedHealth>;

/// Change of a host's health.
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
