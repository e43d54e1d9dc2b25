//! Latency estimates for zones, server models and classes.

use super::constants::*;
use crate::api::Micros;
use crate::state::{ClassLatency, ModelLatency, ZoneLatency};

/// Age, in microseconds, from which a server's latency is too old to compare it with others.
pub(super) fn evidence_lifetime(max_objective: f64) -> f64 {
    (EVIDENCE_RATIO * max_objective).min(MAX_EVIDENCE_AGE_US)
}

/// Part, 0 to 1, of the gap to the current latency by which a minimum has risen since `updated_at`.
pub(super) fn drift_ratio(now: Micros, updated_at: Micros) -> f64 {
    (now.saturating_sub(updated_at) as f64 / BASELINE_DRIFT_US).min(1.0)
}

impl ZoneLatency {
    pub(super) fn record(&mut self, now: Micros, elapsed: f64, latency_ratio: f64) {
        let (current_us, current_ratio) =
            (self.min_us.unwrap_or(elapsed), self.min_us.map_or(latency_ratio, |_| self.min_ratio));
        let drift = drift_ratio(now, self.updated_at);
        self.min_us = Some(elapsed.min(current_us + (elapsed - current_us) * drift));
        self.min_ratio = latency_ratio.min(current_ratio + (latency_ratio - current_ratio) * drift);
        self.updated_at = now;
    }
}

impl ModelLatency {
    pub(super) fn record(&mut self, deviation: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_ratio += deviation * (1.0 / f64::from(self.samples)).max(MODEL_EMA_RATIO);
    }
}

impl ClassLatency {
    pub(super) fn record(&mut self, now: Micros, elapsed: f64) {
        self.samples = self.samples.saturating_add(1);
        let sample = if self.samples > 8 { elapsed.min(8.0 * self.base_us) } else { elapsed };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.samples)).max(EMA_RATIO / 2.0);
        let drift = drift_ratio(now, self.updated_at);
        self.updated_at = now;
        let drifted_us =
            if self.samples <= 8 { self.mean } else { self.base_us + (self.mean - self.base_us) * drift };
        self.base_us = self.mean.min(drifted_us).max(1.0);
    }
}
