//! Idle connections to one host, and which of them carries the next request.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Rest after which the most recently used connection is preferred, so that those that are not needed age.
const FULL_REST: Duration = Duration::from_secs(1);
/// For how much of a connection's rest a request waits rather than open another one, which costs its host more.
const MAX_REST_WAIT: Duration = Duration::from_millis(20);
/// Time that requests wait for connections of a host to rest, all together, before one of them opens another.
const MAX_TOTAL_WAIT: Duration = Duration::from_secs(1);
/// How many connections stay open to a host that none is reused to, to notice surplus bytes.
const LISTENING_CONNECTIONS: usize = 4;

/// A connection that is taken from the idle ones for a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Reused<C> {
    /// The connection.
    pub connection: C,
    /// How long it has been idle.
    pub idle_time: Duration,
    /// How long it has to rest before the request is sent.
    pub rest_left: Duration,
}

/// An idle connection.
#[derive(Debug)]
struct Idle<C> {
    since: Instant,
    connection: C,
}

/// Idle connections to one host.
#[derive(Debug)]
pub struct IdleConnections<C> {
    /// In the order in which their last responses ended.
    connections: VecDeque<Idle<C>>,
    /// How long requests have waited for connections to rest since one of them opened another.
    waited: Duration,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        IdleConnections { connections: VecDeque::new(), waited: Duration::ZERO }
    }
}

impl<C> IdleConnections<C> {
    /// Adds a connection whose response has just ended.
    pub fn put(&mut self, now: Instant, connection: C) {
        self.connections.push_back(Idle { since: now, connection });
    }

    /// Adds a connection that is not to be reused and only listens for a while.
    pub fn put_to_listen(&mut self, now: Instant, connection: C) {
        self.put(now, connection);
        while self.connections.len() > LISTENING_CONNECTIONS {
            self.connections.pop_front();
        }
    }

    /// Removes a connection whose idle time is `fit` and that has rested for `rest`, or will have within
    /// [`MAX_REST_WAIT`]: the most recently used one that has rested fully, otherwise the one that has rested longest.
    /// `None`: there is none, or the waits for connections have added up to [`MAX_TOTAL_WAIT`].
    pub fn take(
        &mut self,
        now: Instant,
        rest: Duration,
        fit: impl Fn(Duration) -> bool,
    ) -> Option<Reused<C>> {
        let time_since = |idle: &Idle<C>| now.saturating_duration_since(idle.since);
        let is_usable = |idle: &Idle<C>, rest: Duration| time_since(idle) >= rest && fit(time_since(idle));
        let fully_rested = self.connections.iter().rposition(|idle| is_usable(idle, rest.max(FULL_REST)));
        let soon_rested = rest.saturating_sub(MAX_REST_WAIT);
        let index =
            fully_rested.or_else(|| self.connections.iter().position(|idle| is_usable(idle, soon_rested)))?;
        let idle_time = time_since(&self.connections[index]);
        let rest_left = rest.saturating_sub(idle_time);
        self.waited += rest_left;
        if self.waited > MAX_TOTAL_WAIT {
            self.waited = Duration::ZERO;
            return None;
        }
        self.connections.remove(index).map(|taken| Reused {
            connection: taken.connection,
            idle_time,
            rest_left,
        })
    }

    /// Removes and returns the connection that has been idle longest.
    pub fn take_oldest(&mut self) -> Option<C> {
        self.connections.pop_front().map(|oldest| oldest.connection)
    }

    /// When the connection that has been idle longest became idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.connections.front().map(|oldest| oldest.since)
    }

    /// Closes connections that have been idle for `max_idle` or are no longer `usable`.
    pub fn retain(&mut self, now: Instant, max_idle: Duration, usable: impl Fn(&C) -> bool) {
        self.connections
            .retain(|idle| now.saturating_duration_since(idle.since) < max_idle && usable(&idle.connection));
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
}

#[cfg(test)]
mod tests;
