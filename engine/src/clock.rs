//! The engine's clock.

use flaxhead_policy::Micros;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// A duration in the decision module's unit.
pub(crate) fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Counts from Unix time at its start, so that the start times of hosts can be expressed in it, and never goes back,
/// whatever is done to the system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    /// Starts now.
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: micros(unix) }
    }

    /// What the clock shows at an instant.
    pub(crate) fn at(&self, instant: Instant) -> Micros {
        self.origin + micros(instant.saturating_duration_since(self.start))
    }

    /// What the clock shows now.
    pub(crate) fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The instant at which the clock shows this time.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }

    /// The time since the clock's start.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
