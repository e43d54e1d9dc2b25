//! What a run will do, fixed ahead from its seed: each request and each fault. The same seed gives the same file,
//! byte for byte.

use super::part::Part;
use crate::experiment::{Experiment, Fault, FaultKind, Kept, UnfitFault};
use crate::model::node::Micros;
use rand::distr::{weighted::WeightedIndex, Distribution};
use rand::seq::index;
use rand::{Rng, SeedableRng};
use rand_distr::{Exp1, LogNormal};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};

/// A request that a client will send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// When, in microseconds since the run began.
    pub at: Micros,
    /// Place of its class.
    pub class: usize,
    /// Place of its tenant.
    pub tenant: usize,
    /// Which proxy it goes to.
    pub proxy: usize,
    /// How long its client waits, in microseconds.
    pub patience: Micros,
    /// Its work at a node, in microseconds of a core of speed 1.
    pub work: f64,
}

/// A fault with the nodes that it hits.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Trouble {
    /// When it begins, in microseconds.
    pub at: Micros,
    /// When it ends; `None`: not within the run.
    pub until: Option<Micros>,
    /// What.
    pub kind: FaultKind,
    /// Nodes.
    pub nodes: Vec<usize>,
    /// Proxies.
    pub proxies: Vec<usize>,
    /// Of links: the proxies at their other ends.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub to: Vec<usize>,
    /// Of links: both directions.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub both: bool,
    /// Of links: how much the added time varies, in microseconds; 0 elsewhere.
    #[serde(skip_serializing_if = "is_zero")]
    pub jitter: Micros,
    /// Zone.
    pub zone: Option<usize>,
    /// Share of requests.
    pub share: f64,
    /// Added distance or pause between nodes, in microseconds.
    pub extra: Micros,
    /// Of a kill whose restarts are spread: when each of the proxies starts again, in their order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub restarts: Vec<Micros>,
    /// Of a kill: what becomes of the state on disk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<Kept>,
}

fn is_zero(micros: &Micros) -> bool {
    *micros == 0
}

/// All that a run will do.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The speed of each node.
    pub speeds: Vec<f64>,
    /// Requests, in the order of time.
    pub arrivals: Vec<Arrival>,
    /// Faults, in the order of time.
    pub troubles: Vec<Trouble>,
}

/// Independent draws for each purpose, so that another fault does not shift the arrivals.
fn draws(seed: u64, purpose: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Schedule {
    /// Draws a schedule.
    pub fn draw(experiment: &Experiment, seed: u64) -> Schedule {
        let mut random = draws(seed, 1);
        let speeds = experiment.fleet.nodes.iter().flat_map(|kind| {
            let kind = kind.get_ref();
            let (low, high) = kind.speeds.unwrap_or((kind.speed, kind.speed));
            (0..kind.count).map(|_| low + (high - low) * random.random::<f64>()).collect::<Vec<_>>()
        });
        let speeds = speeds.collect();
        let mut random = draws(seed, 2);
        let mut troubles: Vec<Trouble> =
            experiment.faults.iter().map(|f| trouble(f.get_ref(), experiment, &mut random)).collect();
        troubles.sort_by_key(|trouble| trouble.at);
        Schedule { seed, speeds, arrivals: arrivals(experiment, seed), troubles }
    }

    /// The requests of a trace in place of those drawn.
    pub fn replay(mut self, arrivals: Vec<Arrival>) -> Schedule {
        self.arrivals = arrivals;
        self
    }

    /// One more fault, from this moment on, by hand.
    pub fn by_hand(line: &str, experiment: &Experiment, now: Micros) -> Result<Trouble, UnfitFault> {
        let fault = Fault::by_hand(line, experiment)?;
        let drawn = trouble(&fault, experiment, &mut draws(now, 5));
        Ok(Trouble { at: now, until: drawn.until.map(|until| now + until), ..drawn })
    }

    /// Writes it as JSON lines: a head, then each fault, then each request.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        #[derive(Serialize)]
        struct Head<'a> {
            schedule: u32,
            seed: u64,
            speeds: &'a [f64],
        }
        let line = |to: &mut dyn Write, text: serde_json::Result<String>| writeln!(to, "{}", text?);
        line(to, serde_json::to_string(&Head { schedule: 1, seed: self.seed, speeds: &self.speeds }))?;
        self.troubles.iter().try_for_each(|trouble| line(to, serde_json::to_string(trouble)))?;
        self.arrivals.iter().try_for_each(|arrival| line(to, serde_json::to_string(arrival)))
    }
}

/// Poisson arrivals at the sum of the shapes, by thinning (Lewis and Shedler, 1979).
fn arrivals(experiment: &Experiment, seed: u64) -> Vec<Arrival> {
    let (mut times, mut marks) = (draws(seed, 3), draws(seed, 4));
    let seconds = *experiment.seconds.get_ref();
    let peak: f64 = experiment.load.iter().map(|part| part.get_ref().shape.peak()).sum();
    let shares = |shares: Vec<f64>| WeightedIndex::new(shares).ok();
    let classes = shares(experiment.classes.iter().map(|c| c.share).collect());
    let tenants = shares(experiment.tenants.iter().map(|t| t.share).collect());
    let skew = experiment.proxies.skew.max(1e-3);
    let proxies = shares((0..experiment.proxies.count).map(|n| skew.powi(-(n as i32))).collect());
    let parts: Vec<&Part> = experiment.load.iter().map(|part| part.get_ref()).collect();
    let limited = parts.iter().any(|part| part.is_limited());
    // Of each part: its tenant, and the proxies that it goes to.
    let own = parts.iter().map(|part| {
        let tenant =
            part.tenant.as_ref().and_then(|name| experiment.tenants.iter().position(|t| t.name == *name));
        let goes = |n: &usize| part.proxies.is_empty() || part.proxies.contains(n);
        let weight = |n: usize| if goes(&n) { skew.powi(-(n as i32)) } else { 0.0 };
        (tenant, shares((0..experiment.proxies.count).map(weight).collect()))
    });
    let own: Vec<(Option<usize>, Option<WeightedIndex<f64>>)> = own.collect();
    // Drawn by itself, so that a part that is limited leaves the classes and works of all as they were.
    let mut belongs = draws(seed, 6);
    let pick =
        |of: &Option<WeightedIndex<f64>>, random: &mut Pcg64| of.as_ref().map_or(0, |of| of.sample(random));
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        let gap: f64 = times.sample(Exp1);
        at += gap / peak;
        if at >= seconds {
            return arrivals;
        }
        let rate: f64 = parts.iter().map(|part| part.rate(at, seconds)).sum();
        if times.random::<f64>() * peak >= rate {
            continue;
        }
        let of = match limited {
            true => pick(&shares(parts.iter().map(|part| part.rate(at, seconds)).collect()), &mut belongs),
            false => 0,
        };
        let (tenant, through) = match own.get(of).filter(|_| limited) {
            Some((tenant, through)) => (*tenant, through),
            None => (None, &proxies),
        };
        let class = pick(&classes, &mut marks);
        let spec = &experiment.classes[class];
        let patience =
            experiment.clients.patience + (1.0 - experiment.clients.patience) * marks.random::<f64>();
        // A logarithmic normal with the stated mean.
        let spread = spec.work_spread.max(0.0);
        let drawn = LogNormal::new(-spread * spread / 2.0, spread).map_or(1.0, |d| d.sample(&mut marks));
        arrivals.push(Arrival {
            at: (at * 1e6) as Micros,
            class,
            tenant: {
                let drawn = pick(&tenants, &mut marks);
                tenant.unwrap_or(drawn)
            },
            proxy: pick(through, &mut marks),
            patience: (spec.gives_up_ms as f64 * 1_000.0 * patience) as Micros,
            // A whole number of hundredths, so that it reads back from a file as it was.
            work: (spec.work_ms * drawn * 1e5).round() / 100.0,
        });
    }
}

fn trouble(fault: &Fault, experiment: &Experiment, random: &mut Pcg64) -> Trouble {
    let micros = |seconds: f64| (seconds * 1e6) as Micros;
    let zone = fault.zone.as_ref().and_then(|zone| experiment.fleet.zones.iter().position(|z| z == zone));
    let mut nodes = match &fault.nodes {
        _ if fault.kind.is_of_proxy() || fault.kind == FaultKind::ZoneCut => Vec::new(),
        named if named.is_empty() => index::sample(random, experiment.node_count(), fault.count).into_vec(),
        named => named.clone(),
    };
    if fault.kind != FaultKind::Release {
        nodes.sort_unstable();
    }
    let proxies = match &fault.proxies {
        named if named.is_empty() && fault.kind.is_of_proxy() => (0..experiment.proxies.count).collect(),
        named => named.clone(),
    };
    let to = match &fault.to {
        named if named.is_empty() && fault.kind.is_of_link() => (0..experiment.proxies.count).collect(),
        named => named.clone(),
    };
    let restarts = match fault.kind {
        FaultKind::Kill if fault.spread_s > 0.0 => {
            let end = fault.at + fault.lasts.unwrap_or(0.0);
            proxies.iter().map(|_| micros(end + fault.spread_s * random.random::<f64>())).collect()
        }
        _ => Vec::new(),
    };
    Trouble {
        restarts,
        state: fault.state,
        to,
        both: fault.both,
        jitter: (fault.jitter_ms * 1_000.0) as Micros,
        at: micros(fault.at),
        until: fault.lasts.map(|lasts| micros(fault.at + lasts)),
        kind: fault.kind,
        nodes,
        proxies,
        zone,
        share: fault.share,
        extra: (fault.ms * 1_000.0) as Micros,
    }
}
