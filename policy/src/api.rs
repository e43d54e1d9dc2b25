//! Interface of the balancer: settings, events and actions. Each proxy runs one balancer. Times are in whole
//! microseconds.

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

/// Id of a zone (a group of servers near each other), assigned by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub u32);

/// Id of a cell: a group of servers that deduplicate calls with an idempotency key among themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId(pub u32);

/// Set of servers, relative to the server of the first attempt, that deduplicate a call with an idempotency
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    /// All servers.
    All,
    /// Servers in the zone of the first attempt's server.
    Zone,
    /// Servers in the cell of the first attempt's server.
    Cell,
}

/// Whether a call of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats are safe on all servers: the call has the same effect however often it runs.
    Idempotent,
    /// Repeats are safe, thanks to an idempotency key, on the servers of `scope` and within `window` of the
    /// first attempt that may have run.
    Keyed {
        /// Servers that deduplicate the call.
        scope: DedupScope,
        /// Duration, from that attempt, for which these servers remember the key.
        window: Micros,
    },
    /// Repeats are unsafe: a call is sent again only if no earlier attempt has run.
    NonIdempotent,
}

/// Latency objective, weight and idempotency of a class of calls.
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
    /// Whether calls of the class may run more than once.
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

/// Quota of a tenant: calls beyond it are rejected sooner while calls are queued.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Fraction of the balancer's calls to which the tenant is entitled, 0 to 1.
    pub share: f64,
}

/// Features that the site allows the balancer to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts in flight may be cancelled.
    pub cancel: bool,
    /// Servers may be sent health checks.
    pub probes: bool,
    /// A call may have a hedged request: a second attempt while the first is in flight.
    pub hedging: bool,
    /// Maximum number of attempts of a call, including the first.
    pub max_attempts: u32,
    /// Longest Retry-After delay that is sent to a client; at 0 all delays are 0.
    pub max_retry_after: Micros,
}

/// Limits on the load of starting servers and on the age of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SafetyLimits {
    /// Least fraction, 0 to 1, of its full capacity that a server has when it starts.
    pub slow_start_ratio: f64,
    /// Time from a server's start after which it has its full capacity.
    pub slow_start_window: Micros,
    /// Longest time between two polls of the endpoint list.
    pub max_poll_interval: Micros,
    /// Call rate, as a multiple of its present capacity, above which a warming server counts as overloaded.
    pub overload_multiple: f64,
}

/// Weights with which a site combines the service of all calls and of its worst class into one score. They
/// decide how much longer calls of valuable classes may queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoreWeights {
    /// Weight of the service of all calls.
    pub overall: f64,
    /// Weight of the service of the worst-served class.
    pub worst_class: f64,
}

/// Settings of a balancer, fixed at its creation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of balancers that send to the same servers, including this one.
    pub balancer_count: u32,
    /// Index of this balancer among the `balancer_count`, from 0; selects the servers that it uses.
    pub balancer_index: u32,
    /// Resolution of the proxy's clock.
    pub clock_tick: Micros,
    /// Whether the balancer has to subscribe to the endpoint list; otherwise updates are pushed.
    pub subscribe: bool,
    /// Classes of calls; a [`ClassId`] is an index in them.
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`]; empty if calls are not assigned to tenants.
    pub tenants: Vec<Tenant>,
    /// Features that the site allows the balancer to use.
    pub limits: Limits,
    /// Slow start of servers, and polling of the endpoint list.
    pub safety: SafetyLimits,
    /// Weights of all calls and of the worst class in the site's score.
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
    /// Server that the entry describes.
    pub server: ServerId,
    /// Whether the server accepts calls.
    pub state: State,
    /// Zone in which the server runs.
    pub zone: ZoneId,
    /// Hardware model of the server.
    pub model: ModelId,
    /// Cell in which the server deduplicates calls.
    pub cell: CellId,
    /// Start time of the server's process; 0 if it started long ago.
    pub started_at: Micros,
    /// Capacity of the server relative to others, without a unit; a value that is not finite and positive
    /// counts as 1.
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

/// Result of an attempt or of a health check.
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
    /// Cancelled by [`Action::Cancel`].
    Cancelled,
    /// No byte of the attempt was sent.
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
    /// Requests that the server is processing or has queued.
    pub active_requests: Option<f64>,
    /// Those of `active_requests` that are queued.
    pub queued_requests: Option<f64>,
    /// Fraction of the server's CPU time that is used, 0 to 1.
    pub cpu_utilization: Option<f64>,
}

/// Input of the balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The proxy has started. Its cached endpoint list, if any, follows as [`Event::Members`].
    Start,
    /// Update of the endpoint list.
    Members {
        /// Whether the update holds changes, the whole list, or nothing.
        kind: ListKind,
        /// Entries of the list; empty for [`ListKind::Failed`].
        entries: Vec<Entry>,
    },
    /// A call has arrived.
    Request {
        /// New id for the call.
        call: CallId,
        /// Class of the call; one that the settings do not contain counts as non-idempotent.
        class: ClassId,
        /// Tenant that sent the call; `None` if it is not assigned to one.
        tenant: Option<TenantId>,
        /// Time until the client's deadline.
        time_left: Micros,
        /// Whether the client has sent this request before.
        resent: bool,
    },
    /// An attempt has ended.
    Outcome {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
        /// Result of the attempt.
        outcome: Outcome,
        /// Time from sending the attempt to its end.
        elapsed: Micros,
        /// Whether the call has ended with this attempt: the client needs no further answer.
        complete: bool,
        /// Load report that came with the answer.
        load: LoadReport,
    },
    /// The response of an attempt has begun; the call can no longer be retried.
    Streaming {
        /// Call that can no longer be retried.
        call: CallId,
        /// Number, within the call and from 0, of the attempt that is answered.
        attempt: u32,
    },
    /// A health check has ended.
    Probed {
        /// Server that was checked.
        server: ServerId,
        /// Result of the health check.
        outcome: Outcome,
        /// Load report that came with the answer.
        load: LoadReport,
    },
    /// The client has cancelled the call.
    ClientCancelled {
        /// Call that was cancelled.
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
        /// Call of which an attempt is sent.
        call: CallId,
        /// Server to send the attempt to.
        server: ServerId,
        /// Time at which the attempt times out; `None` for the deadline of the client.
        deadline: Option<Micros>,
        /// Time by which the first byte must be written, because the deduplication window ends; an attempt
        /// that misses it counts as [`Outcome::NotSent`]. `None` for no limit.
        send_by: Option<Micros>,
    },
    /// Reject the call; the client may safely retry it.
    Reject {
        /// Call that has not run, or that may safely be repeated.
        call: CallId,
        /// Delay, to be sent as Retry-After, after which the client may retry.
        retry_after: Micros,
    },
    /// Fail the call with an error; an attempt may have run.
    Fail {
        /// Call to fail.
        call: CallId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Call to which the attempt belongs.
        call: CallId,
        /// Number, within the call and from 0, of the attempt to cancel.
        attempt: u32,
    },
    /// Send a health check; [`Event::Probed`] reports its result.
    Probe {
        /// Server to check.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after a delay.
    Wake {
        /// Time from now until the event is due.
        after: Micros,
    },
    /// Subscribe to the endpoint list; updates arrive as [`Event::Members`].
    Subscribe,
    /// Write a log line.
    Log {
        /// Text of the line, without a line break.
        text: String,
    },
}
