//! Constants of the balancing policy. Most are ratios to latency objectives or to observed latencies.

use crate::api::Micros;

/// Most steps of a budget, after the default maximum of connections in gRFC A105.
pub(super) const MAX_STEP_COUNT: u32 = 10;
/// Calls in flight at one server over all balancers: initially, and the least that mild overload leaves.
pub(super) const INITIAL_CALLS: f64 = 7.0;
pub(super) const FLOOR_CALLS: f64 = 12.0;
/// Concurrency that remains, at least, of a reduction (as in TCP), and after a rejection.
pub(super) const MIN_REMAINING_RATIO: f64 = 0.5;
pub(super) const REJECTED_REMAINING_RATIO: f64 = 0.8;
/// The latency limit, above which a server is overloaded, is this multiple of a class's unloaded latency.
pub(super) const LIMIT_BASELINE_RATIO: f64 = 3.0;
/// The latency limit is at most this fraction of the class's objective.
pub(super) const LIMIT_OBJECTIVE_RATIO: f64 = 0.33;
/// The latency limit is at least this multiple of the zone's lowest latency, which no budget can shorten.
pub(super) const LIMIT_ZONE_RATIO: f64 = 1.5;
/// CPU utilization that counts like a latency at its limit; queueing grows steeply above it.
pub(super) const FULL_CPU_RATIO: f64 = 0.9;
/// Ratio of latency to its limit above which a reduction is severe: more than half the objective.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Fraction of a budget's floor that remains, at least, after severe reductions.
pub(super) const SEVERE_FLOOR_RATIO: f64 = 0.2;
/// Weight of a new sample in a moving average over about twenty samples.
pub(super) const EMA_RATIO: f64 = 0.1;
/// Time in which an estimate of the lowest latency may rise to the current latency.
pub(super) const BASELINE_DRIFT_US: f64 = 120e6;
/// Weight of a new outcome in a server's failure ratio, and the ratio above which the server is ejected.
pub(super) const FAILURE_EMA_RATIO: f64 = 0.2;
pub(super) const EJECTION_RATIO: f64 = 0.3;
/// First backoff of a server as a fraction of the longest objective, and the most doublings of it.
pub(super) const BACKOFF_RATIO: f64 = 0.25;
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Longest wait in the queue before new calls are rejected, as a fraction of their objective.
pub(super) const QUEUE_WAIT_RATIO: f64 = 0.1;
/// Mean latencies that must remain before the objective for a hedge, or for a protected call to queue.
pub(super) const SPARE_LATENCY_RATIO: f64 = 2.0;
/// Tokens for retries and hedges that each call adds, and the most that are kept.
pub(super) const RETRY_TOKENS_PER_CALL: f64 = 0.2;
pub(super) const MAX_RETRY_TOKENS: f64 = 20.0;
/// Queued calls examined at one event; bounds the CPU time that a long queue costs.
pub(super) const MAX_SCAN_COUNT: usize = 16;
/// Factor on the share of a warming server within its limit: this part of the overload multiple, capped.
pub(super) const BOOST_OVERLOAD_RATIO: f64 = 0.6;
pub(super) const MAX_BOOST_RATIO: f64 = 1.5;
/// Resolution of the random first credit of a new server.
pub(super) const CREDIT_PARTS: u64 = 1 << 16;
/// Sends per server after which its past busy time has decayed by a factor of e.
pub(super) const BUSY_MEMORY_SENDS: f64 = 4.0;
/// Share of a server's initial budget, in calls, below which a balancer is one of a large group.
pub(super) const LARGE_GROUP_BUDGET_CALLS: f64 = 0.5;
/// Fewest servers used in a large group, and calls in flight per server above which more are used.
pub(super) const MIN_SUBSET_SERVER_COUNT: usize = 8;
pub(super) const SUBSET_CALLS_PER_SERVER: f64 = 0.5;
/// Doublings of a zone's backoff before it reaches a server's: one failed connection is weak evidence.
pub(super) const ZONE_DOUBLINGS: u32 = 3;
/// Decay time of the moving average of calls in flight, and unit of the longest rest of a server.
pub(super) const RATE_MEMORY_US: f64 = 3e6;
/// Age of a server's latency up to which it counts, in longest objectives, and the cap of that age.
pub(super) const EVIDENCE_RATIO: f64 = 8.0;
pub(super) const MAX_EVIDENCE_AGE_US: f64 = 4e6;
/// Weight of a new answer in the latency of a server model, and in a server's deviation from its model.
pub(super) const MODEL_EMA_RATIO: f64 = 0.01;
pub(super) const DEVIATION_EMA_RATIO: f64 = 0.25;
/// Decay time of a server's deviation from its model.
pub(super) const DEVIATION_MEMORY_US: f64 = 3e6;
/// Largest deviation of one answer from its server's model, as a natural logarithm.
pub(super) const MAX_LOG_DEVIATION: f64 = 2.5;
pub(super) const MAX_SUBSCRIBE_DOUBLINGS: u32 = 3;
/// Longest time between subscriptions and after a broken watch: a change must arrive within 6 s.
pub(super) const SUBSCRIBE_GAP_US: Micros = 5_000_000;
pub(super) const RESUBSCRIBE_DELAY_US: Micros = 3_000_000;
/// Time for which discovery is occupied by one balancer's subscription.
pub(super) const SUBSCRIBE_SLOT_US: Micros = 30_000;
/// Part of the objective within which a balancer of a large group, with rough estimates, prefers its zone.
pub(super) const LARGE_GROUP_LOCAL_RATIO: f64 = 0.35;
/// Ratio of latency to its limit up to which a balancer of a small group prefers its zone.
pub(super) const LOCAL_RATIO: f64 = 0.4;
/// The second of two random servers is preferred if its cost is below this fraction of the first one's.
pub(super) const TIE_RATIO: f64 = 0.93;
