//! Bytes that hosts send without a request, and what follows from them for the reuse of connections.
//!
//! HTTP/1.1 matches responses to requests by their order alone. A surplus response that is still on its way when
//! a connection is reused would be taken for the response to the next request. So a connection rests after each
//! response: what arrives in that time is noticed, and the connection is closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Shortest rest of a connection between a response and the next request.
const MIN_REST: Duration = Duration::from_millis(20);
/// How many times as long as surplus bytes were late connections rest, at all hosts.
const REST_FACTOR: u32 = 2;
/// For how long surplus bytes have effect. Connections of the host that sent them are not reused in that time.
const DISTRUST_TIME: Duration = Duration::from_secs(60);

/// How late surplus bytes have come, at all hosts together.
#[derive(Clone, Copy, Debug, Default)]
struct Lateness {
    longest: Duration,
    last: Option<Instant>,
}

impl Lateness {
    fn record(&mut self, now: Instant, late_by: Duration) {
        let longest = if is_recent(now, self.last) { self.longest } else { Duration::ZERO };
        *self = Lateness { longest: longest.max(late_by), last: Some(now) };
    }

    fn rest(&self, now: Instant) -> Duration {
        match is_recent(now, self.last) {
            true => MIN_REST.max(self.longest * REST_FACTOR),
            false => MIN_REST,
        }
    }
}

fn is_recent(now: Instant, at: Option<Instant>) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < DISTRUST_TIME)
}

/// Surplus bytes of all hosts. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Surplus {
    lateness: Rc<Cell<Lateness>>,
    count: Rc<Cell<u64>>,
}

impl Surplus {
    /// How long a connection must have rested before it is reused.
    pub fn rest(&self, now: Instant) -> Duration {
        self.lateness.get().rest(now)
    }

    /// How many connections have had surplus bytes.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// The surplus bytes of another host, of which there are none yet.
    pub fn of_host(&self) -> HostSurplus {
        HostSurplus { all: self.clone(), last: Rc::default() }
    }
}

/// Surplus bytes of one host. Clones share their state.
#[derive(Clone, Debug)]
pub struct HostSurplus {
    all: Surplus,
    last: Rc<Cell<Option<Instant>>>,
}

impl HostSurplus {
    /// Records surplus bytes that came on a connection this long after its last response.
    pub fn record(&self, now: Instant, late_by: Duration) {
        let mut lateness = self.all.lateness.get();
        lateness.record(now, late_by);
        self.all.lateness.set(lateness);
        self.all.count.set(self.all.count() + 1);
        if !self.is_distrusted(now) {
            tracing::info!("a host sent bytes without a request, {late_by:?} after its last response");
        }
        self.last.set(Some(now));
    }

    /// Whether none of the host's connections may be reused.
    pub fn is_distrusted(&self, now: Instant) -> bool {
        is_recent(now, self.last.get())
    }
}

#[cfg(test)]
mod tests;
