//! The daemon flaxhead, a client proxy: it takes an application's requests over HTTP/1.1 and passes each to a host of
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
pub mod output;
pub mod program;

use config::Config;
use enabled_features::EnabledFeatures;
use features::maintenance::{EngineHosts, GatedSource};
use features::status::StatusSources;
use flaxhead_discovery::Discovery;
use flaxhead_engine::{spawn, Engine, EngineConfig, ListSource};
use flaxhead_maintenance_driver::MaintenanceService;
use http::front::{self, Driver};
use http::Http;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

/// How long a stop waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(500);

/// Serves until `stop` is done and all that was taken is answered, with the list that is watched at the last
/// address in `discovery` and the features of `side`. Runs inside a [`tokio::task::LocalSet`].
pub async fn run(
    config: Config,
    side: EnabledFeatures,
    listener: TcpListener,
    mut discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) {
    let Config { seed, connect_timeout, conn_idle, .. } = config;
    let mut known = config.known.clone();
    let transport = Http::new(config.connections_each_way(), connect_timeout, conn_idle);
    // Where hosts are taken out for work, a proxy sends to none before it knows which are to be left alone.
    let open = side.maintenance.as_ref().map(MaintenanceService::may_serve);
    // Of the seed, and not the module's: when a silent watch is opened again must not shift its draws.
    let (ask, watch_seed) = (config.settings.ask, seed.rotate_left(16));
    let watched = move |address| match ask {
        true => Discovery::shared(address, watch_seed),
        false => Discovery::local_agent(address, watch_seed),
    };
    let source: Rc<dyn ListSource> = match &open {
        Some(open) => {
            Rc::new(GatedSource::new(watched(config.discovery), open.clone(), known.take(), watch_seed))
        }
        None => Rc::new(watched(config.discovery)),
    };
    let setup = EngineConfig { seed, settings: config.settings.clone(), known };
    let engine = Engine::start(setup, transport, source, side.observers(), None);
    let (trail, ring, board) = (side.trail, side.capture_ring, side.status_recorder);
    let _dumps = side.capture_dumps.zip(ring).map(|(dumps, ring)| spawn(dumps.serve(ring)));
    let classes = config.classes.clone();
    let work = side.maintenance.clone();
    let _work = side.maintenance.zip(side.hosts.clone()).map(|(work, known)| {
        let fleet = Rc::new(EngineHosts::new(engine.clone(), known, trail.clone()));
        spawn(async move { work.serve(fleet).await })
    });
    let queues = side.quota.as_ref().map(|shares| shares.queues.clone());
    let _shares = side.quota.clone().zip(side.hosts).map(|(shares, known)| {
        let engine = engine.clone();
        spawn(async move { shares.serve(engine, known).await })
    });
    let shown = StatusSources { peers: side.peers.clone(), maintenance: work, quota: side.quota };
    let _status = side.status.map(|page| spawn(page.serve(engine.clone(), board, classes, shown)));
    let _peers = side.peers.clone().map(|peers| spawn(async move { peers.serve().await }));
    let (moving, memory) = (engine.clone(), side.snapshot.clone());
    let _moving = spawn(async move {
        while discovery.changed().await.is_ok() {
            let address = *discovery.borrow_and_update();
            tracing::info!("discovery is at {address}");
            memory.iter().for_each(|memory| memory.set_discovery(address));
            moving.watch_at(match &open {
                Some(open) => Rc::new(GatedSource::new(watched(address), open.clone(), None, watch_seed)),
                None => Rc::new(watched(address)),
            });
        }
    });
    let driver = Driver { engine: engine.clone(), config: Rc::new(config), queues };
    // Peers hear of the stop while what was taken is answered.
    let (told, stopping) = oneshot::channel::<()>();
    let leaving = side.peers.map(|peers| {
        spawn_local(async move {
            if stopping.await.is_ok() {
                peers.leave().await;
            }
        })
    });
    let stop = async move {
        stop.await;
        // Nobody listens where there are no peers.
        let _ = told.send(());
    };
    front::serve(listener, driver, side.access, stop).await;
    if let Some(leaving) = leaving {
        let _ = leaving.await;
    }
    engine.log_counts();
    if let Some(trail) = trail {
        trail.close().await;
    }
    if let Some(memory) = side.snapshot {
        memory.close();
    }
    output::flush(LAST_LINES).await;
}
