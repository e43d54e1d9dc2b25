//! The connections to one host, and the calls that wait for a stream on one: gRFC A105 (MAX_CONCURRENT_STREAMS
//! connection scaling) as a state machine without I/O or a clock.
//!
//! A call takes the oldest connection that has a free stream. Where none has, it waits, in order, and one more
//! connection is opened, up to a limit: one at a time, under one backoff for all attempts to this host. A call that
//! finds no connection, and none coming, fails at once; it was never sent.

use flaxhead_policy::Micros;
use std::collections::BTreeSet;

/// A waiting call, numbered by the driver in the order in which calls come; no number returns.
pub type Ticket = u64;
/// A connection, numbered here; no number returns.
pub type ConnectionId = u64;

/// Bounds of a subchannel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scaling {
    /// Most connections (A105's `max_connections_per_subchannel`, clamped).
    pub connections_most: usize,
    /// Pause after a first failure to connect, in microseconds; each further one doubles it.
    pub backoff_first: Micros,
    /// Longest pause, in microseconds.
    pub backoff_most: Micros,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Send a call on a connection; its stream is counted until [`Subchannel::finished`].
    Start {
        /// The call.
        ticket: Ticket,
        /// Where.
        connection: ConnectionId,
    },
    /// Fail a call: there is no connection, and none is coming.
    Fail {
        /// The call.
        ticket: Ticket,
    },
    /// Open a connection, and tell of it by [`Subchannel::connected`] or [`Subchannel::failed`].
    Connect {
        /// Its number.
        connection: ConnectionId,
    },
    /// Call [`Subchannel::tick`] at this time.
    WakeAt(Micros),
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    id: ConnectionId,
    /// The peer's MAX_CONCURRENT_STREAMS.
    limit: usize,
    in_flight: usize,
}

/// The connections to one host.
#[derive(Clone, Debug)]
pub struct Subchannel {
    scaling: Scaling,
    /// The oldest first.
    connections: Vec<Connection>,
    queue: BTreeSet<Ticket>,
    connecting: Option<ConnectionId>,
    next: ConnectionId,
    /// Attempts to connect that failed since one succeeded.
    failures: u32,
    backoff_until: Micros,
}

impl Subchannel {
    /// Without a connection; one is opened when a call comes.
    pub fn new(scaling: Scaling) -> Subchannel {
        debug_assert!(scaling.connections_most > 0);
        Subchannel {
            scaling,
            connections: Vec::new(),
            queue: BTreeSet::new(),
            connecting: None,
            next: 0,
            failures: 0,
            backoff_until: 0,
        }
    }

    /// A call is to be sent.
    pub fn call(&mut self, now: Micros, ticket: Ticket, out: &mut Vec<Do>) {
        debug_assert!(self.queue.last().is_none_or(|last| *last < ticket), "they wait in order");
        self.queue.insert(ticket);
        self.serve(now, out);
    }

    /// A call waits no longer.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(&ticket);
    }

    /// A connection is up; its peer allows so many streams. `false`: it is no longer wanted.
    pub fn connected(&mut self, now: Micros, id: ConnectionId, limit: usize, out: &mut Vec<Do>) -> bool {
        if self.connecting != Some(id) {
            return false;
        }
        (self.connecting, self.failures) = (None, 0);
        self.connections.push(Connection { id, limit, in_flight: 0 });
        debug_assert!(self.connections.len() <= self.scaling.connections_most);
        self.serve(now, out);
        true
    }

    /// A connection did not come up. `spread`, from 0 to 1, moves the pause within a fifth of it, so that proxies that
    /// failed together do not come back together.
    pub fn failed(&mut self, now: Micros, id: ConnectionId, spread: f64, out: &mut Vec<Do>) {
        if self.connecting != Some(id) {
            return;
        }
        self.connecting = None;
        let Scaling { backoff_first, backoff_most, .. } = self.scaling;
        let pause = backoff_first.saturating_mul(1 << self.failures.min(20)).min(backoff_most);
        let pause = (pause as f64 * (0.8 + 0.4 * spread.clamp(0.0, 1.0))) as Micros;
        self.failures += 1;
        self.backoff_until = now.saturating_add(pause);
        self.serve(now, out);
        if !self.queue.is_empty() {
            out.push(Do::WakeAt(self.backoff_until));
        }
    }

    /// A peer allows so many streams from now on.
    pub fn limit(&mut self, now: Micros, id: ConnectionId, limit: usize, out: &mut Vec<Do>) {
        self.connections.iter_mut().filter(|connection| connection.id == id).for_each(|c| c.limit = limit);
        self.serve(now, out);
    }

    /// A call that was sent on a connection has ended.
    pub fn finished(&mut self, now: Micros, id: ConnectionId, out: &mut Vec<Do>) {
        if let Some(connection) = self.connections.iter_mut().find(|connection| connection.id == id) {
            debug_assert!(connection.in_flight > 0, "a stream ends once");
            connection.in_flight = connection.in_flight.saturating_sub(1);
        }
        self.serve(now, out);
    }

    /// A connection takes nothing new: it has broken, or its peer said GOAWAY.
    pub fn lost(&mut self, now: Micros, id: ConnectionId, out: &mut Vec<Do>) {
        self.connections.retain(|connection| connection.id != id);
        self.serve(now, out);
    }

    /// The host takes nothing new: its connections are no longer used, and what is being opened is not wanted. Calls
    /// that wait are the driver's to take back.
    pub fn retire(&mut self) -> Vec<ConnectionId> {
        self.connecting = None;
        // Another process may be there when it comes back.
        (self.failures, self.backoff_until) = (0, 0);
        self.connections.drain(..).map(|connection| connection.id).collect()
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Do>) {
        self.serve(now, out);
    }

    /// Connections that are up, streams out on them, and calls that wait.
    pub fn figures(&self) -> (usize, usize, usize) {
        let streams = self.connections.iter().map(|connection| connection.in_flight).sum();
        (self.connections.len(), streams, self.queue.len())
    }

    fn serve(&mut self, now: Micros, out: &mut Vec<Do>) {
        while let Some(&ticket) = self.queue.first() {
            // The oldest first, so that those opened for a rush empty and are closed by their peers.
            if let Some(free) = self.connections.iter_mut().find(|c| c.in_flight < c.limit) {
                free.in_flight += 1;
                out.push(Do::Start { ticket, connection: free.id });
                self.queue.pop_first();
                continue;
            }
            let paused = now < self.backoff_until;
            if self.connecting.is_none() && !paused && self.connections.len() < self.scaling.connections_most
            {
                self.next += 1;
                self.connecting = Some(self.next);
                out.push(Do::Connect { connection: self.next });
            }
            if !(self.connections.is_empty() && self.connecting.is_none()) {
                break;
            }
            out.push(Do::Fail { ticket });
            self.queue.pop_first();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SCALING: Scaling = Scaling { connections_most: 3, backoff_first: 100, backoff_most: 350 };

    fn told(act: impl FnOnce(&mut Vec<Do>)) -> Vec<Do> {
        let mut out = Vec::new();
        act(&mut out);
        out
    }

    fn start(ticket: Ticket, connection: ConnectionId) -> Do {
        Do::Start { ticket, connection }
    }

    /// One with so many connections of two streams each, all taken; the next call is numbered 100.
    fn full(connections: u64) -> Subchannel {
        let mut sub = Subchannel::new(SCALING);
        for id in 1..=connections {
            assert_eq!(told(|out| sub.call(0, id * 2, out)), [Do::Connect { connection: id }]);
            sub.call(0, id * 2 + 1, &mut Vec::new());
            let started = told(|out| assert!(sub.connected(0, id, 2, out)));
            assert_eq!(started, [start(id * 2, id), start(id * 2 + 1, id)]);
        }
        sub
    }

    #[test]
    fn connections_are_opened_one_at_a_time_up_to_the_limit_and_calls_wait_in_order() {
        let mut sub = full(1);
        assert_eq!(told(|out| sub.call(0, 100, out)), [Do::Connect { connection: 2 }]);
        assert_eq!(told(|out| (101..104).for_each(|t| sub.call(0, t, out))), []);
        let next = told(|out| assert!(sub.connected(0, 2, 1, out)));
        assert_eq!(next, [start(100, 2), Do::Connect { connection: 3 }], "still too few");
        assert_eq!(told(|out| assert!(sub.connected(0, 3, 1, out))), [start(101, 3)], "the limit is reached");
        assert_eq!(told(|out| sub.finished(0, 3, out)), [start(102, 3)]);
        assert_eq!(told(|out| sub.finished(0, 1, out)), [start(103, 1)]);
        assert_eq!(sub.figures(), (3, 4, 0));
    }

    #[test]
    fn the_oldest_connection_with_a_free_stream_is_taken() {
        let mut sub = full(3);
        told(|out| [3, 1].into_iter().for_each(|id| sub.finished(0, id, out)));
        assert_eq!(told(|out| sub.call(0, 100, out)), [start(100, 1)]);
        assert_eq!(told(|out| sub.call(0, 101, out)), [start(101, 3)]);
    }

    #[test]
    fn a_limit_that_falls_to_nothing_holds_calls_until_it_rises() {
        let mut sub = full(3);
        told(|out| (1..=3).for_each(|id| sub.limit(0, id, 0, out)));
        assert_eq!(told(|out| sub.call(0, 100, out)), []);
        told(|out| (0..2).for_each(|_| sub.finished(0, 2, out)));
        assert_eq!(sub.figures(), (3, 4, 1), "streams that are out stay out, and nothing new goes");
        assert_eq!(told(|out| sub.limit(0, 2, 1, out)), [start(100, 2)]);
        assert_eq!(told(|out| sub.call(0, 101, out)), [], "one stream it is");
    }

    #[test]
    fn failures_to_connect_share_one_backoff() {
        let mut sub = full(1);
        assert_eq!(told(|out| sub.call(0, 100, out)), [Do::Connect { connection: 2 }]);
        assert_eq!(told(|out| sub.failed(0, 2, 0.5, out)), [Do::WakeAt(100)], "it waits for a stream");
        assert_eq!(told(|out| sub.call(99, 101, out)), [], "no attempt during the pause");
        assert_eq!(told(|out| sub.tick(100, out)), [Do::Connect { connection: 3 }]);
        assert_eq!(told(|out| sub.failed(100, 3, 0.5, out)), [Do::WakeAt(300)], "twice the pause");
        sub.tick(300, &mut Vec::new());
        assert_eq!(told(|out| sub.failed(300, 4, 0.5, out)), [Do::WakeAt(650)], "the longest pause");
        sub.tick(650, &mut Vec::new());
        assert!(told(|out| assert!(sub.connected(650, 5, 1, out))).contains(&start(100, 5)));
        assert_eq!(told(|out| sub.failed(700, 6, 0.5, out)), [Do::WakeAt(800)], "one that came up ends it");
    }

    #[test]
    fn a_call_that_finds_no_connection_and_none_coming_fails_at_once() {
        let mut sub = Subchannel::new(SCALING);
        assert_eq!(told(|out| sub.call(0, 1, out)), [Do::Connect { connection: 1 }]);
        assert_eq!(told(|out| sub.call(0, 2, out)), [], "one is coming");
        let failed = [Do::Fail { ticket: 1 }, Do::Fail { ticket: 2 }];
        assert_eq!(told(|out| sub.failed(0, 1, 0.5, out)), failed);
        assert_eq!(told(|out| sub.call(50, 3, out)), [Do::Fail { ticket: 3 }], "within the pause");
        assert_eq!(told(|out| sub.call(100, 4, out)), [Do::Connect { connection: 2 }]);
    }

    #[test]
    fn a_connection_that_comes_up_after_its_host_was_retired_is_not_used() {
        let mut sub = full(1);
        sub.call(0, 100, &mut Vec::new());
        assert_eq!(sub.retire(), [1]);
        sub.leave(100);
        assert_eq!(told(|out| assert!(!sub.connected(0, 2, 9, out))), []);
        assert_eq!(told(|out| sub.finished(0, 1, out)), [], "its streams end elsewhere");
        assert_eq!(told(|out| sub.call(0, 101, out)), [Do::Connect { connection: 3 }]);
        assert_eq!(sub.figures(), (0, 0, 1));
    }

    #[test]
    fn a_lost_connection_lets_another_be_opened() {
        let mut sub = full(3);
        sub.call(0, 100, &mut Vec::new());
        assert_eq!(told(|out| sub.lost(0, 2, out)), [Do::Connect { connection: 4 }]);
        sub.leave(100);
        assert_eq!(told(|out| assert!(sub.connected(0, 4, 1, out))), []);
        assert_eq!(told(|out| sub.finished(0, 2, out)), [], "a stream of the lost one");
    }
}
