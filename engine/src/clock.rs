//! The engine's clock.

use flaxhead_policy::Micros;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Counts from Unix time at the start, so that start times of hosts can be told in it, and never goes back,
/// whatever is done to the system's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    origin: Micros,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), origin: unix.as_micros() as Micros }
    }

    /// What it showed, or will show, at an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.origin + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// What it shows now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// When it shows this.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.origin))
    }

    /// Since its start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
