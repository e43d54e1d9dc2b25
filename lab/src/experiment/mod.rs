//! An experiment's file: the fleet, the proxies, the load, the faults, and what must hold. Checked before it runs.

mod clients;
mod fault;
mod fleet;
mod hold;

pub use clients::{Class, Clients, Tenant};
pub use fault::{Fault, FaultKind, Kept, UnfitFault};
pub use fleet::{Fleet, Peers, Proxies, State};
pub use hold::Hold;

use crate::load::part::Part;
use crate::model::node::Spec;
use crate::shares::script::Shares;
use crate::turns::script::Work;
use clients::{one_tenant, payment_classes};
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
    /// Proxies that share connection capacity among tenants; absent: they do not.
    pub shares: Option<Spanned<Shares>>,
    /// Proxies that keep state on disk, each in a folder of its own; absent: they do not.
    pub state: Option<Spanned<State>>,
    /// What the clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The classes of requests; by default the four of the payment fleet.
    #[serde(default = "payment_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants and their shares of the requests.
    #[serde(default = "one_tenant", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Parts of the load; they add up.
    pub load: Vec<Spanned<Part>>,
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
        if let Some(shares) = &self.shares {
            let at = shares.span().start;
            ensure(self.peers.is_some(), at, || "shares needs [peers]".into())?;
            let checked = shares.get_ref().check(proxies, &self.tenants, seconds);
            checked.map_err(|reason| (at, reason.to_string()))?;
        }
        if let Some(state) = &self.state {
            let good = self.peers.is_some() && (0.0..=SECONDS_MOST).contains(&state.get_ref().old_at_s);
            ensure(good, state.span().start, || {
                format!("state needs [peers]; old_at_s: 0 to {SECONDS_MOST} seconds")
            })?;
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
        let knows = |name: &str| self.tenants.iter().any(|tenant| tenant.name == name);
        for part in &self.load {
            let checked = part.get_ref().check(proxies, knows);
            checked.map_err(|reason| (part.span().start, reason.to_string()))?;
            peak += part.get_ref().shape.peak();
        }
        ensure(peak > 0.0 && peak * seconds <= ARRIVALS_MOST, start, || {
            format!("up to {peak} requests a second for {seconds} s: some, and {ARRIVALS_MOST} in all at the most")
        })?;
        for fault in &self.faults {
            let checked = fault.get_ref().check(self);
            checked.map_err(|reason| (fault.span().start, reason.to_string()))?;
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
