//! The features that are switched on, opened before the proxy serves: one that cannot be opened ends the start.

use crate::config::Config;
use crate::features::audit::{self, Trail};
use crate::features::capture::{self, CaptureObserver, Dumps, Recorder};
use crate::features::hosts::HostMonitor;
use crate::features::quota::{self, Quota};
use crate::features::snapshot::SnapshotStore;
use crate::features::status::{self, StatusRecorder, StatusServer};
use crate::features::Features;
use crate::http::{front, Http};
use crate::output;
use flaxhead_engine::Observer;
use flaxhead_maintenance::Maintenance;
use flaxhead_maintenance_driver::{MaintenanceService, StateStore};
use flaxhead_membership::{Name, NameError};
use flaxhead_peers::Peers;
use flaxhead_policy::Access;
use flaxhead_snapshot::RecoveredState;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// The snapshot's parts, by application.
const MAINTENANCE_PART: &str = "turns";
const QUOTA_PART: &str = "shares";

/// The features that are switched on.
#[derive(Debug, Default)]
pub struct EnabledFeatures {
    /// The status page.
    pub status: Option<StatusServer>,
    /// What is recorded for it.
    pub status_recorder: StatusRecorder,
    /// The audit trail.
    pub trail: Option<Trail>,
    /// Capture's ring.
    pub capture_ring: Option<Rc<RefCell<Recorder>>>,
    /// What writes the ring out.
    pub capture_dumps: Option<Dumps>,
    /// The membership among client proxies.
    pub peers: Option<Peers>,
    /// Maintenance of hosts.
    pub maintenance: Option<MaintenanceService>,
    /// What is observed of the hosts, where maintenance or quotas need it.
    pub hosts: Option<HostMonitor>,
    /// The tenants' quotas.
    pub quota: Option<Quota>,
    /// The snapshot on disk.
    pub snapshot: Option<SnapshotStore>,
    /// Address lists.
    pub access: Option<Access>,
}

/// Why a feature cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The status page's port cannot be listened on.
    #[error("[status] listen_port: {address}: {error}")]
    Status {
        /// The address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// The thread that writes the log cannot be started.
    #[error(transparent)]
    Output(io::Error),
    /// The audit trail cannot be opened.
    #[error(transparent)]
    Audit(#[from] audit::Error),
    /// Capture's directory cannot be made.
    #[error("[capture] {}: {error}", directory.display())]
    CaptureDirectory {
        /// The directory.
        directory: PathBuf,
        /// Why not.
        error: io::Error,
    },
    /// Capture's signal cannot be received.
    #[error("[capture] {0}")]
    CaptureSignal(io::Error),
    /// The thread that writes the snapshot cannot be started.
    #[error("[state]: no thread for it: {0}")]
    Snapshot(io::Error),
    /// The proxy's name cannot be a peer's.
    #[error("[peers] name {name:?}: {error}")]
    PeerName {
        /// The name.
        name: String,
        /// Why not.
        error: NameError,
    },
    /// The peers' address cannot be bound.
    #[error("[peers] listen: {address}: {error}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// Why not.
        error: io::Error,
    },
    /// The quotas do not fit the configuration.
    #[error(transparent)]
    Quota(#[from] quota::SettingsError),
}

impl EnabledFeatures {
    /// Opens what the features need, and sets the descriptors for it aside.
    ///
    /// # Errors
    ///
    /// The first feature that cannot be opened.
    pub fn open(features: Features, config: &mut Config) -> Result<EnabledFeatures, OpenError> {
        let status = open_status(features.status, config)?;
        open_output(&features)?;
        let trail = features.audit.as_ref().map(Trail::open).transpose()?;
        let capture_dumps = features.capture.as_ref().map(open_dumps).transpose();
        let capture_ring = features.capture.as_ref().map(|capture| Recorder::new(capture, config.seed));
        let (snapshot, mut recovered) = open_snapshot(&features, config)?;
        let peers = features.peers.map(|settings| bind_peers(settings, config)).transpose()?;
        let maintenance = features.maintenance.zip(peers.clone()).map(|(settings, peers)| {
            let store =
                snapshot.as_ref().map(|store| store.application(MAINTENANCE_PART, recovered.as_mut()));
            start_maintenance(settings, config, peers, store)
        });
        let needs_hosts = maintenance.is_some() || features.quota.is_some();
        let mut enabled = EnabledFeatures {
            status,
            status_recorder: StatusRecorder::default(),
            trail,
            capture_ring: capture_ring.map(|ring| Rc::new(RefCell::new(ring))),
            capture_dumps: capture_dumps?,
            peers,
            maintenance,
            hosts: needs_hosts.then(HostMonitor::default),
            quota: None,
            snapshot,
            access: features.access,
        };
        // Before the quotas are opened: their queues are bounded by the connections that are left.
        config.side_descriptors = enabled.descriptors();
        config.feature_bytes = features.capture.as_ref().map_or(0, capture::Settings::memory_bytes);
        let quota = features.quota.map(|settings| {
            let store = enabled.snapshot.as_ref();
            let store = store.map(|store| store.application(QUOTA_PART, recovered.as_mut()));
            Quota::open(settings, config, enabled.peers.clone(), store)
        });
        enabled.quota = quota.transpose()?;
        Ok(enabled)
    }

    fn descriptors(&self) -> usize {
        let status = self.status.as_ref().map_or(0, |_| StatusServer::DESCRIPTORS);
        let trail = self.trail.as_ref().map_or(0, |_| Trail::DESCRIPTORS);
        let peers = self.peers.as_ref().map_or(0, |_| Peers::DESCRIPTORS);
        let memory = self.snapshot.as_ref().map_or(0, |_| SnapshotStore::DESCRIPTORS);
        status + trail + peers + memory + self.capture_dumps.as_ref().map_or(0, Dumps::descriptors)
    }

    /// What watches the engine: nothing where nothing is on.
    pub fn observers(&self) -> Vec<Box<dyn Observer<Http>>> {
        let board =
            self.status.as_ref().map(|_| Box::new(self.status_recorder.clone()) as Box<dyn Observer<Http>>);
        let trail = self.trail.as_ref().map(|trail| Box::new(trail.clone()) as _);
        let ring = self.capture_ring.as_ref().map(|ring| Box::new(CaptureObserver::new(ring.clone())) as _);
        let known = self.hosts.as_ref().map(|known| Box::new(known.clone()) as _);
        let memory = self.snapshot.as_ref().map(|memory| Box::new(memory.list_recorder()) as _);
        [board, trail, ring, known, memory].into_iter().flatten().collect()
    }
}

fn open_status(
    settings: Option<status::Settings>,
    config: &Config,
) -> Result<Option<StatusServer>, OpenError> {
    let Some(settings) = settings else { return Ok(None) };
    let Some(port) = settings.listen_port else { return Ok(None) };
    let address = SocketAddr::new(config.listen.ip(), port);
    let listener = front::listen(address).map_err(|error| OpenError::Status { address, error })?;
    Ok(Some(StatusServer::new(listener, settings.refresh)))
}

/// Starts the thread that writes the log, where a feature writes much: it must not wait for whoever reads it, nor keep
/// the log waiting. Capture writes nothing before its first dump.
fn open_output(features: &Features) -> Result<(), OpenError> {
    if features.access.is_some() {
        output::name_clients();
    }
    if features.access.is_some() || features.audit.is_some() || features.log.is_some() {
        output::start().map_err(OpenError::Output)?;
    }
    Ok(())
}

fn open_dumps(settings: &capture::Settings) -> Result<Dumps, OpenError> {
    if let Some(directory) = &settings.dir {
        fs::create_dir_all(directory)
            .map_err(|error| OpenError::CaptureDirectory { directory: directory.clone(), error })?;
    }
    let requested = signal(SignalKind::user_defined1()).map_err(OpenError::CaptureSignal)?;
    Ok(Dumps::new(requested, settings.dir.clone()))
}

fn open_snapshot(
    features: &Features,
    config: &mut Config,
) -> Result<(Option<SnapshotStore>, Option<RecoveredState>), OpenError> {
    let Some(settings) = &features.snapshot else { return Ok((None, None)) };
    let cluster = features.peers.as_ref().map_or("", |peers| peers.cluster.as_str());
    let (store, recovered) = SnapshotStore::open(settings, cluster, config).map_err(OpenError::Snapshot)?;
    Ok((Some(store), recovered))
}

fn bind_peers(settings: flaxhead_peers::Settings, config: &Config) -> Result<Peers, OpenError> {
    let name =
        Name::new(&config.name).map_err(|error| OpenError::PeerName { name: config.name.clone(), error })?;
    let address = settings.listen;
    // New with each start, and derived: what peers do must not shift the module's random draws.
    let seed = !config.seed;
    Peers::bind(settings, name, seed).map_err(|error| OpenError::Peers { address, error })
}

fn start_maintenance(
    mut settings: flaxhead_maintenance_driver::Settings,
    config: &Config,
    peers: Peers,
    store: Option<StateStore<Maintenance>>,
) -> MaintenanceService {
    let longest = config.settings.classes.iter().map(|class| class.deadline).max();
    settings.config.max_call_duration = longest.unwrap_or(settings.config.max_call_duration);
    MaintenanceService::start(settings, peers, config.seed.rotate_left(32), store)
}
