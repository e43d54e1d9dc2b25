//! The features that are switched on, opened before the proxy serves: what cannot be opened ends the start.

use crate::config::Config;
use crate::features::audit::Trail;
use crate::features::capture::{Dumps, Recorder, Watch};
use crate::features::hosts::HostMonitor;
use crate::features::quota::Quota;
use crate::features::snapshot::SnapshotStore;
use crate::features::status::{StatusRecorder, StatusServer};
use crate::features::Features;
use crate::http::{front, Http};
use crate::output;
use flaxhead_engine::Observer;
use flaxhead_maintenance_driver::MaintenanceService;
use flaxhead_membership::Name;
use flaxhead_peers::Peers;
use flaxhead_policy::Access;
use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// What is on.
#[derive(Debug, Default)]
pub struct EnabledFeatures {
    /// The status page.
    pub status: Option<StatusServer>,
    /// What is noted for it.
    pub status_recorder: StatusRecorder,
    /// The audit trail.
    pub trail: Option<Trail>,
    /// Capture's ring.
    pub capture_ring: Option<Rc<RefCell<Recorder>>>,
    /// What writes it out.
    pub capture_dumps: Option<Dumps>,
    /// The membership among client proxies.
    pub peers: Option<Peers>,
    /// Hosts taken out for work.
    pub maintenance: Option<MaintenanceService>,
    /// What is known of the hosts, where something is settled by it.
    pub hosts: Option<HostMonitor>,
    /// Connection capacity that tenants share.
    pub quota: Option<Quota>,
    /// What is remembered on disk.
    pub snapshot: Option<SnapshotStore>,
    /// Address lists.
    pub access: Option<Access>,
}

impl EnabledFeatures {
    /// Opens what the features need, and sets the descriptors for it aside.
    pub fn open(features: Features, config: &mut Config) -> Result<EnabledFeatures, String> {
        let status = features.status.and_then(|status| Some((status.listen_port?, status.refresh)));
        let status = status.map(|(port, refresh)| {
            let address = SocketAddr::new(config.listen.ip(), port);
            let listener =
                front::listen(address).map_err(|e| format!("[status] listen_port: {address}: {e}"))?;
            Ok::<_, String>(StatusServer::new(listener, refresh))
        });
        let status = status.transpose()?;
        let (audit, capture) = (features.audit.as_ref(), features.capture.as_ref());
        if features.access.is_some() {
            output::name_clients();
        }
        // What these write must not wait for whoever reads it, nor keep the log waiting. Capture writes nothing before
        // its first dump.
        if features.access.is_some() || audit.is_some() || features.log.is_some() {
            output::start().map_err(|e| e.to_string())?;
        }
        let trail = audit.map(Trail::open).transpose().map_err(|e| e.to_string())?;
        let dumps = capture.map(|capture| {
            if let Some(dir) = &capture.dir {
                fs::create_dir_all(dir).map_err(|e| format!("[capture] {}: {e}", dir.display()))?;
            }
            let asked = signal(SignalKind::user_defined1()).map_err(|e| format!("[capture] {e}"))?;
            Ok::<_, String>(Dumps::new(asked, capture.dir.clone()))
        });
        let recorder = capture.map(|capture| Rc::new(RefCell::new(Recorder::new(capture, config.seed))));
        let cluster = features.peers.as_ref().map_or("", |peers| peers.cluster.as_str());
        let memory = features.snapshot.as_ref().map(|state| SnapshotStore::open(state, cluster, config));
        let memory = memory.transpose().map_err(|e| format!("[state]: no thread for it: {e}"))?;
        let (memory, recollection) = memory.unzip();
        let mut recollection = recollection.flatten();
        let peers = features.peers.map(|settings| {
            let name = Name::new(&config.name).map_err(|e| format!("[peers] name {:?}: {e}", config.name))?;
            let at = settings.listen;
            // New with each start, and not the module's: what peers do must not shift its draws.
            Peers::bind(settings, name, !config.seed).map_err(|e| format!("[peers] listen: {at}: {e}"))
        });
        let peers = peers.transpose()?;
        let work = features.maintenance.zip(peers.clone()).map(|(mut settings, peers)| {
            let longest = config.settings.classes.iter().map(|class| class.deadline).max();
            settings.config.max_call_duration = longest.unwrap_or(settings.config.max_call_duration);
            let disk = memory.as_ref().map(|memory| memory.application("turns", recollection.as_mut()));
            MaintenanceService::start(settings, peers, config.seed.rotate_left(32), disk)
        });
        let (access, dumps, board) = (features.access, dumps.transpose()?, StatusRecorder::default());
        let hosts = (work.is_some() || features.quota.is_some()).then(HostMonitor::default);
        let shares = None;
        let mut side = EnabledFeatures {
            status,
            status_recorder: board,
            trail,
            capture_ring: recorder,
            peers,
            maintenance: work,
            hosts,
            quota: shares,
            snapshot: memory,
            access,
            capture_dumps: dumps,
        };
        config.side_descriptors = side.descriptors();
        let shares = features.quota.map(|settings| {
            let disk =
                side.snapshot.as_ref().map(|memory| memory.application("shares", recollection.as_mut()));
            Quota::open(settings, config, side.peers.clone(), disk)
        });
        side.quota = shares.transpose().map_err(|error| error.to_string())?;
        Ok(side)
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
        let ring = self.capture_ring.as_ref().map(|ring| Box::new(Watch::new(ring.clone())) as _);
        let known = self.hosts.as_ref().map(|known| Box::new(known.clone()) as _);
        let memory = self.snapshot.as_ref().map(|memory| Box::new(memory.list_recorder()) as _);
        [board, trail, ring, known, memory].into_iter().flatten().collect()
    }
}
