//! What answer times tell of a zone's way, a model of server and a class.

use super::constants::*;
use crate::api::Micros;
use crate::state::{Model, Pace, Way};

/// How long what answers have shown still tells something.
pub(super) fn shown_for(longest_aim: f64) -> f64 {
    (SHOWN_AIMS * longest_aim).min(SHOWN_MOST)
}

/// Share of a drift upwards that the time since `at` allows.
pub(super) fn drift(now: Micros, at: Micros) -> f64 {
    (now.saturating_sub(at) as f64 / BASE_DRIFT).min(1.0)
}

impl Way {
    pub(super) fn answered(&mut self, now: Micros, elapsed: f64, slowness: f64) {
        let (least, slow) = (self.least.unwrap_or(elapsed), self.least.map_or(slowness, |_| self.slowness));
        let drift = drift(now, self.at);
        self.least = Some(elapsed.min(least + (elapsed - least) * drift));
        self.slowness = slowness.min(slow + (slowness - slow) * drift);
        self.at = now;
    }
}

impl Model {
    pub(super) fn answered(&mut self, beside: f64) {
        self.seen = self.seen.saturating_add(1);
        self.log += beside * (1.0 / f64::from(self.seen)).max(MODEL_WEIGHT);
    }
}

impl Pace {
    pub(super) fn answered(&mut self, now: Micros, elapsed: f64) {
        self.seen = self.seen.saturating_add(1);
        let sample = if self.seen > 8 { elapsed.min(8.0 * self.base) } else { elapsed };
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.seen)).max(SMOOTHING / 2.0);
        let drift = drift(now, self.at);
        self.at = now;
        let drifted = if self.seen <= 8 { self.mean } else { self.base + (self.mean - self.base) * drift };
        self.base = self.mean.min(drifted).max(1.0);
    }
}
