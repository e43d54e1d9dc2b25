//! The daemon flaxhead, a client proxy: it takes an application's requests over HTTP/1.1 and forwards each to a host of
//! a fleet, as the decision module `flaxhead_policy` says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admin_client;
pub mod config;
pub mod enabled_features;
pub mod features;
pub mod http;
pub mod maintenance_command;
pub mod members;
pub mod memory;
pub mod output;
pub mod program;

use config::Config;
use enabled_features::EnabledFeatures;
use features::maintenance::{EngineHosts, GatedSource};
use features::snapshot::SnapshotStore;
use features::status::StatusSources;
use flaxhead_discovery::Discovery;
use flaxhead_engine::{spawn, EndpointList, Engine, EngineConfig, ListSource, Task};
use flaxhead_maintenance_driver::MaintenanceService;
use flaxhead_peers::Peers;
use http::front::{self, AbandonedCalls, Driver, Throttle};
use http::Http;
use memory::Memory;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// How long a stop waits for the last log lines to be written.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves until `stop` is done and all requests that were taken have their response, with the endpoint list that is watched
/// at the last address in `discovery`. Runs inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    mut features: EnabledFeatures,
    listener: TcpListener,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) {
    let sources = ListSources::new(&config, &features);
    let memory = Memory::new(&config.memory_plan());
    let engine = start_engine(&config, &features, &sources, memory.clone());
    let tasks = spawn_features(&config, &mut features, &engine);
    let snapshot = features.snapshot.clone();
    let following = spawn(follow_discovery(discovery, engine.clone(), sources, snapshot.clone()));
    let queues = features.quota.as_ref().map(|quota| quota.queues.clone());
    let abandoned = AbandonedCalls::default();
    let throttle = Throttle::new(config.cores);
    let driver =
        Driver { engine: engine.clone(), config: Rc::new(config), queues, memory, abandoned, throttle };
    // Peers learn of the stop while what was taken is answered.
    let (stopping, stopped) = oneshot::channel::<()>();
    let leaving = features.peers.map(|peers| spawn_local(leave(peers, stopped)));
    let stop = async move {
        stop.await;
        // Nobody listens where there are no peers.
        let _ = stopping.send(());
    };
    front::serve(listener, driver, features.access, stop).await;
    if let Some(leaving) = leaving {
        let _ = leaving.await;
    }
    engine.log_counts();
    if let Some(trail) = features.trail {
        trail.close().await;
    }
    if let Some(snapshot) = snapshot {
        snapshot.close();
    }
    output::flush(LAST_LINES_TIMEOUT).await;
    drop((tasks, following));
}

/// Makes list sources, as the settings and features have them.
struct ListSources {
    is_shared: bool,
    seed: u64,
    /// Longest text of a list.
    max_list_bytes: usize,
    /// Where hosts are drained for maintenance, a proxy sends to none before it knows which are excluded.
    gate: Option<watch::Receiver<bool>>,
}

impl ListSources {
    fn new(config: &Config, features: &EnabledFeatures) -> ListSources {
        ListSources {
            is_shared: config.settings.subscribe,
            // Derived, so that when a silent watch is opened again does not shift the module's random draws.
            seed: config.seed.rotate_left(16),
            max_list_bytes: config.memory_plan().list_text_bytes,
            gate: features.maintenance.as_ref().map(MaintenanceService::may_serve),
        }
    }

    /// A source at an address. Behind the gate, if there is one, `known` comes first.
    fn source(&self, address: SocketAddr, known: Option<EndpointList>) -> Rc<dyn ListSource> {
        let discovery = match self.is_shared {
            true => Discovery::shared(address, self.seed),
            false => Discovery::local_agent(address, self.seed),
        };
        let discovery = discovery.with_max_list_bytes(self.max_list_bytes);
        match &self.gate {
            Some(gate) => Rc::new(GatedSource::new(discovery, gate.clone(), known, self.seed)),
            None => Rc::new(discovery),
        }
    }
}

fn start_engine(
    config: &Config,
    features: &EnabledFeatures,
    sources: &ListSources,
    memory: Memory,
) -> Engine<Http> {
    let transport = Http::new(config.connections_each_way(), config.connect_timeout, config.conn_idle)
        .with_memory(memory);
    // Behind a gate the source has the known list, and the engine starts without one.
    let (gated, cached_list) = match sources.gate {
        Some(_) => (config.known.clone(), None),
        None => (None, config.known.clone()),
    };
    let source = sources.source(config.discovery, gated);
    let setup = EngineConfig { seed: config.seed, settings: config.settings.clone(), cached_list };
    Engine::start(setup, transport, source, features.observers(), None)
}

/// Starts the features' tasks, which run until they are dropped.
fn spawn_features(config: &Config, features: &mut EnabledFeatures, engine: &Engine<Http>) -> Vec<Task> {
    let mut tasks = Vec::new();
    if let (Some(ring), Some(dumps)) = (&features.capture_ring, features.capture_dumps.take()) {
        tasks.push(spawn(dumps.serve(ring.clone())));
    }
    if let (Some(maintenance), Some(monitor)) = (features.maintenance.clone(), features.hosts.clone()) {
        let hosts = Rc::new(EngineHosts::new(engine.clone(), monitor, features.trail.clone()));
        tasks.push(spawn(async move { maintenance.serve(hosts).await }));
    }
    if let (Some(quota), Some(monitor)) = (features.quota.clone(), features.hosts.clone()) {
        let engine = engine.clone();
        tasks.push(spawn(async move { quota.serve(engine, monitor).await }));
    }
    if let Some(status) = features.status.take() {
        let sources = StatusSources {
            peers: features.peers.clone(),
            maintenance: features.maintenance.clone(),
            quota: features.quota.clone(),
        };
        let recorder = features.status_recorder.clone();
        tasks.push(spawn(status.serve(engine.clone(), recorder, config.classes.clone(), sources)));
    }
    if let Some(peers) = features.peers.clone() {
        tasks.push(spawn(async move { peers.serve().await }));
    }
    tasks
}

/// Watches the list wherever discovery moves to.
async fn follow_discovery(
    mut discovery: watch::Receiver<SocketAddr>,
    engine: Engine<Http>,
    sources: ListSources,
    snapshot: Option<SnapshotStore>,
) {
    while discovery.changed().await.is_ok() {
        let address = *discovery.borrow_and_update();
        tracing::info!("discovery is at {address}");
        if let Some(snapshot) = &snapshot {
            snapshot.set_discovery(address);
        }
        engine.set_list_source(sources.source(address, None));
    }
}

/// Tells the peers that this process leaves, once it is told to stop.
async fn leave(peers: Peers, stopped: oneshot::Receiver<()>) {
    if stopped.await.is_ok() {
        peers.leave().await;
    }
}
