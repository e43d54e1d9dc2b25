//! How fast permits are released.

use crate::Micros;

/// How many permits were released recently: a count that decays exponentially.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseRate {
    count: f64,
    updated_at: Micros,
    /// Since when it counts, less the time in which no permit was in use.
    since: Micros,
}

impl ReleaseRate {
    /// A permit is in use again after there was none: that none was released meanwhile says nothing.
    pub fn resume(&mut self, now: Micros) {
        self.since += now.saturating_sub(self.updated_at);
        self.updated_at = now;
    }

    /// A permit was released. The count decays over `span`.
    pub fn record(&mut self, now: Micros, span: Micros) {
        self.count = self.decayed(now, span) + 1.0;
        self.updated_at = now;
    }

    fn decayed(&self, now: Micros, span: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / span as f64).exp()
    }

    /// How long so many permits take to be released, at the best: one more than was seen may be about to.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "it saturates, and is no negative"
    )]
    pub fn time_for(&self, permits: f64, now: Micros, span: Micros) -> Micros {
        let observed = now.saturating_sub(self.since).min(span) as f64;
        (permits * observed / (self.decayed(now, span) + 1.0)) as Micros
    }
}
