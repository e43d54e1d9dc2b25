//! What a proxy remembers on disk over a restart: the last list, as old news. Off, nothing of it is there.

use super::bounds::{folder, within};
use super::sections::{Problem, Section};
use crate::config::Config;
use crate::http::Http;
use flaxhead_engine::{Endpoint, EndpointList, EngineEvent, EngineView, Health, Observer};
use flaxhead_lease::Application;
use flaxhead_maintenance_driver::{OpenedStore, StateStore};
use flaxhead_snapshot::{
    disk, AsOf, Identity, Part, RecoveredState, Rejection, SnapshotWriter, StoreOptions,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The part with the list, and its form.
const LIST_PART: &str = "list";
const LIST_FORMAT: u16 = 1;
/// How long a stop waits for the last write.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// What `[state]` holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The folder.
    pub directory: PathBuf,
    /// Most age of what a start takes.
    pub max_age: Duration,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let dir = section.take_if("dir", folder)?;
        let dir = dir.ok_or_else(|| section.problem("dir is missing"))?;
        let old = section.take_if("old_s", within::<u64>(2, 86_400))?.unwrap_or(60);
        Ok(Settings { directory: dir, max_age: Duration::from_secs(old) })
    }
}

/// The list, as it is kept.
#[derive(Serialize, Deserialize)]
struct StoredList<'a> {
    /// Whose it is: hosts of another fleet's are not to be sent anything.
    discovery: SocketAddr,
    seq: u64,
    hosts: Vec<Cow<'a, Endpoint>>,
}

/// The proxy's memory, open.
#[derive(Clone, Debug)]
pub struct SnapshotStore {
    keeper: SnapshotWriter,
    discovery: Rc<Cell<SocketAddr>>,
    /// The list that the engine starts with is no news.
    known: bool,
}

impl SnapshotStore {
    /// Descriptors that it needs at the most: lock, new file, folder.
    pub const DESCRIPTORS: usize = 3;

    /// Opens it, and has the proxy start with the list that is kept where that is fresh and newer than the
    /// configuration's. Returns what else is remembered.
    ///
    /// # Errors
    ///
    /// The system's, where it gives no thread. A folder that cannot be used is said in the log.
    pub fn open(
        settings: &Settings,
        cluster: &str,
        config: &mut Config,
    ) -> io::Result<(SnapshotStore, Option<RecoveredState>)> {
        let mine = Identity { cluster: cluster.to_owned(), proxy: config.name.clone() };
        let Settings { directory, max_age } = settings.clone();
        let file = disk::file(&directory, &config.name);
        let flaxhead_snapshot::OpenedStore { writer, recovered } =
            StoreOptions { directory, owner: mine, max_age }.open()?;
        let mut recollection = recovered
            .inspect_err(|refusal| {
                tracing::info!("state: {}: {refusal}. It counts as forgotten", file.display())
            })
            .ok();
        if let Some(found) = &mut recollection {
            let (age, life) = (found.age_ms(), found.header().incarnation);
            match stored_list(found, config) {
                Ok(list) => {
                    let (seq, hosts) = (list.seq, list.hosts.len());
                    tracing::info!(
                        "state: starts with list {seq}, {hosts} hosts, kept {age} ms ago by life {life}"
                    );
                    config.known = Some(list);
                }
                Err(refusal) => tracing::info!("state: {}: {refusal}", file.display()),
            }
        }
        let discovery = Rc::new(Cell::new(config.discovery));
        Ok((SnapshotStore { keeper: writer, discovery, known: config.known.is_some() }, recollection))
    }

    /// Discovery is at another address from now on.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        self.discovery.set(discovery);
    }

    /// Keeps the lists of an engine.
    pub fn list_recorder(&self) -> ListRecorder {
        ListRecorder { memory: self.clone(), hosts: BTreeMap::new(), unfit: false }
    }

    /// Keeps what is settled in common of one application under this name, and takes up what is recollected of it.
    pub fn application<M: Application>(
        &self,
        name: &'static str,
        found: Option<&mut RecoveredState>,
    ) -> StateStore<M> {
        let OpenedStore { store, rejection } = StateStore::open(self.keeper.clone(), name, found);
        match (rejection, store.recovered_age()) {
            (Some(rejection), _) => tracing::info!("state: the file {rejection}. It counts as forgotten"),
            (None, Some(age)) => tracing::info!("state: the {name} are remembered, as they were {age:?} ago"),
            (None, None) => {}
        }
        store
    }

    /// Has the last of it written, within a bound.
    pub fn close(&self) {
        self.keeper.stop(LAST_WRITE_TIMEOUT);
    }
}

/// The list that is kept, where it is of use.
fn stored_list(found: &mut RecoveredState, config: &Config) -> Result<EndpointList, Rejection> {
    let part = found.take(LIST_PART, LIST_FORMAT)?;
    let StoredList { discovery, seq, hosts } =
        postcard::from_bytes(&part.bytes).map_err(|_| Rejection::UnreadablePart(LIST_PART.to_owned()))?;
    let unfit = |reason: String| Err(Rejection::UnusablePart { name: LIST_PART.to_owned(), reason });
    if discovery != config.discovery {
        return unfit(format!("it is of discovery at {discovery}, and that is at {} now", config.discovery));
    }
    match &config.known {
        Some(known) if known.seq >= seq => {
            unfit(format!("it is {seq}, and the configuration knows {}, which is no older", known.seq))
        }
        _ => Ok(EndpointList { seq, whole: true, hosts: hosts.into_iter().map(Cow::into_owned).collect() }),
    }
}

/// Keeps the list as discovery says it. One that the proxy only started with is old news, and is not made new by
/// being kept again: it ages until discovery says something.
pub struct ListRecorder {
    memory: SnapshotStore,
    hosts: BTreeMap<String, Endpoint>,
    /// The last one was not kept, and that is said.
    unfit: bool,
}

impl ListRecorder {
    fn listed(&mut self, list: &EndpointList) {
        if list.whole {
            self.hosts.clear();
        }
        for host in &list.hosts {
            match host.health {
                Health::Gone => drop(self.hosts.remove(&host.host)),
                _ => drop(self.hosts.insert(host.host.clone(), host.clone())),
            }
        }
        if std::mem::take(&mut self.memory.known) {
            return;
        }
        let discovery = self.memory.discovery.get();
        let hosts = self.hosts.values().map(Cow::Borrowed).collect();
        let Ok(bytes) = postcard::to_stdvec(&StoredList { discovery, seq: list.seq, hosts }) else { return };
        let part = Part {
            name: LIST_PART.to_owned(),
            version: LIST_FORMAT,
            ballot: 0,
            incarnation: 0,
            age_ms: 0,
            bytes,
        };
        // One that is too large is not kept, and no older one in its place.
        let unfit = self.memory.keeper.put(part, AsOf::Now).err();
        if let Some(unfit) = unfit.as_ref().filter(|_| !self.unfit) {
            tracing::info!("state: the list is not kept: {unfit}");
        }
        self.unfit = unfit.is_some();
    }
}

impl Observer<Http> for ListRecorder {
    fn observe(&mut self, note: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        if let EngineEvent::ListReceived { list, .. } = note {
            self.listed(list);
        }
    }
}

#[cfg(test)]
mod tests;
