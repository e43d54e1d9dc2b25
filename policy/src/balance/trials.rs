//! Trials: single calls beyond a server's budget, to raise it, or to an ejected server, to reinstate it.

use super::{budget::is_conclusive, server::Server};
use crate::api::{Micros, SafetyLimits};

impl Server {
    pub(super) fn has_settled(&self, now: Micros, mean: f64) -> bool {
        let answers = self.answers_since;
        answers >= self.in_flight.max(1) && is_conclusive(answers, now.saturating_sub(self.changed_at), mean)
    }

    pub(super) fn may_recover(&self, now: Micros, served_count: u64, safety: &SafetyLimits) -> bool {
        self.budget.steps == 0 && self.budget.is_trial_due(now) && self.is_open(now, served_count, safety)
    }

    /// Whether one call may be sent beyond the budget, as a trial that raises the budget if it is served.
    pub(super) fn may_take_trial(&self, now: Micros, max_mean: f64, safety: &SafetyLimits) -> bool {
        self.budget.is_trial_due(now)
            && self.latency_ratio <= 1.0
            && (self.changed_at == 0 || self.has_settled(now, max_mean))
            && self.warmup_ratio(now, safety) >= 1.0
    }
}
