//! The endpoint list in the snapshot.

use super::SnapshotStore;
use crate::config::Config;
use crate::http::Http;
use flaxhead_engine::{Endpoint, EndpointList, EngineEvent, EngineView, Health, Observer};
use flaxhead_snapshot::{AsOf, Part, RecoveredState, Rejection};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The snapshot's part with the list, and the version of its format.
pub(super) const LIST_PART: &str = "list";
pub(super) const LIST_FORMAT: u16 = 1;

/// The list as it is stored: the format counts fields by their place.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredList<'a> {
    /// Where the list is from: nothing may be sent to hosts of another fleet.
    pub(super) discovery: SocketAddr,
    pub(super) seq: u64,
    pub(super) hosts: Vec<Cow<'a, Endpoint>>,
}

/// The list of a recovered snapshot, where it may be used: it is of the same discovery and newer than the configuration's.
pub(super) fn recovered_list(
    recovered: &mut RecoveredState,
    config: &Config,
) -> Result<EndpointList, Rejection> {
    let part = recovered.take(LIST_PART, LIST_FORMAT)?;
    let StoredList { discovery, seq, hosts } =
        postcard::from_bytes(&part.bytes).map_err(|_| Rejection::UnreadablePart(LIST_PART.to_owned()))?;
    let unusable = |reason: String| Err(Rejection::UnusablePart { name: LIST_PART.to_owned(), reason });
    if discovery != config.discovery {
        return unusable(format!(
            "it is of discovery at {discovery}, and that is at {} now",
            config.discovery
        ));
    }
    match &config.known {
        Some(known) if known.seq >= seq => {
            unusable(format!("it is {seq}, and the configuration knows {}, which is no older", known.seq))
        }
        _ => Ok(EndpointList { seq, whole: true, hosts: hosts.into_iter().map(Cow::into_owned).collect() }),
    }
}

/// Stores the list as discovery sends it. The list that the proxy was started with is outdated, and storing it again would
/// not make it newer: it ages until discovery sends one.
pub struct ListRecorder {
    store: SnapshotStore,
    hosts: BTreeMap<String, Endpoint>,
    /// The engine reports the list that it was started with first.
    skips_known: bool,
    /// Whether the last list was not stored, which is logged once.
    failed: bool,
}

impl ListRecorder {
    pub(super) fn new(store: SnapshotStore, skips_known: bool) -> ListRecorder {
        ListRecorder { store, hosts: BTreeMap::new(), skips_known, failed: false }
    }

    fn record(&mut self, list: &EndpointList) {
        if list.whole {
            self.hosts.clear();
        }
        for host in &list.hosts {
            match host.health {
                Health::Gone => drop(self.hosts.remove(&host.host)),
                _ => drop(self.hosts.insert(host.host.clone(), host.clone())),
            }
        }
        if std::mem::take(&mut self.skips_known) {
            return;
        }
        let discovery = self.store.discovery.get();
        let hosts = self.hosts.values().map(Cow::Borrowed).collect();
        let Ok(bytes) = postcard::to_stdvec(&StoredList { discovery, seq: list.seq, hosts }) else { return };
        self.store(bytes);
    }

    /// Stores an encoded list. One that is too large is not stored, and no older one in its place.
    fn store(&mut self, bytes: Vec<u8>) {
        let part = Part {
            name: LIST_PART.to_owned(),
            version: LIST_FORMAT,
            ballot: 0,
            incarnation: 0,
            age_ms: 0,
            bytes,
        };
        let error = self.store.writer.put(part, AsOf::Now).err();
        if let Some(error) = error.as_ref().filter(|_| !self.failed) {
            tracing::info!("state: the list is not kept: {error}");
        }
        self.failed = error.is_some();
    }
}

impl Observer<Http> for ListRecorder {
    fn observe(&mut self, event: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        if let EngineEvent::ListReceived { list, .. } = event {
            self.record(list);
        }
    }
}
