//! What a record of settings and events may hold: with longer times the module's sums could overflow.

use crate::api::*;

/// Longest span that a record may name: about fifty days.
pub(crate) const MAX_DURATION_US: Micros = 1 << 42;
/// Latest moment that a record may name: more than ten thousand years after 1970.
pub(crate) const MAX_TIMESTAMP_US: Micros = 1 << 60;

/// Whether an event, at its time, can be fed to a balancer: a proxy names no such times, a damaged record may.
pub fn is_event_in_range(now: Micros, event: &Event) -> bool {
    let span = match event {
        Event::Request { time_left, .. } => *time_left,
        Event::Outcome { elapsed, .. } => *elapsed,
        _ => 0,
    };
    now <= MAX_TIMESTAMP_US && span <= MAX_DURATION_US
}

impl Settings {
    /// Whether a balancer can be told these.
    pub fn is_in_range(&self) -> bool {
        let class = |class: &Class| {
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => window,
                Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
            };
            class.objective.max(class.deadline).max(window) <= MAX_DURATION_US
        };
        let safety = self.safety.slow_start_window.max(self.safety.max_poll_interval);
        self.classes.iter().all(class)
            && self.clock_tick.max(self.limits.max_retry_after).max(safety) <= MAX_DURATION_US
    }
}
