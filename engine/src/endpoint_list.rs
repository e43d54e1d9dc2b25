//! The endpoint list, in the platform's JSON form: field names are its keys.

use flaxhead_policy::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A full endpoint list, or the endpoints that changed.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    pub seq: u64,
    /// Whether this is the full list.
    pub whole: bool,
    /// The endpoints.
    pub hosts: Vec<Endpoint>,
}

/// One host of the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// The host's name, the same for every proxy.
    pub host: String,
    /// The address where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its hardware model; hosts of one model have much the same capacity.
    #[serde(default)]
    pub class: String,
    /// The cell: hosts of one cell deduplicate each other's requests.
    #[serde(default)]
    pub block: u32,
    /// Whether it takes requests.
    pub health: Health,
    /// Its capacity relative to the other hosts'.
    #[serde(default)]
    pub share: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// A host's state according to the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    Ready,
    /// It drains: it finishes what it has.
    Terminating,
    /// It has been removed.
    Gone,
}

/// A host's number and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListedHealth {
    pub(crate) server: ServerId,
    pub(crate) health: Health,
}

/// The health of each listed host, by name.
pub(crate) type HealthByHost = BTreeMap<String, ListedHealth>;

/// A host whose health has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HealthChange {
    pub(crate) host: String,
    pub(crate) server: ServerId,
    /// What it is now.
    pub(crate) health: Health,
}

/// The hosts whose health differs between two lists: first those that are no longer listed.
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
