//! Bounds of durations and timestamps in captures: beyond them the balancer's arithmetic could overflow.

use crate::api::*;

/// Longest duration: about 50 days.
pub(crate) const MAX_DURATION_US: Micros = 1 << 42;
/// Latest timestamp: more than 10,000 years after 1970.
pub(crate) const MAX_TIMESTAMP_US: Micros = 1 << 60;

/// Whether an event and its time are within the bounds; a damaged capture may exceed them.
pub fn is_event_in_range(now: Micros, event: &Event) -> bool {
    let duration = match event {
        Event::Request { time_left, .. } => *time_left,
        Event::Outcome { elapsed, .. } => *elapsed,
        _ => 0,
    };
    now <= MAX_TIMESTAMP_US && duration <= MAX_DURATION_US
}

impl Settings {
    /// Whether all durations are short enough for the balancer's arithmetic: at most about 50 days.
    pub fn is_in_range(&self) -> bool {
        let class_in_range = |class: &Class| {
            let window = match class.idempotency {
                Idempotency::Keyed { window, .. } => window,
                Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
            };
            class.objective.max(class.deadline).max(window) <= MAX_DURATION_US
        };
        let longest_safety = self.safety.slow_start_window.max(self.safety.max_poll_interval);
        self.classes.iter().all(class_in_range)
            && self.clock_tick.max(self.limits.max_retry_after).max(longest_safety) <= MAX_DURATION_US
    }
}
