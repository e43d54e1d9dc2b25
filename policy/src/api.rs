//! Interface of the balancer: settings, events and actions. Times are in whole microseconds.

use serde::{Deserialize, Serialize};

/// Timestamp or duration in microseconds.
pub type Micros = u64;

/// Id of a call, which is one request of a client; assigned by the proxy and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Id of a server; unchanged when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u32);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantId(pub usize);

/// Id of a server model; servers of one model are about equally fast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelId(pub u32);

/// Id of a zone, assigned by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub u32);

/// Id of a cell: a group of servers that deduplicate calls among themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u32);

/// Servers among which repeats of a call with an idempotency key are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// Whether calls of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats are safe on all servers.
    Idempotent,
    /// Repeats are safe on the servers of `scope`, within `window` of the first attempt that may have run.
    Keyed {
        /// Servers that deduplicate the call.
        scope: DedupScope,
        /// Duration for which they do.
        window: Micros,
    },
    /// Repeats are unsafe unless no earlier attempt has run.
    NonIdempotent,
}

/// Requirements of a class of calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Latency objective: an answer within this time earns the full priority weight.
    pub objective: Micros,
    /// Longest time that a client waits for an answer.
    pub deadline: Micros,
    /// Value of an answer within the objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer between objective and deadline earns, 0 to 1.
    pub late_ratio: f64,
    /// Whether its calls may run more than once.
    pub idempotency: Idempotency,
}

impl Default for Class {
    /// Non-idempotent, with no objective and no priority weight.
    fn default() -> Self {
        Class {
            objective: 0,
            deadline: 0,
            priority_weight: 0.0,
            late_ratio: 0.0,
            idempotency: Idempotency::NonIdempotent,
        }
    }
}

/// Quota of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Fraction of the calls to which the tenant is entitled, 0 to 1.
    pub share: f64,
}

/// Features that the site allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts in flight may be cancelled.
    pub cancel: bool,
    /// Servers may be sent health checks.
    pub probes: bool,
    /// A call may have a hedged request: two attempts in flight.
    pub hedging: bool,
    /// Maximum number of attempts of a call.
    pub max_attempts: u32,
    /// Longest Retry-After that is sent to a client; 0 for none.
    pub max_retry_after: Micros,
}

/// Limits that protect the servers and bound the age of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SafetyLimits {
    /// Fraction of its capacity that a server has at least when it starts, 0 to 1.
    pub slow_start_ratio: f64,
    /// Time after which a started server has its full capacity.
    pub slow_start_window: Micros,
    /// Longest time between two polls of the endpoint list.
    pub max_poll_interval: Micros,
    /// Multiple of its present capacity above which a warming server is overloaded.
    pub overload_multiple: f64,
}

/// Weights of the parts of a site's score.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreWeights {
    /// Weight of all calls together.
    pub overall: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
}

/// Settings of a balancer, fixed at its creation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of balancers that send to the same servers, including this one.
    pub balancer_count: u32,
    /// Index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// Resolution of the proxy's clock.
    pub clock_tick: Micros,
    /// Whether the balancer has to subscribe to the endpoint list; otherwise updates are pushed.
    pub subscribe: bool,
    /// Classes of calls.
    pub classes: Vec<Class>,
    /// Tenants; empty if calls are not assigned to tenants.
    pub tenants: Vec<Tenant>,
    /// Features that the site allows.
    pub limits: Limits,
    /// Limits that protect the servers.
    pub safety: SafetyLimits,
    /// Weights of the site's score.
    pub score_weights: ScoreWeights,
    /// Zone of this balancer, if calls to other zones have a cost; otherwise `None`.
    pub local_zone: Option<ZoneId>,
}

impl Default for Settings {
    /// One balancer with a pushed endpoint list and one non-idempotent class with an objective of 500 ms.
    fn default() -> Self {
        let idempotency = Idempotency::NonIdempotent;
        Settings {
            balancer_count: 1,
            balancer_index: 0,
            clock_tick: 1_000,
            subscribe: false,
            classes: vec![Class {
                objective: 500_000,
                deadline: 1_000_000,
                priority_weight: 1.0,
                late_ratio: 0.0,
                idempotency,
            }],
            tenants: Vec::new(),
            limits: Limits {
                cancel: true,
                probes: false,
                hedging: false,
                max_attempts: 3,
                max_retry_after: 1_000_000,
            },
            safety: SafetyLimits {
                slow_start_ratio: 0.1,
                slow_start_window: 20_000_000,
                max_poll_interval: 10_000_000,
                overload_multiple: 2.5,
            },
            score_weights: ScoreWeights { overall: 1.0, worst_class: 0.0 },
            local_zone: None,
        }
    }
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts calls.
    #[default]
    Ready,
    /// Finishes its calls and accepts no more.
    Draining,
    /// Removed from the fleet.
    Removed,
}

/// Entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Server id.
    pub server: ServerId,
    /// State of the server.
    pub state: State,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Model of the server.
    pub model: ModelId,
    /// Deduplication cell of the server.
    pub cell: CellId,
    /// Start time of the server's process; 0 if it started long ago.
    pub started_at: Micros,
    /// Relative capacity of the server, without a unit; values that are not finite and positive count as 1.
    pub weight: f64,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// Only entries that have changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as cached by the proxy, possibly outdated.
    Cached,
    /// No entries: the subscription failed or broke.
    Failed,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered successfully.
    Served,
    /// Answered with an error.
    Error,
    /// Rejected by the server without being run: it is full or draining.
    Rejected,
    /// Not answered before its deadline.
    TimedOut,
    /// The connection could not be established.
    NoConnection,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// Cancelled by this balancer.
    Cancelled,
    /// No byte of it was sent.
    NotSent,
    /// Any other result; the attempt may have run.
    Unknown,
}

impl Outcome {
    /// Whether the outcome proves that the attempt did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// Load report of a server; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the server, running or queued.
    pub active_requests: Option<f64>,
    /// Requests queued in the server.
    pub queued_requests: Option<f64>,
    /// Fraction of its cores that is busy, 0 to 1.
    pub cpu_utilization: Option<f64>,
}

/// Input of the balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The proxy has started. Its cached endpoint list, if any, follows.
    Start,
    /// Update of the endpoint list.
    Members {
        /// Kind of the update.
        kind: ListKind,
        /// Entries of the list; empty for [`ListKind::Failed`].
        entries: Vec<Entry>,
    },
    /// A call has arrived.
    Request {
        /// Call id.
        call: CallId,
        /// Class of the call.
        class: ClassId,
        /// Tenant of the call; `None` if it has none.
        tenant: Option<TenantId>,
        /// Time until the client's deadline.
        time_left: Micros,
        /// Whether the client has sent this request before.
        resent: bool,
    },
    /// An attempt has ended.
    Outcome {
        /// Call id.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Result of the attempt.
        outcome: Outcome,
        /// Duration of the attempt.
        elapsed: Micros,
        /// Whether the call is complete: the client needs no further answer.
        complete: bool,
        /// Load report of the server.
        load: LoadReport,
    },
    /// The response of an attempt has begun; the call cannot be retried any more.
    Streaming {
        /// Call id.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A health check has ended.
    Probed {
        /// Server id.
        server: ServerId,
        /// Result of the health check.
        outcome: Outcome,
        /// Load report of the server.
        load: LoadReport,
    },
    /// The client has cancelled the call.
    ClientCancelled {
        /// Call id.
        call: CallId,
    },
    /// The time requested by [`Action::Wake`] has passed.
    Timer,
}

/// Instruction to the proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send an attempt of a call; attempts of a call are numbered from 0.
    Send {
        /// Call id.
        call: CallId,
        /// Server id.
        server: ServerId,
        /// Time at which the attempt times out; `None` for the client's deadline.
        deadline: Option<Micros>,
        /// Time by which the first byte must be written, because the deduplication window ends; an attempt
        /// that misses it counts as [`Outcome::NotSent`]. `None` for no limit.
        send_by: Option<Micros>,
    },
    /// Reject the call; the client may safely retry it.
    Reject {
        /// Call id.
        call: CallId,
        /// Delay after which the client may retry.
        retry_after: Micros,
    },
    /// Fail the call with an error; an attempt may have run.
    Fail {
        /// Call id.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Call id.
        call: CallId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send a health check.
    Probe {
        /// Server id.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after a delay.
    Wake {
        /// Delay from now.
        after: Micros,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Write a log line.
    Log {
        /// Text of the line.
        text: String,
    },
}
