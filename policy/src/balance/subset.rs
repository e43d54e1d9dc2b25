//! Size of the subset of servers that a balancer uses.

use super::{budget::Budget, constants::*};
use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// Traffic of a sparse balancer: one whose share of a server's initial budget is far below one call. It sees
/// most servers too rarely to learn their limits and uses a small subset.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SparseTraffic {
    /// Moving average of calls in flight.
    pub(super) mean_in_flight: f64,
    pub(super) last_end_at: Micros,
}

impl SparseTraffic {
    pub(super) fn new(balancer_count: u32) -> Option<Self> {
        (Budget::new(balancer_count).concurrency < SPARSE_BUDGET_CALLS).then(SparseTraffic::default)
    }

    pub(super) fn record(&mut self, now: Micros, elapsed: f64) {
        let elapsed_ratio = now.saturating_sub(self.last_end_at) as f64 / RATE_MEMORY_US;
        self.last_end_at = now;
        self.mean_in_flight = self.mean_in_flight * (-elapsed_ratio).exp() + elapsed / RATE_MEMORY_US;
    }
}

/// Number of servers to spread calls over. A sparse balancer that used all of them would open a connection
/// for nearly every call.
pub(super) fn subset_size(sparse: Option<&SparseTraffic>, servers: usize) -> usize {
    let wanted = sparse.map_or(f64::MAX, |sparse| sparse.mean_in_flight / SUBSET_CALLS_PER_SERVER);
    (wanted as usize).max(MIN_SUBSET_SERVER_COUNT).min(servers)
}
