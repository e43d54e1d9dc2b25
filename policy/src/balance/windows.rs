//! To how many servers a balancer's calls go.

use super::{budget::Budget, constants::*};
use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// What a thin balancer carries: one whose part of a server's first budget is far under a call. It meets most
/// servers too seldom to learn what each takes, and keeps to a few.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Thin {
    /// Mean in flight over the last seconds.
    pub(super) used: f64,
    pub(super) heard: Micros,
}

impl Thin {
    pub(super) fn new(balancer_count: u32) -> Option<Self> {
        (Budget::new(balancer_count).concurrency < THIN_UNDER).then(Thin::default)
    }

    pub(super) fn answered(&mut self, now: Micros, elapsed: f64) {
        let gap = now.saturating_sub(self.heard) as f64 / RATE_MEMORY;
        self.heard = now;
        self.used = self.used * (-gap).exp() + elapsed / RATE_MEMORY;
    }
}

/// How many of `servers` calls are spread over: a thin balancer that went to all would open a connection for
/// nearly every call, past what servers accept, and would learn of none of them.
pub(super) fn window(thin: Option<&Thin>, servers: usize) -> usize {
    let busy = thin.map_or(f64::MAX, |t| t.used / WINDOW_BUSY);
    (busy as usize).max(WINDOW_LEAST).min(servers)
}
