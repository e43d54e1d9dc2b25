//! How fast things are judged and moved, and by what bounds.
use flaxhead_lease::Micros;

/// Settings, the same at all processes. Portions are in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FailoverSettings {
    /// Calls a second that a warm host of size 1 does.
    pub host_calls_per_second: u32,

    /// What is left of that.
    pub margin_per_mille: u32,

    /// An answer that takes longer makes its zone strained.
    pub degraded_latency_ms: u32,

    /// So many failures make it strained, and so many lost.
    pub degraded_failure_per_mille: u32,

    /// See [`Pace::failing`].
    pub unavailable_failure_per_mille: u32,

    /// Part of those of one zone who speak of another that must say the same, and how many at the least.
    pub quorum_per_mille: u32,

    /// See [`Pace::quorum`].
    pub min_witnesses: u32,

    /// How old a word may be that is a witness.
    pub max_report_age: Micros,

    /// For how long a zone must be seen worse before it counts as worse.
    pub worsening_delay: Micros,

    /// For how long it must be seen better; doubled with each time that it got worse again, up to eight times.
    pub recovery_delay: Micros,

    /// How often the plan moves at the most.
    pub step_interval: Micros,

    /// How much of what a zone can do its traffic may rise by in a step, and for one that is just back.
    pub max_step_per_mille: u32,

    /// See [`Pace::step`].
    pub recovery_step_per_mille: u32,

    /// How long a zone counts as just back.
    pub recovery_period: Micros,

    /// Moves of less than this wait for more.
    pub min_change_per_mille: u32,

    /// How long an order to hold the plan lasts.
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

/// A portion in thousandths of a number.
pub(crate) fn scale_per_mille(value: u64, per_mille: u32) -> u64 {
    (u128::from(value) * u128::from(per_mille) / 1_000).min(u128::from(u64::MAX)) as u64
}
