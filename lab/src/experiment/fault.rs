//! What goes wrong in a run.

use super::{Experiment, SECONDS_MOST};
use serde::Deserialize;

/// Something that goes wrong, from a moment on and for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    pub at: f64,
    /// For how long, in seconds; absent: for good.
    #[serde(rename = "for")]
    pub lasts: Option<f64>,
    /// What.
    pub kind: FaultKind,
    /// Nodes that it hits, by number; absent: as many as `count`, drawn.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// How many, where none are named.
    #[serde(default = "one_node")]
    pub count: usize,
    /// Proxies that it hits.
    #[serde(default)]
    pub proxies: Vec<usize>,
    /// Of a link: the proxies at its other end; absent: all others.
    #[serde(default)]
    pub to: Vec<usize>,
    /// Of a link: both directions.
    #[serde(default)]
    pub both: bool,
    /// Of a link: how much the added time varies, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// The zone that it hits.
    pub zone: Option<String>,
    /// Share of the requests or exchanges that it hits.
    #[serde(default = "all")]
    pub share: f64,
    /// Of a kill: the proxies start again at times drawn over so many seconds after its end.
    #[serde(default)]
    pub spread_s: f64,
    /// Of a kill: what becomes of the state that the proxies keep on disk.
    pub state: Option<Kept>,
    /// Added distance, or the pause between two nodes of a release, in milliseconds.
    #[serde(default)]
    pub ms: f64,
}

fn one_node() -> usize {
    1
}

fn all() -> f64 {
    1.0
}

/// Why a fault cannot be brought about.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum UnfitFault {
    /// A line by hand that is not understood.
    #[error("{0}")]
    Unread(String),
    /// By hand, of a proxy.
    #[error("a proxy's fault: signal its process")]
    OfProxy,
    /// Times that cannot be.
    #[error("at, for and spread_s: 0 to {SECONDS_MOST} seconds")]
    Times,
    /// Figures that cannot be.
    #[error("share: 0 to 1; ms: 0 to 60000")]
    Figures,
    /// Neither times nor states without restarts.
    #[error("spread_s and state are of a kill")]
    NoRestart,
    /// State that nobody keeps.
    #[error("state needs the section [state]")]
    NoState,
    /// A node that is not.
    #[error("there is no node {0}, only 0 to {1}")]
    NoNode(usize, usize),
    /// A proxy that is not.
    #[error("there is no proxy {0}, only 0 to {1}")]
    NoProxy(usize, usize),
    /// A zone that is not.
    #[error("there is no zone {0}")]
    NoZone(String),
    /// More nodes than there are.
    #[error("count = {0}: there are {1} nodes")]
    Count(usize, usize),
    /// A link without peers.
    #[error("a link's fault needs [peers]")]
    NoPeers,
    /// A cut without a zone.
    #[error("a zone cut names its zone")]
    ZoneUnnamed,
    /// One that must end.
    #[error("a pause and a freeze say for how long")]
    Endless,
}

/// What a proxy that starts again finds of the state that it kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kept {
    /// All of it.
    Keep,
    /// Nothing.
    Lose,
    /// What there was when it was copied.
    Old,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process dies: connections are reset, new ones refused; afterwards it is back, cold.
    Crash,
    /// The machine says nothing: open connections stay silent, new ones never come up.
    Vanish,
    /// Discovery says that it drains; it turns new requests away. Afterwards it is ready again.
    Drain,
    /// The named nodes are drained, stopped and started again cold, one after the other.
    Release,
    /// Requests fail fast with 500, before they run.
    FastErrors,
    /// Requests run and are answered with 500.
    LateErrors,
    /// A zone and the others no longer hear of each other.
    ZoneCut,
    /// The way to the nodes takes longer.
    Distance,
    /// The node does nothing for the time, and then goes on.
    Pause,
    /// A connection is reset before anything is read.
    ResetBeforeRequest,
    /// A connection is reset before the request is read whole.
    ResetInRequest,
    /// A request runs, and its connection is reset before the answer.
    ResetAfterRequest,
    /// A request runs, and its connection is reset in the middle of the answer.
    ResetInAnswer,
    /// After a whole answer the connection is dropped without a sign.
    ResetAfterAnswer,
    /// A request runs, and the node ends its side without an answer.
    HalfClose,
    /// A request runs, and the answer is garbage.
    Garbage,
    /// Over HTTP/2: a request's stream is refused before it is looked at.
    RefusedStreams,
    /// Over HTTP/2: after an answer, GOAWAY; the connection closes when nothing is out on it.
    GoAway,
    /// A request runs, and over HTTP/2 GOAWAY says that it did and the connection closes; over HTTP/1.1 it is reset.
    AbruptGoAway,
    /// Over HTTP/2: while it lasts, two streams a connection.
    FewStreams,
    /// Discovery says nothing.
    Silence,
    /// The proxy is stopped and goes on afterwards.
    Freeze,
    /// The proxy is killed and started again after the time with its last list.
    Kill,
    /// Nothing passes from proxies to others.
    LinkCut,
    /// Datagrams between proxies are lost, and connections reset (`share`).
    LinkLoss,
    /// What proxies say to others is late (`ms`, `jitter_ms`).
    LinkDelay,
    /// Datagrams between proxies come twice (`share`).
    LinkDuplicate,
    /// Datagrams between proxies are overtaken (`share`).
    LinkReorder,
    /// A bit of what proxies say is turned (`share`).
    LinkCorrupt,
}

impl FaultKind {
    /// Whether it is a proxy that it hits.
    pub fn is_of_proxy(self) -> bool {
        matches!(self, FaultKind::Freeze | FaultKind::Kill | FaultKind::Silence) || self.is_of_link()
    }

    /// Whether it is the way between proxies that it hits.
    pub fn is_of_link(self) -> bool {
        use FaultKind::{LinkCorrupt, LinkCut, LinkDelay, LinkDuplicate, LinkLoss, LinkReorder};
        matches!(self, LinkCut | LinkLoss | LinkDelay | LinkDuplicate | LinkReorder | LinkCorrupt)
    }
}

impl Fault {
    /// A fault as a line says it by hand: its kind, then keys and values, such as `crash nodes=[0,2] for=1.5`.
    pub fn by_hand(line: &str, of: &Experiment) -> Result<Fault, UnfitFault> {
        let mut words = line.split_whitespace();
        let kind = words.next().unwrap_or_default();
        let quoted = |word: &str| match word.split_once('=') {
            Some((key, value)) if value.starts_with(|c: char| c.is_alphabetic()) => {
                format!("{key} = {value:?}")
            }
            _ => word.to_owned(),
        };
        let text = format!("at = 0\nkind = {kind:?}\n{}", words.map(quoted).collect::<Vec<_>>().join("\n"));
        let fault: Fault =
            toml::from_str(&text).map_err(|error| UnfitFault::Unread(error.message().to_owned()))?;
        if fault.kind.is_of_proxy() && fault.kind != FaultKind::Silence {
            return Err(UnfitFault::OfProxy);
        }
        fault.check(of)?;
        Ok(fault)
    }

    pub(super) fn check(&self, of: &Experiment) -> Result<(), UnfitFault> {
        let (nodes, proxies) = (of.node_count(), of.proxies.count);
        let times = [self.at, self.lasts.unwrap_or(0.0), self.spread_s];
        if !times.iter().all(|seconds| (0.0..=SECONDS_MOST).contains(seconds)) {
            return Err(UnfitFault::Times);
        }
        if self.kind != FaultKind::Kill && (self.spread_s > 0.0 || self.state.is_some()) {
            return Err(UnfitFault::NoRestart);
        }
        if self.state.is_some() && of.state.is_none() {
            return Err(UnfitFault::NoState);
        }
        if !(0.0..=1.0).contains(&self.share)
            || ![self.ms, self.jitter_ms].iter().all(|ms| (0.0..=60_000.0).contains(ms))
        {
            return Err(UnfitFault::Figures);
        }
        if let Some(node) = self.nodes.iter().find(|&&node| node >= nodes) {
            return Err(UnfitFault::NoNode(*node, nodes - 1));
        }
        if self.kind.is_of_link() && of.peers.is_none() {
            return Err(UnfitFault::NoPeers);
        }
        if let Some(proxy) = self.proxies.iter().chain(&self.to).find(|&&proxy| proxy >= proxies) {
            return Err(UnfitFault::NoProxy(*proxy, proxies - 1));
        }
        if self.nodes.is_empty() && self.count > nodes {
            return Err(UnfitFault::Count(self.count, nodes));
        }
        match (&self.zone, self.kind) {
            (None, FaultKind::ZoneCut) => return Err(UnfitFault::ZoneUnnamed),
            (Some(zone), _) if !of.fleet.zones.contains(zone) => {
                return Err(UnfitFault::NoZone(zone.clone()))
            }
            _ => {}
        }
        let needs_end = matches!(self.kind, FaultKind::Pause | FaultKind::Freeze);
        if needs_end && self.lasts.is_none() {
            return Err(UnfitFault::Endless);
        }
        Ok(())
    }
}
