//! A limit on answers that no host works for: errors, refusals and health checks. A client that asks for them without
//! end would take all of the processor; its connection is read more slowly instead, and others get their turn.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Such answers that a connection gets without a pause, and how many it may have again each second.
const BURST_ANSWERS: f64 = 64.0;
const ANSWERS_PER_SECOND: f64 = 20.0;
/// Such answers a second to all connections that are past that, for each core that the process may use.
const SHARED_ANSWERS_PER_CORE: f64 = 1_000.0;
/// Longest pause: a peer is owed its error, or a close, within 3 s.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Smallest part of a core that is reckoned with.
const MIN_CORES: f64 = 0.01;
/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The limit that all connections share.
#[derive(Debug)]
pub struct Throttle {
    interval: Duration,
    /// When the next connection that is past its own limit may go on.
    next: Cell<Instant>,
    pauses: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl Throttle {
    /// The limit for a process that may use so many cores.
    pub fn new(cores: f64) -> Rc<Throttle> {
        let rate = SHARED_ANSWERS_PER_CORE * cores.max(MIN_CORES);
        Rc::new(Throttle {
            interval: Duration::from_secs_f64(rate.recip()),
            next: Cell::new(Instant::now()),
            pauses: Cell::new(0),
            logged_at: Cell::new(None),
        })
    }

    /// When a connection that is past its own limit may go on.
    fn next_turn(&self, now: Instant) -> Instant {
        let turn = (self.next.get().max(now) + self.interval).min(now + MAX_PAUSE);
        self.next.set(turn);
        self.pauses.set(self.pauses.get() + 1);
        if self.logged_at.get().is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL) {
            self.logged_at.set(Some(now));
            tracing::info!("throttled: {} answers so far that no host works for", self.pauses.get());
        }
        turn
    }
}

/// The limit of one connection.
#[derive(Debug)]
pub(super) struct ConnectionThrottle {
    shared: Rc<Throttle>,
    answers_left: f64,
    refilled_at: Instant,
    resume_at: Option<Instant>,
}

impl ConnectionThrottle {
    pub fn new(shared: Rc<Throttle>) -> ConnectionThrottle {
        ConnectionThrottle {
            shared,
            answers_left: BURST_ANSWERS,
            refilled_at: Instant::now(),
            resume_at: None,
        }
    }

    /// Counts an answer that no host has worked for.
    pub fn record(&mut self, now: Instant) {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * ANSWERS_PER_SECOND;
        self.answers_left = (self.answers_left + refill).min(BURST_ANSWERS);
        self.refilled_at = now;
        if self.answers_left >= 1.0 {
            self.answers_left -= 1.0;
        } else {
            self.resume_at = Some(self.shared.next_turn(now));
        }
    }

    /// Until when the connection is not read; `None`: it may be.
    pub fn paused_until(&mut self, now: Instant) -> Option<Instant> {
        self.resume_at = self.resume_at.filter(|resume_at| *resume_at > now);
        self.resume_at
    }
}

#[cfg(test)]
mod tests;
