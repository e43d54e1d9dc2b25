//! In-flight budget of a server: growth by served trials, reduction under overload.

use super::constants::*;
use crate::api::Micros;
use serde::{Deserialize, Serialize};

/// Most calls that this balancer has in flight at a server: `steps` times `concurrency`. A served trial adds
/// a step; with 0 steps the server is ejected.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Budget {
    pub(super) steps: u32,
    pub(super) concurrency: f64,
    /// Lowest budget, in calls, that a reduction leaves unless it is severe.
    pub(super) floor: f64,
    pub(super) trial_in_flight: bool,
    pub(super) doublings: u32,
    pub(super) backoff_until: Micros,
}

impl Budget {
    pub(super) fn new(balancer_count: u32) -> Self {
        let per_balancer = |concurrency: f64| concurrency / f64::from(balancer_count.max(1));
        let (concurrency, floor) = (per_balancer(INITIAL_CALLS), per_balancer(FLOOR_CALLS));
        Budget { steps: 1, concurrency, floor, ..Budget::default() }
    }

    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        !self.trial_in_flight && now >= self.backoff_until
    }

    pub(super) fn record_served_trial(&mut self) {
        self.doublings = 0;
        if self.steps < MAX_STEP_COUNT {
            self.steps += 1;
        } else {
            // At the most steps, the concurrency grows instead, by as much as a step would add.
            self.concurrency *= 1.0 + 1.0 / f64::from(MAX_STEP_COUNT);
        }
    }

    pub(super) fn start_backoff(&mut self, now: Micros, initial: Micros) {
        self.backoff_until = now + (initial << self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
    }

    /// Multiplies the concurrency by `remaining`, but leaves at least half, and a budget of `floor` calls.
    /// A severe reduction, after a rejection or a latency far above its limit, may go below the floor.
    pub(super) fn reduce(&mut self, remaining: f64, severe: bool) {
        let lowest =
            if severe { self.floor * SEVERE_FLOOR_RATIO } else { self.floor } / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * remaining.max(MIN_REMAINING_RATIO)).max(lowest);
    }
}

/// Whether `answers` or `elapsed` time since a change of the budget suffice to judge its effect.
pub(super) fn is_conclusive(answers: u32, elapsed: Micros, mean: f64) -> bool {
    f64::from(answers) * EMA_RATIO >= 1.0 || elapsed as f64 >= 2.0 * mean
}
