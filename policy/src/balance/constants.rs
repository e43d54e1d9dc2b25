//! Constants of the balancing policy. Most are ratios to latency objectives or to observed latencies.

use crate::api::Micros;

/// Maximum of `Budget::steps`, after the default maximum of connections in gRFC A105.
pub(super) const MAX_STEP_COUNT: u32 = 10;
/// Budget of a server over all balancers, in calls: initial, and least after a reduction that is not severe.
pub(super) const INITIAL_CALLS: f64 = 7.0;
pub(super) const FLOOR_CALLS: f64 = 12.0;
/// Fraction of a budget that one reduction leaves at least (as in TCP), and that a rejection leaves.
pub(super) const MIN_REMAINING_RATIO: f64 = 0.5;
pub(super) const REJECTED_REMAINING_RATIO: f64 = 0.8;
/// Latency limit, above which a server counts as overloaded, as a multiple of the class's unloaded latency.
pub(super) const LIMIT_BASELINE_RATIO: f64 = 3.0;
/// Maximum of the latency limit as a fraction of the class's objective.
pub(super) const LIMIT_OBJECTIVE_RATIO: f64 = 0.33;
/// Minimum of the latency limit as a multiple of the zone's lowest latency, which is due to the network.
pub(super) const LIMIT_ZONE_RATIO: f64 = 1.5;
/// CPU utilization that counts like a latency equal to the latency limit; queueing grows steeply above it.
pub(super) const FULL_CPU_RATIO: f64 = 0.9;
/// Ratio of a server's latency to the latency limit above which a reduction of its budget is severe.
pub(super) const SEVERE_LATENCY_RATIO: f64 = 1.5;
/// Floor of a severe reduction as a fraction of the floor of other reductions.
pub(super) const SEVERE_FLOOR_RATIO: f64 = 0.2;
/// Weight of a new answer in the moving average of a server's latency; other averages use a part of it.
pub(super) const EMA_RATIO: f64 = 0.1;
/// Time over which an estimate of a lowest latency rises, without lower samples, to the current latency.
pub(super) const BASELINE_DRIFT_US: f64 = 120e6;
/// Weight of a new outcome in a server's failure ratio, and the failure ratio above which it is ejected.
pub(super) const FAILURE_EMA_RATIO: f64 = 0.2;
pub(super) const EJECTION_RATIO: f64 = 0.3;
/// First backoff of a server as a fraction of the longest objective, and the most doublings of the backoff.
pub(super) const BACKOFF_RATIO: f64 = 0.25;
pub(super) const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Wait of the queue's first call above which a new call is rejected, as a fraction of its objective.
pub(super) const QUEUE_WAIT_RATIO: f64 = 0.1;
/// Time kept before the objective for a hedged request, or after a protected call's wait, in mean latencies.
pub(super) const SPARE_LATENCY_RATIO: f64 = 2.0;
/// Retry tokens that a new call adds (a retry or hedged request takes one), and the most that are kept.
pub(super) const RETRY_TOKENS_PER_CALL: f64 = 0.2;
pub(super) const MAX_RETRY_TOKENS: f64 = 20.0;
/// Most queued calls examined per event, so that a long queue costs bounded CPU time.
pub(super) const MAX_SCAN_COUNT: usize = 16;
/// Factor on the send credits of a fast warming server, as a part of the overload multiple, and its maximum.
pub(super) const BOOST_OVERLOAD_RATIO: f64 = 0.6;
pub(super) const MAX_BOOST_RATIO: f64 = 1.5;
/// Resolution of the random first send credit of a warming server: parts of one credit.
pub(super) const CREDIT_PARTS: u64 = 1 << 16;
/// Sends per server of the subset after which a recorded busy time has decayed to 1/e.
pub(super) const BUSY_MEMORY_SENDS: f64 = 4.0;
/// A group of balancers is large if each one's part of a server's initial budget is below this, in calls.
pub(super) const LARGE_GROUP_BUDGET_CALLS: f64 = 0.5;
/// Fewest servers in a large group's subset, and calls in flight per server above which the subset grows.
pub(super) const MIN_SUBSET_SERVER_COUNT: usize = 8;
pub(super) const SUBSET_CALLS_PER_SERVER: f64 = 0.5;
/// Doublings after which a zone's backoff equals a server's first: one failed connection is weak evidence.
pub(super) const ZONE_DOUBLINGS: u32 = 3;
/// Time constant of the average of a balancer's calls in flight, and a third of a server's longest pause.
pub(super) const RATE_MEMORY_US: f64 = 3e6;
/// Age up to which a server's latency is compared with others', in longest objectives, and its cap.
pub(super) const EVIDENCE_RATIO: f64 = 8.0;
pub(super) const MAX_EVIDENCE_AGE_US: f64 = 4e6;
/// Weight of a new answer in the latency of its server model, and in its server's deviation from the model.
pub(super) const MODEL_EMA_RATIO: f64 = 0.01;
pub(super) const DEVIATION_EMA_RATIO: f64 = 0.25;
/// Time constant with which a server's deviation from its model's latency decays to 0.
pub(super) const DEVIATION_MEMORY_US: f64 = 3e6;
/// Largest deviation of one answer's latency from that of the server model, as a natural logarithm.
pub(super) const MAX_LOG_DEVIATION: f64 = 2.5;
pub(super) const MAX_SUBSCRIBE_DOUBLINGS: u32 = 3;
/// Longest time from the start of a failed subscription to the next, and from the break of a longer one.
pub(super) const SUBSCRIBE_GAP_US: Micros = 5_000_000;
pub(super) const RESUBSCRIBE_DELAY_US: Micros = 3_000_000;
/// Time that discovery needs for the subscription of one balancer.
pub(super) const SUBSCRIBE_SLOT_US: Micros = 30_000;
/// In a large group: expected latency up to which a local server is preferred, as a part of the objective.
pub(super) const LARGE_GROUP_LOCAL_RATIO: f64 = 0.35;
/// In a small group: latency up to which a local server is preferred, as a part of the latency limit.
pub(super) const LOCAL_RATIO: f64 = 0.4;
/// Ratio of a second server's cost to a first's below which, at equal calls in flight, it is picked.
pub(super) const TIE_RATIO: f64 = 0.93;
