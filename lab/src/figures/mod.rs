//! The figures of a run, from its ledgers.

mod back;
mod count;
mod verdict;

pub use back::{Asked, Back};
pub use verdict::Verdict;

use crate::audit::Breach;
use crate::experiment::Experiment;
use crate::ledger::{FleetLedger, Try};
use crate::load::schedule::Schedule;
use crate::model::node::Micros;
use crate::pace::{Pace, Stampede};
use crate::proxy::Usage;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Share of its worth that an answer past its aim still has.
pub(crate) const LATE_VALUE: f64 = 0.5;
/// The span whose worst is told, in seconds.
const WORST: usize = 10;

/// All that is known of a run's outcome.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// The experiment's name.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// How long requests arrived, in seconds.
    pub seconds: f64,
    /// First tries.
    pub requests: usize,
    /// Tries, clients' retries included.
    pub tries: usize,
    /// Worth that was served, over what was asked for: late answers count half.
    pub service: f64,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: f64,
    /// Attempts at nodes for each first try.
    pub attempts: f64,
    /// Requests that must run once and ran more often.
    pub ran_twice: usize,
    /// Latency of all requests from the intended time to the end, in milliseconds.
    pub latency: Latency,
    /// How late the sender itself was, in milliseconds.
    pub lateness: Latency,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// By node.
    pub nodes: Vec<NodeFigures>,
    /// What each proxy used.
    pub proxies: Vec<Usage>,
    /// How many requests needed so many attempts, from none.
    pub attempts_spread: Vec<usize>,
    /// Each second of the run.
    pub timeline: Vec<Second>,
    /// What went wrong, in words, with its span in seconds.
    pub troubles: Vec<(f64, Option<f64>, String)>,
    /// What came of the peers, where proxies know of each other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<crate::peers::judge::PeerFigures>,
    /// What came of the turns, where hosts are taken out for work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub turns: Option<crate::turns::judge::TurnFigures>,
    /// How it came back, where proxies were killed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub back: Option<Back>,
    /// What came at once in the second after the last restart, by kind.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stampede: Vec<Stampede>,
    /// What came of the shares, where proxies share connection capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<crate::shares::judge::ShareFigures>,
    /// The verdict.
    pub verdict: Verdict,
}

/// Percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 99th.
    pub p99: f64,
    /// The 99.9th.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

impl Latency {
    /// Percentiles of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Latency {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let max = if histogram.is_empty() { 0.0 } else { histogram.max() as f64 / 1_000.0 };
        Latency { p50: at(0.5), p99: at(0.99), p999: at(0.999), max }
    }
}

/// A class's figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// First tries.
    pub requests: usize,
    /// Share of its worth that was served.
    pub service: f64,
    /// Requests served in time.
    pub served: usize,
    /// Requests served later.
    pub late: usize,
    /// Requests whose last answer was a refusal.
    pub refused: usize,
    /// All others.
    pub failed: usize,
    /// Latency of all of them.
    pub latency: Latency,
    /// Percentile and latency in milliseconds, for a curve.
    pub curve: Vec<(f64, f64)>,
}

/// A node's figures.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct NodeFigures {
    /// Requests that reached it whole.
    pub requests: usize,
    /// Those that ran.
    pub ran: usize,
    /// Those that it turned away.
    pub rejected: usize,
    /// Work that ran, over what it could have done warm.
    pub load: f64,
    /// Connections that it took.
    pub connections: u64,
    /// Probes.
    pub probes: u64,
}

/// A second of a run, by intended time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Worth asked for.
    pub asked: f64,
    /// Worth served.
    pub got: f64,
    /// Requests.
    pub requests: usize,
    /// The 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
}

/// What a run left behind.
#[derive(Debug)]
pub struct Evidence<'a> {
    /// The experiment.
    pub experiment: &'a Experiment,
    /// What was to be done.
    pub schedule: &'a Schedule,
    /// What clients wrote down.
    pub tries: &'a [Try],
    /// How late the sender was.
    pub lateness: &'a Histogram<u64>,
    /// What the fleet wrote down; `None`: the fleet was somebody else's.
    pub fleet: Option<&'a FleetLedger>,
    /// What the proxies used.
    pub proxies: Vec<Usage>,
    /// Rules that were broken.
    pub breaches: &'a [Breach],
    /// When the last proxy that had been killed was started again.
    pub last_restart: Option<Micros>,
    /// Messages between proxies, where they know of each other.
    pub messages: Option<Pace>,
}

impl Evidence<'_> {
    /// What came at once in the second from a moment on.
    fn paces(&self, from: Micros) -> Vec<Stampede> {
        let messages = self.messages.iter().map(|pace| ("messages", pace));
        let fleet = self.fleet.iter().flat_map(|fleet| {
            [
                ("asks", &fleet.asks),
                ("connects", &fleet.connects),
                ("probes", &fleet.probed),
                ("cold firsts", &fleet.cold_firsts),
            ]
        });
        messages.chain(fleet).map(|(kind, pace)| pace.stampede(kind, from)).collect()
    }
}
