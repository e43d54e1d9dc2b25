//! An experiment's file: the fleet, the proxies, the load, the faults, and what must hold. Checked before it runs.

use crate::audit::Repeat;
use crate::load::shape::Shape;
use crate::model::node::Spec;
use crate::turns::script::Work;
use serde::Deserialize;
use std::path::Path;
use toml::Spanned;

/// Most of whatever a file may ask for, so that a slip of a digit does not take the machine down.
const NODES_MOST: usize = 512;
const PROXIES_MOST: usize = 64;
const PAIRS_MOST: usize = 2_048;
const SECONDS_MOST: f64 = 3_600.0;
const ARRIVALS_MOST: f64 = 20_000_000.0;

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// It cannot be read.
    #[error("{file}: {reason}")]
    Unread {
        /// Which.
        file: String,
        /// Why.
        reason: std::io::Error,
    },
    /// Something in it is not understood or not possible.
    #[error("{file}:{line}: {reason}")]
    Line {
        /// Which.
        file: String,
        /// Where, from 1.
        line: usize,
        /// Why.
        reason: String,
    },
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, which the report carries.
    pub name: Spanned<String>,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// How long requests arrive, in seconds.
    pub seconds: Spanned<f64>,
    /// For all that is drawn.
    #[serde(default = "one")]
    pub seed: u64,
    /// The nodes.
    pub fleet: Fleet,
    /// The proxies.
    #[serde(default)]
    pub proxies: Proxies,
    /// Proxies that know of each other, with a relay between them; absent: they do not.
    pub peers: Option<Spanned<Peers>>,
    /// Proxies that settle which host is taken out for work next; absent: they do not.
    pub work: Option<Spanned<Work>>,
    /// What the clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The classes of requests; by default the four of the payment fleet.
    #[serde(default = "payment_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants and their shares of the requests.
    #[serde(default = "one_tenant", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Shapes of load; they add up.
    pub load: Vec<Spanned<Shape>>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// What must hold for the run to pass, beside the rules.
    #[serde(default)]
    pub hold: Hold,
}

fn one() -> u64 {
    1
}

/// The nodes of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Zones; nodes are spread over them in turn.
    #[serde(default = "three_zones")]
    pub zones: Vec<String>,
    /// One way between two zones, in milliseconds.
    #[serde(default)]
    pub between_zones_ms: f64,
    /// Nodes of one pod, which drop each other's repeats.
    #[serde(default = "three")]
    pub pod: usize,
    /// For how long they do, in milliseconds.
    #[serde(default = "six_seconds")]
    pub repeat_window_ms: u64,
    /// How late discovery tells of a change, in milliseconds.
    #[serde(default)]
    pub news_delay_ms: u64,
    /// Kinds of nodes.
    pub nodes: Vec<Spanned<Spec>>,
}

fn three_zones() -> Vec<String> {
    ["palermo", "catania", "milano"].map(str::to_owned).to_vec()
}

fn three() -> usize {
    3
}

fn six_seconds() -> u64 {
    6_000
}

/// The proxies of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Proxies {
    /// How many, spread over the zones in turn.
    pub count: usize,
    /// How much more of the load each carries than the next; 1: all the same.
    pub skew: f64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// A second copy may be sent while the first runs.
    pub second_copies: bool,
    /// Longest time to come back that clients heed, in milliseconds.
    pub max_retry_after_ms: u64,
    /// When a connection must be up, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Descriptors that each may hold.
    pub sockets: usize,
    /// The news after which nothing new may reach a node, in milliseconds.
    pub drain_grace_ms: u64,
    /// Processors that all of them are kept to; none: any.
    pub processors: Vec<usize>,
    /// The operators' file of each, if there is one.
    pub own_file: Option<String>,
}

impl Default for Proxies {
    fn default() -> Self {
        Proxies {
            count: 1,
            skew: 1.0,
            max_attempts: 5,
            second_copies: true,
            max_retry_after_ms: 2_000,
            connect_timeout_ms: 250,
            sockets: 1_024,
            drain_grace_ms: 2_500,
            processors: Vec::new(),
            own_file: None,
        }
    }
}

/// Proxies that know of each other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Peers {
    /// How long after the load all that run must show one view, in seconds.
    pub agree_within_s: f64,
    /// Proxies that others may take for gone: nobody hears what they say.
    pub may_be_removed: Vec<usize>,
    /// Proxies that find themselves cut off, at the least.
    pub cut_off_least: usize,
}

impl Default for Peers {
    fn default() -> Self {
        Peers { agree_within_s: 30.0, may_be_removed: Vec::new(), cut_off_least: 0 }
    }
}

/// What clients do.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often each request is tried again by its client at the most.
    pub retries: u32,
    /// How long a client waits before that, in milliseconds; a proxy's word on it goes before.
    pub retry_wait_ms: u64,
    /// A try is given up after this share of the class's time at the least; up to all of it.
    pub patience: f64,
    /// Threads that send.
    pub threads: usize,
    /// Requests that are out at once at the most, on as many connections; one that must wait for another makes the
    /// sender late.
    pub connections: usize,
    /// The 99th percentile of the sender's own lateness past which a run is void, in milliseconds.
    pub late_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, retry_wait_ms: 200, patience: 0.7, threads: 1, connections: 384, late_ms: 5.0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests; shares are taken relative to their sum.
    pub share: f64,
    /// Mean work, in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// How the work is spread: the deviation of its logarithm.
    #[serde(default)]
    pub work_spread: f64,
    /// Wanted within, in milliseconds.
    pub aim_ms: u64,
    /// Given up after, in milliseconds.
    pub gives_up_ms: u64,
    /// Worth of an answer in time; one that comes later is worth half.
    pub worth: f64,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Bytes of a request's body, and of its answer's.
    #[serde(default = "some_bytes")]
    pub body: usize,
}

fn some_bytes() -> usize {
    200
}

/// The classes of the payment fleet.
fn payment_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, aim_ms, gives_up_ms, worth, repeat| Class {
        name: name.to_owned(),
        share,
        work_ms,
        work_spread: 0.5,
        aim_ms,
        gives_up_ms,
        worth,
        repeat,
        body: some_bytes(),
    };
    vec![
        class("balance", 0.55, 70.0, 600, 2_000, 1.0, Repeat::Free),
        class("payee-check", 0.22, 160.0, 2_000, 5_000, 2.0, Repeat::Free),
        class("standing-order", 0.13, 190.0, 2_000, 6_000, 5.0, Repeat::Keyed),
        class("send", 0.10, 135.0, 2_000, 6_000, 10.0, Repeat::Never),
    ]
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
}

fn one_tenant() -> Vec<Tenant> {
    vec![
        Tenant { name: "banca-trinacria".into(), share: 0.76 },
        Tenant { name: "cassa-iblea".into(), share: 0.24 },
    ]
}

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

/// What must hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// Share of the worth that is served in time, at the least.
    pub service: Option<f64>,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: Option<f64>,
    /// The 99th percentile of latency from the intended time, at the most, in milliseconds.
    pub p99_ms: Option<f64>,
    /// The longest latency at the least: what a pause must show up as, in milliseconds.
    pub slowest_at_least_ms: Option<f64>,
    /// Attempts at nodes for each first try, at the most.
    pub attempts: Option<f64>,
}

impl Experiment {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Experiment, Problem> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|reason| Problem::Unread { file: file.clone(), reason })?;
        Experiment::parse(&text, &file)
    }

    /// Checks a text that came from a file of this name.
    pub fn parse(text: &str, file: &str) -> Result<Experiment, Problem> {
        let line =
            |at: usize| 1 + text.as_bytes()[..at.min(text.len())].iter().filter(|&&b| b == b'\n').count();
        let problem = |at, reason: String| Problem::Line { file: file.to_owned(), line: line(at), reason };
        let experiment: Experiment = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            problem(at, error.message().to_owned())
        })?;
        experiment.check().map_err(|(at, reason)| problem(at, reason))?;
        Ok(experiment)
    }

    /// How many nodes there are.
    pub fn node_count(&self) -> usize {
        self.fleet.nodes.iter().map(|kind| kind.get_ref().count).sum()
    }

    /// What each node is, in the order of their numbers.
    pub fn specs(&self) -> impl Iterator<Item = &Spec> {
        let kinds = self.fleet.nodes.iter().map(|kind| kind.get_ref());
        kinds.flat_map(|spec| std::iter::repeat_n(spec, spec.count))
    }

    fn check(&self) -> Result<(), (usize, String)> {
        let seconds = *self.seconds.get_ref();
        let nodes = self.node_count();
        ensure(seconds > 0.0 && seconds <= SECONDS_MOST, self.seconds.span().start, || {
            format!("seconds = {seconds}: more than 0, {SECONDS_MOST} at the most")
        })?;
        let start = self.name.span().start;
        ensure((1..=NODES_MOST).contains(&nodes), start, || format!("{nodes} nodes: 1 to {NODES_MOST}"))?;
        let proxies = self.proxies.count;
        ensure(nodes * proxies <= PAIRS_MOST, start, || {
            format!("{nodes} nodes for {proxies} proxies: each pair has an address, {PAIRS_MOST} at the most")
        })?;
        ensure((1..=PROXIES_MOST).contains(&proxies), start, || {
            format!("{proxies} proxies: 1 to {PROXIES_MOST}")
        })?;
        if let Some(peers) = &self.peers {
            let (at, of) = (peers.span().start, peers.get_ref());
            ensure(proxies >= 2 && self.proxies.own_file.is_none(), at, || {
                "peers: two proxies at the least, and no own_file, which the run writes".into()
            })?;
            ensure(of.may_be_removed.iter().all(|&place| place < proxies), at, || {
                format!("may_be_removed: proxies 0 to {}", proxies - 1)
            })?;
            ensure((1.0..=600.0).contains(&of.agree_within_s), at, || "agree_within_s: 1 to 600".into())?;
        }
        if let Some(work) = &self.work {
            let at = work.span().start;
            ensure(self.peers.is_some(), at, || "work needs [peers]".into())?;
            work.get_ref().check(proxies, nodes).map_err(|reason| (at, reason))?;
        }
        ensure(!self.fleet.zones.is_empty() && self.fleet.pod > 0, start, || {
            "a fleet has zones and pods".into()
        })?;
        ensure(!self.classes.is_empty() && !self.tenants.is_empty(), start, || {
            "no class or no tenant".into()
        })?;
        ensure((0.1..=1.0).contains(&self.clients.patience), start, || "patience: 0.1 to 1".into())?;
        ensure(self.clients.connections >= self.clients.threads, start, || {
            "connections: one a thread".into()
        })?;
        ensure((1..=8).contains(&self.clients.threads), start, || "threads: 1 to 8".into())?;
        for class in &self.classes {
            let good = class.share >= 0.0 && class.work_ms >= 0.0 && class.worth >= 0.0 && class.aim_ms > 0;
            ensure(good && class.gives_up_ms >= class.aim_ms, start, || {
                format!("class {}: figures are at least 0, and it is given up after its aim", class.name)
            })?;
        }
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        ensure(shares > 0.0 && self.tenants.iter().all(|t| t.share >= 0.0), start, || {
            "shares add up to 0".into()
        })?;
        for kind in &self.fleet.nodes {
            let (at, spec) = (kind.span().start, kind.get_ref());
            let low = spec.speeds.map_or(spec.speed, |(low, high)| low.min(high));
            let good = spec.cores > 0.0 && low > 0.0 && spec.slots > 0 && spec.connections > 0;
            ensure(good, at, || "nodes have cores, a speed, slots and connections".into())?;
            ensure(spec.cold_share > 0.0 && spec.cold_share <= 1.0, at, || {
                "cold_share: more than 0, to 1".into()
            })?;
        }
        let mut peak = 0.0;
        for shape in &self.load {
            shape.get_ref().check().map_err(|reason| (shape.span().start, reason))?;
            peak += shape.get_ref().peak();
        }
        ensure(peak > 0.0 && peak * seconds <= ARRIVALS_MOST, start, || {
            format!("up to {peak} requests a second for {seconds} s: some, and {ARRIVALS_MOST} in all at the most")
        })?;
        for fault in &self.faults {
            fault.get_ref().check(self).map_err(|reason| (fault.span().start, reason))?;
        }
        Ok(())
    }
}

fn ensure(good: bool, at: usize, reason: impl FnOnce() -> String) -> Result<(), (usize, String)> {
    if good {
        Ok(())
    } else {
        Err((at, reason()))
    }
}

impl Fault {
    /// A fault as a line says it by hand: its kind, then keys and values, such as `crash nodes=[0,2] for=1.5`.
    pub fn by_hand(line: &str, of: &Experiment) -> Result<Fault, String> {
        let mut words = line.split_whitespace();
        let kind = words.next().unwrap_or_default();
        let quoted = |word: &str| match word.split_once('=') {
            Some((key, value)) if value.starts_with(|c: char| c.is_alphabetic()) => {
                format!("{key} = {value:?}")
            }
            _ => word.to_owned(),
        };
        let text = format!("at = 0\nkind = {kind:?}\n{}", words.map(quoted).collect::<Vec<_>>().join("\n"));
        let fault: Fault = toml::from_str(&text).map_err(|error| error.message().to_owned())?;
        if fault.kind.is_of_proxy() && fault.kind != FaultKind::Silence {
            return Err("a proxy's fault: signal its process".into());
        }
        fault.check(of)?;
        Ok(fault)
    }

    fn check(&self, of: &Experiment) -> Result<(), String> {
        let (nodes, proxies) = (of.node_count(), of.proxies.count);
        if !(0.0..=SECONDS_MOST).contains(&self.at)
            || self.lasts.is_some_and(|l| !(0.0..=SECONDS_MOST).contains(&l))
        {
            return Err(format!("at and for: 0 to {SECONDS_MOST} seconds"));
        }
        if !(0.0..=1.0).contains(&self.share)
            || ![self.ms, self.jitter_ms].iter().all(|ms| (0.0..=60_000.0).contains(ms))
        {
            return Err("share: 0 to 1; ms: 0 to 60000".into());
        }
        if let Some(node) = self.nodes.iter().find(|&&node| node >= nodes) {
            return Err(format!("there is no node {node}, only 0 to {}", nodes - 1));
        }
        if self.kind.is_of_link() && of.peers.is_none() {
            return Err("a link's fault needs [peers]".into());
        }
        if let Some(proxy) = self.proxies.iter().chain(&self.to).find(|&&proxy| proxy >= proxies) {
            return Err(format!("there is no proxy {proxy}, only 0 to {}", proxies - 1));
        }
        if self.nodes.is_empty() && self.count > nodes {
            return Err(format!("count = {}: there are {nodes} nodes", self.count));
        }
        match (&self.zone, self.kind) {
            (None, FaultKind::ZoneCut) => return Err("a zone cut names its zone".into()),
            (Some(zone), _) if !of.fleet.zones.contains(zone) => {
                return Err(format!("there is no zone {zone}"))
            }
            _ => {}
        }
        let needs_end = matches!(self.kind, FaultKind::Pause | FaultKind::Freeze);
        if needs_end && self.lasts.is_none() {
            return Err("a pause and a freeze say for how long".into());
        }
        Ok(())
    }
}
