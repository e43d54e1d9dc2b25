//! The fleet on sockets: nodes over HTTP/1.1, discovery, and the faults that befall them, all on one thread.
//!
//! Every proxy reaches every node, and discovery, at an address of its own. So a node knows who sends, and the way
//! between two zones can be long, or cut, for some proxies alone.

mod discovery;
mod faults;
mod grpc;
mod hand;
mod http;
mod node;

use crate::experiment::Experiment;
use crate::ledger::FleetLedger;
use crate::load::schedule::{Schedule, Trouble};
use crate::model::node::{Micros, Node, Spec};
use crate::model::pod::Pod;
use crate::{ports, Epoch};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::LocalSet;

/// What the thread is asked.
enum Command {
    /// The whole list as a proxy is told it when it starts.
    List(usize, mpsc::Sender<serde_json::Value>),
    /// A fault by hand.
    Trouble(Trouble),
    /// The end.
    Stop,
}

/// A running fleet. Dropped, it stops.
pub struct Fleet {
    /// Where each proxy finds discovery.
    pub discovery: Vec<SocketAddr>,
    commands: tokio::sync::mpsc::Sender<Command>,
    thread: Option<JoinHandle<FleetLedger>>,
}

impl Fleet {
    /// Binds all addresses and starts to serve; faults come at their times after `epoch`.
    pub fn start(experiment: &Experiment, schedule: &Schedule, epoch: Epoch) -> io::Result<Fleet> {
        let (nodes, proxies) = (experiment.node_count(), experiment.proxies.count);
        let bind = || TcpListener::bind((ports::own(), 0)).and_then(|l| l.set_nonblocking(true).map(|()| l));
        let listeners: Vec<Vec<TcpListener>> =
            (0..nodes).map(|_| (0..proxies).map(|_| bind()).collect()).collect::<io::Result<_>>()?;
        let tellers: Vec<TcpListener> = (0..proxies).map(|_| bind()).collect::<io::Result<_>>()?;
        let discovery = tellers.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (commands, mut asked) = tokio::sync::mpsc::channel(16);
        let (experiment, schedule) = (experiment.clone(), schedule.clone());
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                let fleet = Rc::new(RefCell::new(State::new(&experiment, &schedule, &listeners, epoch)));
                node::serve(&fleet, listeners);
                discovery::serve(&fleet, tellers);
                faults::schedule(&fleet, schedule.troubles);
                hand::beat(&fleet);
                while let Some(command) = asked.recv().await {
                    match command {
                        // Whoever asked may have gone.
                        Command::List(proxy, to) => drop(to.send(discovery::whole(&fleet, proxy))),
                        Command::Trouble(trouble) => faults::schedule(&fleet, vec![trouble]),
                        Command::Stop => break,
                    }
                }
                let mut state = fleet.borrow_mut();
                let now = state.epoch.now();
                let open = state.ledger.handled.iter_mut().filter(|handled| handled.ended == Micros::MAX);
                open.for_each(|handled| handled.ended = now);
                std::mem::take(&mut state.ledger)
            })
        })?;
        Ok(Fleet { discovery, commands, thread: Some(thread) })
    }

    /// The list of nodes as a proxy is told it when it starts; it counts as told now.
    pub fn list(&self, proxy: usize) -> Option<serde_json::Value> {
        let (to, list) = mpsc::channel();
        self.commands.blocking_send(Command::List(proxy, to)).ok()?;
        list.recv_timeout(Duration::from_secs(5)).ok()
    }

    /// Brings a fault about.
    pub fn befall(&self, trouble: Trouble) {
        // A fleet that has ended has no more faults.
        let _ = self.commands.blocking_send(Command::Trouble(trouble));
    }

    /// Ends the fleet and hands its ledger over.
    pub fn stop(mut self) -> FleetLedger {
        let _ = self.commands.blocking_send(Command::Stop);
        self.thread.take().and_then(|thread| thread.join().ok()).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.commands.try_send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Whether a node can be reached from a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Link {
    #[default]
    Up,
    /// Nothing comes through, and nobody is told.
    Silent,
    /// The process is gone.
    Down,
}

/// What discovery says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Ready,
    Terminating,
    Gone,
}

/// Shares of requests that go wrong at a node, by kind.
type Odds = HashMap<crate::experiment::FaultKind, f64>;

struct Place {
    model: Node,
    spec: Spec,
    zone: usize,
    pod: usize,
    /// Where each proxy reaches it.
    addresses: Vec<SocketAddr>,
    links: Vec<watch::Sender<Link>>,
    /// Its process does not run.
    stopped: bool,
    /// How many faults keep it from being heard.
    silent: u32,
    /// Draining, by its own knowledge.
    draining: bool,
    odds: Odds,
    /// Added to the way, in microseconds.
    distance: Micros,
    open: usize,
    /// Jobs in hand: where each stands in the ledger, and who waits for it.
    jobs: HashMap<u64, (usize, oneshot::Sender<()>)>,
    /// Proxies that have sent to its process.
    met: Vec<bool>,
    changed: Rc<Notify>,
}

/// One line of the list of nodes.
#[derive(Clone, Copy, Debug)]
struct Member {
    health: Health,
    /// When its process started, in microseconds of the run; `None`: long ago.
    started: Option<Micros>,
    /// The version of the list with which this last changed.
    version: u64,
}

struct State {
    epoch: Epoch,
    zones: Vec<String>,
    /// The zone of each proxy.
    proxy_zones: Vec<usize>,
    between: Micros,
    window: Micros,
    news_delay: Micros,
    nodes: Vec<Place>,
    pods: Vec<Pod>,
    members: Vec<Member>,
    version: watch::Sender<u64>,
    /// Zones that are cut off from the others.
    cut: Vec<usize>,
    /// Discovery says nothing to these proxies.
    silent: Vec<watch::Sender<bool>>,
    ledger: FleetLedger,
    next_job: u64,
    /// The last turn of the thread and the one before.
    turns: (Micros, Micros),
    random: Pcg64,
}

type Shared = Rc<RefCell<State>>;

impl State {
    fn new(of: &Experiment, schedule: &Schedule, listeners: &[Vec<TcpListener>], epoch: Epoch) -> State {
        let (zones, proxies) = (of.fleet.zones.len(), of.proxies.count);
        let specs = of.specs();
        let place = |((n, spec), speed): ((usize, &Spec), &f64)| {
            let spec = Spec { speed: *speed, ..spec.clone() };
            Place {
                model: Node::warm(spec.clone()),
                spec,
                zone: n % zones,
                pod: n / of.fleet.pod,
                addresses: listeners[n].iter().filter_map(|l| l.local_addr().ok()).collect(),
                links: (0..proxies).map(|_| watch::Sender::default()).collect(),
                stopped: false,
                silent: 0,
                draining: false,
                odds: Odds::default(),
                distance: 0,
                open: 0,
                jobs: HashMap::new(),
                met: vec![false; proxies],
                changed: Rc::default(),
            }
        };
        let nodes: Vec<Place> = specs.enumerate().zip(&schedule.speeds).map(place).collect();
        let count = nodes.len();
        let ledger =
            FleetLedger { probes: vec![0; count], connections: vec![0; count], ..FleetLedger::default() };
        State {
            epoch,
            zones: of.fleet.zones.clone(),
            proxy_zones: (0..proxies).map(|n| n % zones).collect(),
            between: (of.fleet.between_zones_ms * 1_000.0) as Micros,
            window: of.fleet.repeat_window_ms * 1_000,
            news_delay: of.fleet.news_delay_ms * 1_000,
            pods: (0..=count / of.fleet.pod).map(|_| Pod::default()).collect(),
            members: vec![Member { health: Health::Ready, started: None, version: 1 }; count],
            nodes,
            version: watch::Sender::new(1),
            cut: Vec::new(),
            silent: (0..proxies).map(|_| watch::Sender::new(false)).collect(),
            ledger,
            next_job: 0,
            turns: (0, 0),
            random: Pcg64::seed_from_u64(schedule.seed ^ 0x5eed),
        }
    }

    /// One way between a proxy and a node, in microseconds.
    fn way(&self, proxy: usize, node: usize) -> Duration {
        let place = &self.nodes[node];
        let far = if self.proxy_zones[proxy] == place.zone { 0 } else { self.between };
        Duration::from_micros(far + place.distance)
    }
}
