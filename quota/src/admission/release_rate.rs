//! Estimate of the rate at which permits are released.

use crate::Micros;

/// Exponentially decaying count of released permits.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseRate {
    count: f64,
    updated_at: Micros,
    /// Start of the observation, shifted by the periods in which no permit was in use.
    observed_since: Micros,
}

impl ReleaseRate {
    /// Resumes the observation when a permit is in use again. Idle periods carry no information on the rate.
    pub fn resume(&mut self, now: Micros) {
        self.observed_since += now.saturating_sub(self.updated_at);
        self.updated_at = now;
    }

    /// Records a release. The count decays with time constant `span`.
    pub fn record(&mut self, now: Micros, span: Micros) {
        self.count = self.decayed(now, span) + 1.0;
        self.updated_at = now;
    }

    fn decayed(&self, now: Micros, span: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / span as f64).exp()
    }

    /// Lower estimate of the time in which `permits` are released: it assumes that another release is
    /// imminent.
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
