//! The proxy's snapshot on disk, for a restart: the endpoint list, and the parts of other features.

mod list;

pub use list::ListRecorder;

use super::bounds::{folder, within};
use super::sections::{Problem, Section};
use crate::config::Config;
use flaxhead_lease::Application;
use flaxhead_maintenance_driver::{OpenedStore, StateStore};
use flaxhead_snapshot::{disk, Identity, RecoveredState, SnapshotWriter, StoreOptions};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Bounds of `old_s`, and its default.
const MIN_MAX_AGE_SECONDS: u64 = 2;
const MAX_MAX_AGE_SECONDS: u64 = 86_400;
const DEFAULT_MAX_AGE_SECONDS: u64 = 60;
/// How long a stop waits for the last write.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// What `[state]` configures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The directory of the file.
    pub directory: PathBuf,
    /// Most age of a snapshot that a start uses.
    pub max_age: Duration,
}

impl Settings {
    /// Takes them from the section.
    ///
    /// # Errors
    ///
    /// What is wrong, with its line.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let directory = section.take_if("dir", folder)?;
        let directory = directory.ok_or_else(|| section.problem("dir is missing"))?;
        let max_age = section.take_if("old_s", within(MIN_MAX_AGE_SECONDS, MAX_MAX_AGE_SECONDS))?;
        let max_age = Duration::from_secs(max_age.unwrap_or(DEFAULT_MAX_AGE_SECONDS));
        Ok(Settings { directory, max_age })
    }
}

/// The proxy's snapshot, open for writing.
#[derive(Clone, Debug)]
pub struct SnapshotStore {
    writer: SnapshotWriter,
    discovery: Rc<Cell<SocketAddr>>,
    /// Whether the engine is started with a known list.
    has_known_list: bool,
}

impl SnapshotStore {
    /// Most descriptors that it needs: lock, new file, directory.
    pub const DESCRIPTORS: usize = 3;

    /// Opens the snapshot, and has the proxy start with the stored list where that may be used. Returns what else was
    /// recovered. A directory that cannot be used is logged.
    ///
    /// # Errors
    ///
    /// The system's, where it gives no thread.
    pub fn open(
        settings: &Settings,
        cluster: &str,
        config: &mut Config,
    ) -> io::Result<(SnapshotStore, Option<RecoveredState>)> {
        let owner = Identity { cluster: cluster.to_owned(), proxy: config.name.clone() };
        let Settings { directory, max_age } = settings.clone();
        let file = disk::file(&directory, &config.name);
        let options = StoreOptions { directory, owner, max_age };
        let flaxhead_snapshot::OpenedStore { writer, recovered } = options.open()?;
        let mut recovered = recovered
            .inspect_err(|rejection| {
                tracing::info!("state: {}: {rejection}. It counts as forgotten", file.display());
            })
            .ok();
        if let Some(recovered) = &mut recovered {
            match list::recovered_list(recovered, config) {
                Ok(list) => {
                    let (seq, hosts) = (list.seq, list.hosts.len());
                    let (age, incarnation) = (recovered.age_ms(), recovered.header().incarnation);
                    tracing::info!(
                        "state: starts with list {seq}, {hosts} hosts, kept {age} ms ago by life {incarnation}"
                    );
                    config.known = Some(list);
                }
                Err(rejection) => tracing::info!("state: {}: {rejection}", file.display()),
            }
        }
        let discovery = Rc::new(Cell::new(config.discovery));
        let store = SnapshotStore { writer, discovery, has_known_list: config.known.is_some() };
        Ok((store, recovered))
    }

    /// Discovery is at another address from now on.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        self.discovery.set(discovery);
    }

    /// An observer that stores the lists of an engine.
    pub fn list_recorder(&self) -> ListRecorder {
        ListRecorder::new(self.clone(), self.has_known_list)
    }

    /// The store of an application's replicated state under this name, with what was recovered of it.
    pub fn application<A: Application>(
        &self,
        name: &'static str,
        recovered: Option<&mut RecoveredState>,
    ) -> StateStore<A> {
        let OpenedStore { store, rejection } = StateStore::open(self.writer.clone(), name, recovered);
        match (rejection, store.recovered_age()) {
            (Some(rejection), _) => tracing::info!("state: the file {rejection}. It counts as forgotten"),
            (None, Some(age)) => tracing::info!("state: the {name} are remembered, as they were {age:?} ago"),
            (None, None) => {}
        }
        store
    }

    /// Has the last changes written, within a bound.
    pub fn close(&self) {
        self.writer.stop(LAST_WRITE_TIMEOUT);
    }
}

#[cfg(test)]
mod tests;
