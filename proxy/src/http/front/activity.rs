//! What a client's connection is doing and since when, for those that decide which connections are given up.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has come on it yet.
    New,
    /// A part of a request has come.
    Reading,
    /// A request has come whole, and its answer is owed.
    Responding,
    /// Its last request was answered.
    Idle,
    /// No more is read from it as a request.
    Closing,
}

/// What is known of a connection, for those that decide about it.
#[derive(Debug)]
pub(super) struct Activity {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    received: Cell<Instant>,
    has_had_request: Cell<bool>,
}

impl Activity {
    /// One that has just begun.
    pub fn new() -> Activity {
        let now = Instant::now();
        Activity {
            phase: Cell::new(Phase::New),
            since: Cell::new(now),
            received: Cell::new(now),
            has_had_request: Cell::new(false),
        }
    }

    /// What the connection is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// For how long it has done so.
    pub fn age(&self) -> Duration {
        self.since.get().elapsed()
    }

    /// When the last bytes that were passed on came from the client: a request that was read ahead is older than the
    /// moment at which its turn comes.
    pub fn received(&self) -> Instant {
        self.received.get()
    }

    /// Whether a request has ever come on it whole.
    pub fn has_had_request(&self) -> bool {
        self.has_had_request.get()
    }

    /// Notes that a request has come whole.
    pub fn record_request(&self) {
        self.has_had_request.set(true);
    }

    /// Notes what the connection does from now on.
    pub fn enter(&self, phase: Phase) {
        // What is being closed does nothing else any more.
        if self.phase.get() != Phase::Closing {
            self.phase.set(phase);
            self.since.set(Instant::now());
        }
    }

    /// Notes bytes of the client, and when they came.
    pub fn record_received(&self, at: Instant) {
        self.received.set(at);
        if matches!(self.phase(), Phase::New | Phase::Reading | Phase::Idle) {
            self.enter(Phase::Reading);
        }
    }
}
