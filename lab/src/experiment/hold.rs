//! What must hold for a run to pass.

use serde::Deserialize;

/// What must hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// Share of the worth that is served in time, at the least.
    pub service: Option<f64>,
    /// The same over the worst ten seconds.
    pub worst_ten_seconds: Option<f64>,
    /// The 99th percentile of latency from the intended time, at the most, in milliseconds.
    pub p99_ms: Option<f64>,
    /// The longest latency at the least: what a pause must show up as, in milliseconds.
    pub slowest_at_least_ms: Option<f64>,
    /// Attempts at nodes for each first try, at the most.
    pub attempts: Option<f64>,
    /// How long after the last restart of killed proxies each second gets 95% of what it asks, for good, at the most, in
    /// seconds.
    pub back_within_s: Option<f64>,
    /// How far a tenant's share may be from exact max-min, as a share of that, with `[shares]`.
    pub share_within: Option<f64>,
    /// Calls in hand that a capped tenant has on the mean, of those that it asks for within its cap, at the least.
    pub cap_used: Option<f64>,
}
