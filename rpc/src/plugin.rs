//! The engine on a thread of its own.

use crate::channel::{Channel, Way};
use crate::front::{Front, Job, Shared};
use crate::grpc::{Answer, Code, Pushback};
use crate::http2::{Http2, Scaling, Spec};
use crate::service::ServiceConfig;
use crate::slot::Wakers;
use flaxhead_discovery::Discovery;
use flaxhead_engine::{BoxError, EndpointList, Engine, EngineConfig, ListHandler, ListSource, WatchFuture};
use flaxhead_limits::RetryBudget;
use flaxhead_membership::Name;
use flaxhead_peers::{Peers, PeersView};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Pauses between attempts to connect to one host; the decision module's own backoff stands above it.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
const BACKOFF_MOST: Duration = Duration::from_secs(5);
/// How long an unload waits for answers that are due at once.
const UNLOAD_MOST: Duration = Duration::from_secs(1);
/// How long [`Plugin::members`] waits for the engine's thread.
const SHOW_MOST: Duration = Duration::from_secs(1);
/// How often [`Plugin::close`] looks whether calls are open.
const LOOK: Duration = Duration::from_millis(2);

/// Where the list of hosts comes from.
#[derive(Clone, Debug)]
pub enum Hosts {
    /// From here, for good.
    Fixed(EndpointList),
    /// From whoever holds the other end, whenever it is changed there.
    Watched(watch::Receiver<EndpointList>),
    /// From the platform's discovery.
    Discovery {
        /// Where it answers.
        address: SocketAddr,
        /// The list as it was last had.
        known: Option<EndpointList>,
    },
}

/// The membership among client proxies, with this plug-in as one of them.
#[derive(Clone, Debug)]
pub struct Peering {
    /// Its name there, the same after a restart of the application.
    pub name: Name,
    /// Addresses, first contacts, cluster and the networks let in.
    pub settings: flaxhead_peers::Settings,
}

/// Why a plug-in did not start.
#[derive(Debug, thiserror::Error)]
#[error("the plug-in did not start: {0}")]
pub struct StartError(#[from] io::Error);

/// What the engine's thread is told.
pub enum Command {
    /// A call.
    Call(Box<Job>),
    /// Show the members, where there are peers.
    Members(mpsc::SyncSender<Option<PeersView>>),
    /// Answer all that is open, and end.
    Unload,
}

/// A running engine. Dropped, it is unloaded: all that is open is answered at once, and its channels refuse.
#[derive(Debug)]
pub struct Plugin {
    commands: UnboundedSender<Command>,
    channel: Channel,
    thread: Option<JoinHandle<()>>,
}

impl Plugin {
    /// Starts an engine on a thread of its own. `seed` is for random numbers; it must differ between plug-ins.
    pub fn start(config: ServiceConfig, hosts: Hosts, seed: u64) -> Result<Plugin, StartError> {
        Plugin::start_among(config, hosts, seed, None)
    }

    /// The same, as a member among client proxies; with `None` it opens no socket for that.
    pub fn start_among(
        config: ServiceConfig,
        hosts: Hosts,
        seed: u64,
        peering: Option<Peering>,
    ) -> Result<Plugin, StartError> {
        let config = Arc::new(config);
        let wakers = Wakers::start()?;
        let (commands, orders) = unbounded_channel();
        let (started, starts) = mpsc::sync_channel(1);
        let told = config.clone();
        let thread = thread::Builder::new().name("flaxhead-engine".to_owned()).spawn(move || {
            let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                // Whoever started it waits for this.
                Err(error) => return drop(started.send(Err(error))),
            };
            LocalSet::new().block_on(&runtime, work(told, hosts, seed, peering, orders, started));
        })?;
        starts.recv().unwrap_or_else(|_| Err(io::Error::other("its thread ended")))?;
        let way = Way { commands: commands.clone(), wakers, open: Arc::default(), most: config.open_most };
        let channel = Channel::new(way, config);
        Ok(Plugin { commands, channel, thread: Some(thread) })
    }

    /// A channel on it, for any thread.
    pub fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// The members that it knows; `None` where it has no peers, or its engine has ended. It waits for the engine's
    /// thread, a second at the most.
    pub fn members(&self) -> Option<PeersView> {
        let (show, shown) = mpsc::sync_channel(1);
        self.commands.send(Command::Members(show)).ok()?;
        shown.recv_timeout(SHOW_MOST).ok().flatten()
    }

    /// Takes no more calls, waits until all are answered but for no longer than `grace`, and unloads.
    pub fn close(self, grace: Duration) {
        self.channel.close();
        let until = std::time::Instant::now() + grace;
        while self.channel.open() > 0 && std::time::Instant::now() < until {
            thread::sleep(LOOK);
        }
    }
}

impl Drop for Plugin {
    fn drop(&mut self) {
        self.channel.close();
        // A thread that has ended has answered all.
        let _ = self.commands.send(Command::Unload);
        // Not from the engine's own threads: they run no code of the host but its wakers.
        if let Some(thread) = self.thread.take().filter(|t| t.thread().id() != thread::current().id()) {
            let _ = thread.join();
        }
    }
}

async fn work(
    config: Arc<ServiceConfig>,
    hosts: Hosts,
    seed: u64,
    peering: Option<Peering>,
    mut orders: UnboundedReceiver<Command>,
    started: mpsc::SyncSender<io::Result<()>>,
) {
    let micros = |span: Duration| span.as_micros() as u64;
    let transport = Http2::new(Spec {
        scaling: Scaling {
            connections_most: config.connections_most,
            backoff_first: micros(BACKOFF_FIRST),
            backoff_most: micros(BACKOFF_MOST),
        },
        connect_timeout: config.connect_timeout,
        answer_most: config.message_most,
    });
    let (cached_list, source): (Option<EndpointList>, Rc<dyn ListSource>) = match hosts {
        Hosts::Fixed(list) => (Some(list.clone()), Rc::new(Watched(watch::Sender::new(list).subscribe()))),
        Hosts::Watched(lists) => {
            let known = lists.borrow().clone();
            (Some(known), Rc::new(Watched(lists)))
        }
        Hosts::Discovery { address, known } if config.settings.subscribe => {
            (known, Rc::new(Discovery::shared(address, seed.rotate_left(16))))
        }
        Hosts::Discovery { address, known } => {
            (known, Rc::new(Discovery::local_agent(address, seed.rotate_left(16))))
        }
    };
    // The budget goes by the engine's clock, which counts from Unix time.
    let budget = config.budget.map(|spec| Rc::new(RefCell::new(RetryBudget::new(spec, 0))));
    let retries = budget.clone().map(|budget| Box::new(Shared(budget)) as _);
    // Of the seed, and not the module's: what peers do must not shift its draws.
    let peers = peering.map(|Peering { name, settings }| Peers::bind(settings, name, !seed)).transpose();
    let peers = match peers {
        Ok(peers) => peers,
        // Whoever started it waits for this.
        Err(error) => return drop(started.send(Err(error))),
    };
    let taking_part = peers.clone().map(|peers| spawn_local(async move { peers.serve().await }));
    let setup = EngineConfig { seed, settings: config.settings.clone(), cached_list };
    let engine = Engine::start(setup, transport, source, Vec::new(), retries);
    let front = Front::new(engine.clone(), config, budget);
    if started.send(Ok(())).is_err() {
        return;
    }
    let mut calls = JoinSet::new();
    loop {
        tokio::select! {
            command = orders.recv() => match command {
                Some(Command::Call(job)) => drop(calls.spawn_local(front.clone().serve(*job))),
                // One that waits no longer has no use for it.
                Some(Command::Members(show)) => drop(show.try_send(peers.as_ref().map(Peers::view))),
                Some(Command::Unload) | None => break,
            },
            Some(_) = calls.join_next() => {}
        }
    }
    // What has come meanwhile has not begun: dropped, it is answered as refused.
    orders.close();
    while orders.try_recv().is_ok() {}
    let until = Instant::now() + UNLOAD_MOST;
    while !calls.is_empty() && Instant::now() < until {
        engine.complete_all_calls();
        tokio::select! {
            _ = calls.join_next() => {}
            () = sleep(LOOK) => {}
        }
    }
    if let Some(peers) = peers {
        let _ = timeout(UNLOAD_MOST, peers.leave()).await;
    }
    drop(taking_part);
    engine.log_counts();
}

/// What is said of a call that had not begun when the plug-in ended.
pub fn unloaded() -> Answer {
    let reason = "the plug-in is unloaded, it never ran";
    Answer::of(Code::Unavailable, reason, Some(crate::front::NEVER_RAN), Pushback::Unsaid)
}

/// A list that its holder changes.
struct Watched(watch::Receiver<EndpointList>);

impl ListSource for Watched {
    fn watch(&self, _: Option<u64>, mut news: ListHandler) -> WatchFuture {
        let mut lists = self.0.clone();
        Box::pin(async move {
            loop {
                let list = lists.borrow_and_update().clone();
                news(EndpointList { whole: true, ..list });
                if lists.changed().await.is_err() {
                    // Nobody changes it any more: it stays as it is.
                    std::future::pending::<BoxError>().await;
                }
            }
        })
    }
}
