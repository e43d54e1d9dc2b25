//! Size of the subset of servers that a balancer uses.

use super::{budget::Budget, constants::*};
use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// Traffic of a balancer in a large group: one of so many that its part of a server's initial budget is below
/// half a call. It sees most servers too rarely to learn their limits, and uses a subset of them.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct LargeGroup {
    /// Moving average of this balancer's calls in flight.
    pub(super) mean_in_flight: f64,
    pub(super) last_end_at: Micros,
}

impl LargeGroup {
    pub(super) fn new(balancer_count: u32) -> Option<Self> {
        (Budget::new(balancer_count).concurrency < LARGE_GROUP_BUDGET_CALLS).then(LargeGroup::default)
    }

    pub(super) fn record(&mut self, now: Micros, elapsed: f64) {
        let elapsed_ratio = now.saturating_sub(self.last_end_at) as f64 / RATE_MEMORY_US;
        self.last_end_at = now;
        self.mean_in_flight = self.mean_in_flight * (-elapsed_ratio).exp() + elapsed / RATE_MEMORY_US;
    }
}

/// Number of servers that a balancer uses: all, or in a large group as many as its traffic needs. With all,
/// it would open a connection for nearly every call there.
pub(super) fn subset_size(large_group: Option<&LargeGroup>, servers: usize) -> usize {
    let wanted =
        large_group.map_or(f64::MAX, |large_group| large_group.mean_in_flight / SUBSET_CALLS_PER_SERVER);
    (wanted as usize).max(MIN_SUBSET_SERVER_COUNT).min(servers)
}
