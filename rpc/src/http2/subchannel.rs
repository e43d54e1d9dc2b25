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
mod tests;
