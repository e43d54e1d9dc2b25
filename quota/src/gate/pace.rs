//! How fast units come free.

use crate::Micros;

/// How many units came free lately: a count that fades.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    count: f64,
    at: Micros,
    /// Since when it counts, without the time in which nothing was in hand.
    since: Micros,
}

impl Pace {
    /// A unit is in hand again after there was none: that none came free meanwhile says nothing.
    pub fn begins(&mut self, now: Micros) {
        self.since += now.saturating_sub(self.at);
        self.at = now;
    }

    pub fn ended(&mut self, now: Micros, span: Micros) {
        self.count = self.faded(now, span) + 1.0;
        self.at = now;
    }

    fn faded(&self, now: Micros, span: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / span as f64).exp()
    }

    /// How long so many units take to come free, at the best: one more than was seen may be about to.
    pub fn time_for(&self, units: f64, now: Micros, span: Micros) -> Micros {
        let looked = now.saturating_sub(self.since).min(span) as f64;
        (units * looked / (self.faded(now, span) + 1.0)) as Micros
    }
}
