//! Constants of the balancing policy, mostly ratios to latency objectives or to observed latencies.

use crate::api::Micros;

/// Default maximum of connections in gRFC A105.
pub(super) const MAX_STEP_COUNT: u32 = 10;
/// Calls in flight at one server over all balancers; low at first, as all may start at once.
pub(super) const INITIAL_CALLS: f64 = 7.0;
pub(super) const FLOOR_CALLS: f64 = 12.0;
/// Smallest factor of one reduction, as in TCP's multiplicative decrease.
pub(super) const MIN_REMAINING_RATIO: f64 = 0.5;
pub(super) const REJECTED_REMAINING_RATIO: f64 = 0.8;
/// Latency limit of a server: this multiple of the class's unloaded latency, ...
pub(super) const LIMIT_BASELINE_RATIO: f64 = 3.0;
/// ... at most this fraction of the class's objective, ...
pub(super) const LIMIT_OBJECTIVE_RATIO: f64 = 0.33;
/// ... but at least this multiple of the zone's lowest latency, which no smaller budget would shorten.
pub(super) const LIMIT_ZONE_RATIO: f64 = 1.5;
/// Queueing grows steeply above this CPU utilization.
pub(super) const FULL_CPU_RATIO: f64 = 0.9;
/// Ratio of latency to its limit above which a reduction is severe: about half the objective.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Fraction of the floor that remains after severe reductions.
pub(super) const SEVERE_FLOOR_RATIO: f64 = 0.2;
/// Weight of a new sample in a moving average over about twenty samples.
pub(super) const EMA_RATIO: f64 = 0.1;
/// Time in which a lowest latency may drift up to the current one.
pub(super) const BASELINE_DRIFT_US: f64 = 120e6;
/// Weight of a new outcome, and failure ratio above which a server is ejected: two failures of four.
pub(super) const FAILURE_EMA_RATIO: f64 = 0.2;
pub(super) const EJECTION_RATIO: f64 = 0.3;
/// First backoff as a fraction of the longest objective.
pub(super) const BACKOFF_RATIO: f64 = 0.25;
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest wait in the queue before new calls are rejected, as a fraction of their objective.
pub(super) const QUEUE_WAIT_RATIO: f64 = 0.1;
/// Mean latencies that must remain before the objective for a hedge, or for a protected call to queue.
pub(super) const SPARE_LATENCY_RATIO: f64 = 2.0;
/// Tokens that each call earns for retries and hedges.
pub(super) const RETRY_TOKENS_PER_CALL: f64 = 0.2;
pub(super) const MAX_RETRY_TOKENS: f64 = 20.0;
/// Bounds the CPU time that a long queue costs at each event.
pub(super) const MAX_SCAN_COUNT: usize = 16;
/// Extra calls of a warming server within its latency limit, as a part of the overload multiple.
pub(super) const BOOST_OVERLOAD_RATIO: f64 = 0.6;
pub(super) const MAX_BOOST_RATIO: f64 = 1.5;
/// Resolution of a new server's random first credit.
pub(super) const CREDIT_PARTS: u64 = 1 << 16;
/// Memory of a server's busy time, in sends of this balancer per server.
pub(super) const BUSY_MEMORY_SENDS: f64 = 4.0;
/// Initial budget of a server below which a balancer is sparse; it would round to no call.
pub(super) const SPARSE_BUDGET_CALLS: f64 = 0.5;
/// Smallest subset of a sparse balancer, and calls in flight per server above which it grows.
pub(super) const MIN_SUBSET_SERVER_COUNT: usize = 8;
pub(super) const SUBSET_CALLS_PER_SERVER: f64 = 0.5;
/// Doublings until a zone's backoff reaches the first one of a server.
pub(super) const ZONE_DOUBLINGS: u32 = 3;
/// Averaging time of the rate of answers.
pub(super) const RATE_MEMORY_US: f64 = 3e6;
/// Age above which a server's latency no longer counts, in longest objectives, and its maximum.
pub(super) const EVIDENCE_RATIO: f64 = 8.0;
pub(super) const MAX_EVIDENCE_AGE_US: f64 = 4e6;
/// Weight of a new answer in the latency of a server model, and of one server relative to its model.
pub(super) const MODEL_EMA_RATIO: f64 = 0.01;
pub(super) const DEVIATION_EMA_RATIO: f64 = 0.25;
/// Decay time of a server's deviation from its model.
pub(super) const DEVIATION_MEMORY_US: f64 = 3e6;
/// Largest deviation of one answer from its model, as a natural logarithm.
pub(super) const MAX_LOG_DEVIATION: f64 = 2.5;
pub(super) const MAX_SUBSCRIBE_DOUBLINGS: u32 = 3;
/// Longest time between subscription requests, so that a change arrives within 6 s.
pub(super) const SUBSCRIBE_GAP_US: Micros = 5_000_000;
pub(super) const RESUBSCRIBE_DELAY_US: Micros = 3_000_000;
/// Time that discovery has for each balancer when all may subscribe at once.
pub(super) const SUBSCRIBE_SLOT_US: Micros = 30_000;
/// Part of the objective within which a sparse balancer, whose estimates are rough, stays in its zone.
pub(super) const SPARSE_LOCAL_RATIO: f64 = 0.35;
/// Ratio of latency to its limit up to which other balancers prefer their local zone.
pub(super) const LOCAL_RATIO: f64 = 0.4;
/// Servers whose tie breakers are closer than this are chosen at random.
pub(super) const TIE_RATIO: f64 = 0.93;
