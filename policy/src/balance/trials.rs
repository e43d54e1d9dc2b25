//! Which servers may be tried past their budgets, or after they were set aside.

use super::{budget::enough, server::Server};
use crate::api::{Micros, SafetyLimits};

impl Server {
    pub(super) fn settled(&self, now: Micros, usual: f64) -> bool {
        let answers = self.answers_since;
        answers >= self.in_flight.max(1) && enough(answers, now.saturating_sub(self.changed), usual)
    }

    pub(super) fn returning(&self, now: Micros, served: u64, safety: &SafetyLimits) -> bool {
        self.budget.steps == 0 && self.budget.trial_ready(now) && self.open(now, served, safety)
    }

    /// Whether a call past its budget may go there, to find out whether it bears more.
    pub(super) fn may_take_trial(&self, now: Micros, longest: f64, safety: &SafetyLimits) -> bool {
        self.budget.trial_ready(now)
            && self.strain <= 1.0
            && (self.changed == 0 || self.settled(now, longest))
            && self.warmth(now, safety) >= 1.0
    }
}
