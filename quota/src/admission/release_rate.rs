//! Estimate of the rate at which permits are released, for the expected time in a queue.

use crate::Micros;

/// Number of recently released permits, which decays exponentially.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseRate {
    count: f64,
    updated_at: Micros,
    /// Start of the observation, moved forward by the duration of periods without any permit in use.
    observed_since: Micros,
}

impl ReleaseRate {
    /// Ends a period without any permit in use, which is left out of the observation because nothing could be
    /// released.
    pub fn resume(&mut self, now: Micros) {
        self.observed_since += now.saturating_sub(self.updated_at);
        self.updated_at = now;
    }

    /// Counts a released permit. The count decays with the time constant `span`.
    pub fn record(&mut self, now: Micros, span: Micros) {
        self.count = self.decayed(now, span) + 1.0;
        self.updated_at = now;
    }

    fn decayed(&self, now: Micros, span: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / span as f64).exp()
    }

    /// Returns the expected time until `permits` permits are released. The estimate is a lower bound: it
    /// assumes one more release than was observed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and the value is not negative"
    )]
    pub fn expected_time(&self, permits: f64, now: Micros, span: Micros) -> Micros {
        let observed = now.saturating_sub(self.observed_since).min(span) as f64;
        (permits * observed / (self.decayed(now, span) + 1.0)) as Micros
    }
}
