//! Idle connections to one host, and which of them carries the next request.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Rest after which the most recently used connection is preferred, so that those that are not needed age.
const FULL_REST: Duration = Duration::from_secs(1);
/// How many connections stay open to a host that none is reused to, to notice surplus bytes.
const LISTENING_CONNECTIONS: usize = 4;

/// A connection that is taken from the idle ones for a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Reused<C> {
    /// The connection.
    pub connection: C,
    /// How long it has been idle.
    pub idle_time: Duration,
}

/// An idle connection.
#[derive(Debug)]
struct Idle<C> {
    since: Instant,
    connection: C,
}

/// Idle connections to one host, in the order in which their last responses ended.
#[derive(Debug)]
pub struct IdleConnections<C>(VecDeque<Idle<C>>);

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        IdleConnections(VecDeque::new())
    }
}

impl<C> IdleConnections<C> {
    /// Adds a connection whose response has just ended.
    pub fn put(&mut self, now: Instant, connection: C) {
        self.0.push_back(Idle { since: now, connection });
    }

    /// Adds a connection that is not to be reused and only listens for a while.
    pub fn put_to_listen(&mut self, now: Instant, connection: C) {
        self.put(now, connection);
        while self.0.len() > LISTENING_CONNECTIONS {
            self.0.pop_front();
        }
    }

    /// Removes a connection that has rested for at least `rest` and whose idle time is `fit`: the most recently used one
    /// that has rested fully, otherwise the one that has rested longest.
    pub fn take(
        &mut self,
        now: Instant,
        rest: Duration,
        fit: impl Fn(Duration) -> bool,
    ) -> Option<Reused<C>> {
        let time_since = |idle: &Idle<C>| now.saturating_duration_since(idle.since);
        let is_usable = |idle: &Idle<C>, rest: Duration| time_since(idle) >= rest && fit(time_since(idle));
        let fully_rested = self.0.iter().rposition(|idle| is_usable(idle, rest.max(FULL_REST)));
        let index = fully_rested.or_else(|| self.0.iter().position(|idle| is_usable(idle, rest)))?;
        let idle_time = time_since(&self.0[index]);
        self.0.remove(index).map(|taken| Reused { connection: taken.connection, idle_time })
    }

    /// Removes and returns the connection that has been idle longest.
    pub fn take_oldest(&mut self) -> Option<C> {
        self.0.pop_front().map(|oldest| oldest.connection)
    }

    /// When the connection that has been idle longest became idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.0.front().map(|oldest| oldest.since)
    }

    /// Closes connections that have been idle for `max_idle` or are no longer `usable`.
    pub fn retain(&mut self, now: Instant, max_idle: Duration, usable: impl Fn(&C) -> bool) {
        self.0
            .retain(|idle| now.saturating_duration_since(idle.since) < max_idle && usable(&idle.connection));
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}

#[cfg(test)]
mod tests;
