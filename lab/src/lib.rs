//! flaxhead-lab tries flaxhead on loopback: a fleet of stand-in nodes, load that is fixed ahead and counted from the
//! intended time, faults on a schedule, and an auditor that joins what clients and nodes wrote down.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod experiment;
pub mod figures;
pub mod fleet;
pub mod host;
pub mod http2;
pub mod ledger;
pub mod load;
pub mod model;
pub mod pace;
pub mod peers;
pub mod ports;
pub mod proxy;
pub mod report;
pub mod run;
pub mod shares;
pub mod stand_in;
pub mod turns;

use model::node::Micros;
use std::time::{Duration, Instant, SystemTime};

/// The clock of a run: microseconds since it began, the same for every thread.
#[derive(Clone, Copy, Debug)]
pub struct Epoch {
    start: Instant,
    unix: Micros,
}

impl Epoch {
    /// A run that begins after this time.
    pub fn after(wait: Duration) -> Epoch {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default() + wait;
        Epoch { start: Instant::now() + wait, unix: unix.as_micros() as Micros }
    }

    /// Now; 0 before the run began.
    pub fn now(&self) -> Micros {
        Instant::now().saturating_duration_since(self.start).as_micros() as Micros
    }

    /// A moment of the run on the process's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at)
    }

    /// Waits until a moment of the run, to a whole millisecond.
    pub async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.instant(at).into()).await;
    }

    /// A moment of the run in milliseconds of Unix time.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        (self.unix + at) / 1_000
    }
}
