//! The thresholds, delays and step sizes of zone failover.

use flaxhead_lease::Micros;

/// Settings of zone failover, which must be the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FailoverSettings {
    /// Capacity of a warm host of size 1.
    pub host_calls_per_second: u32,
    /// Ratio of the capacity that is kept free.
    pub margin_per_mille: u32,
    /// Latency above which a zone is degraded.
    pub degraded_latency_ms: u32,
    /// Failure ratio from which a zone is degraded.
    pub degraded_failure_per_mille: u32,
    /// Failure ratio from which a zone is unavailable.
    pub unavailable_failure_per_mille: u32,
    /// Ratio of the votes on a pair of an observing and an observed zone that must agree for the pair to be
    /// degraded or unavailable.
    pub quorum_per_mille: u32,
    /// Minimum number of votes on a pair, and of those that must agree for it to be degraded or unavailable.
    pub min_witnesses: u32,
    /// Age up to which a report counts as a vote on the health of zones.
    pub max_report_age: Micros,
    /// Time for which the votes on a pair must be worse than its health before the health becomes worse.
    pub worsening_delay: Micros,
    /// Time for which the votes on a pair must be better than its health before the health becomes better. It
    /// doubles with each recent outage after the first, up to eight times this value.
    pub recovery_delay: Micros,
    /// Minimum time between two steps of the plan, except away from a zone that became unavailable.
    pub step_interval: Micros,
    /// Maximum increase of a zone's traffic in a step, relative to its capacity with warm hosts.
    pub max_step_per_mille: u32,
    /// Maximum increase of a zone's traffic in a step during its recovery period, relative to its capacity
    /// with warm hosts.
    pub recovery_step_per_mille: u32,
    /// Duration of the recovery period after an outage.
    pub recovery_period: Micros,
    /// Size up to which changes of a split are not published.
    pub min_change_per_mille: u32,
    /// Maximum duration of a hold; the plan is then released automatically.
    pub max_hold: Micros,
}

impl Default for FailoverSettings {
    fn default() -> Self {
        FailoverSettings {
            host_calls_per_second: 100,
            margin_per_mille: 100,
            degraded_latency_ms: 500,
            degraded_failure_per_mille: 100,
            unavailable_failure_per_mille: 500,
            quorum_per_mille: 667,
            min_witnesses: 2,
            max_report_age: 4_000_000,
            worsening_delay: 250_000,
            recovery_delay: 4_000_000,
            step_interval: 500_000,
            max_step_per_mille: 250,
            recovery_step_per_mille: 60,
            recovery_period: 30_000_000,
            min_change_per_mille: 20,
            max_hold: 3_600_000_000,
        }
    }
}

/// Multiplies a value by a ratio in thousandths; saturates.
pub(crate) fn scale_per_mille(value: u64, per_mille: u32) -> u64 {
    (u128::from(value) * u128::from(per_mille) / 1_000).min(u128::from(u64::MAX)) as u64
}
