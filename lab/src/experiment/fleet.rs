//! The nodes and the proxies of a run.

use crate::model::node::Spec;
use serde::Deserialize;
use toml::Spanned;

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

/// Proxies that keep state on disk.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct State {
    /// When what they keep is copied, for faults that put an old state back, in seconds.
    pub old_at_s: f64,
}

impl Default for State {
    fn default() -> Self {
        State { old_at_s: 1.0 }
    }
}
