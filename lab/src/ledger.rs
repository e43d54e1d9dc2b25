//! What clients and nodes each wrote down of a run. The two are kept apart and joined by the auditor alone.

use crate::model::node::Micros;
use crate::pace::Pace;
use serde::Serialize;
use std::hash::{DefaultHasher, Hasher};

/// A body's digest, the same for the same bytes in both ledgers.
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// How a client's try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "how")]
pub enum Ending {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// Digest of its body.
        body: u64,
        /// How long the proxy asks the client to stay away, in microseconds, where it says so.
        retry_after: Option<Micros>,
    },
    /// The connection ended without a whole answer.
    Broken,
    /// What came is no HTTP answer.
    Unreadable,
    /// Nothing came before the client gave up.
    Silent,
    /// No connection could be made, so the proxy never had it.
    NotTaken,
}

/// One try of a client.
#[derive(Clone, Debug, Serialize)]
pub struct Try {
    /// Its id, fresh for each try.
    pub call: String,
    /// Place of its first try in the schedule.
    pub arrival: usize,
    /// It is a client's retry.
    pub again: bool,
    /// Which proxy it went to.
    pub proxy: usize,
    /// Place of its class.
    pub class: usize,
    /// Place of its tenant.
    pub tenant: usize,
    /// When it was to be sent: latency counts from here.
    pub intended: Micros,
    /// When its last byte was written; `None`: it never was.
    pub sent: Option<Micros>,
    /// When its client gives up.
    pub gives_up: Micros,
    /// How it ended, and when.
    pub ending: Ending,
    /// When.
    pub ended: Micros,
    /// More came on its connection after the answer, before another request.
    pub more: bool,
}

/// What a node did with a request that it had read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "fate")]
pub enum Fate {
    /// In hand when the run ended, or lost with the process.
    Open,
    /// Turned away unseen, and said so.
    Rejected,
    /// Its client left before it was begun; whoever sent it cannot know.
    Dropped,
    /// It ran and was answered with this body.
    Served {
        /// Digest of the body.
        body: u64,
    },
    /// It ran, and the connection broke before or in the answer.
    Unheard,
    /// A repeat that the pod knew: nothing ran, and it was answered with this body.
    Repeat {
        /// Digest of the body.
        body: u64,
    },
    /// Answered with an error, after it ran or before.
    Failed {
        /// It ran.
        ran: bool,
    },
}

impl Fate {
    /// Whether the one who sent it could know that it never ran.
    pub fn proves_unseen(self) -> bool {
        self == Fate::Rejected
    }

    /// Whether the work was done.
    pub fn ran(self) -> bool {
        matches!(self, Fate::Served { .. } | Fate::Unheard | Fate::Failed { ran: true })
    }
}

/// A request at a node.
#[derive(Clone, Debug, Serialize)]
pub struct Handled {
    /// Which node.
    pub node: usize,
    /// Its pod.
    pub pod: usize,
    /// Which proxy sent it, by the address that it came to.
    pub proxy: usize,
    /// The call's id.
    pub call: String,
    /// Its key.
    pub key: Option<String>,
    /// When its first byte came, and its last.
    pub first_byte: Micros,
    /// When its last byte came.
    pub whole: Micros,
    /// Work that was drawn for it, in microseconds of a core.
    pub work: f64,
    /// What became of it.
    pub fate: Fate,
    /// When its answer was written or its connection was found gone; the run's end, if it was in hand then. From `whole`
    /// to here it used a unit of what is shared.
    pub ended: Micros,
    /// Where it ended with its connection: since when that may have been gone. The node learns of it with the next turn
    /// of its thread, and notes the turn before.
    pub left: Option<Micros>,
}

impl Handled {
    /// The first moment at which it is certain no longer to have been in hand by its sender's reckoning.
    pub fn surely_until(&self) -> Micros {
        self.left.map_or(self.ended, |left| left.clamp(self.whole, self.ended.max(self.whole)))
    }
}

/// What discovery told a proxy of a node.
#[derive(Clone, Debug, Serialize)]
pub struct News {
    /// Which proxy.
    pub proxy: usize,
    /// Which node.
    pub node: usize,
    /// When it was written to that proxy.
    pub told: Micros,
    /// Whether the node takes requests.
    pub ready: bool,
    /// When the node's process started; 0: long ago.
    pub started: Micros,
}

/// What the fleet wrote down.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetLedger {
    /// Requests at nodes, in the order in which they came whole.
    pub handled: Vec<Handled>,
    /// What discovery told.
    pub news: Vec<News>,
    /// Nodes that fell over, and when.
    pub falls: Vec<(usize, Micros)>,
    /// Probes at each node.
    pub probes: Vec<u64>,
    /// Connections that each node took.
    pub connections: Vec<u64>,
    /// Asks at discovery, of all proxies.
    pub asks: Pace,
    /// Connections to nodes, as they came up.
    pub connects: Pace,
    /// Probes of nodes, as they came.
    pub probed: Pace,
    /// First requests of a proxy to a node that was still cold.
    pub cold_firsts: Pace,
}
