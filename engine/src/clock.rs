//! Monotonic clock of the engine, in the policy's unit.

use flaxhead_policy::Micros;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Converts a duration to microseconds.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Monotonic clock that starts at the current Unix time, so that start times of hosts can be compared with
/// it. Later adjustments of the system clock do not affect it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: micros(unix) }
    }

    /// Converts an instant to the clock's reading at that time.
    pub(crate) fn at(&self, instant: Instant) -> Micros {
        self.origin + micros(instant.saturating_duration_since(self.start))
    }

    /// Returns the current reading.
    pub(crate) fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Converts a reading to the instant; readings before the clock's start give the start.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }

    /// Returns the time since the engine was started.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
