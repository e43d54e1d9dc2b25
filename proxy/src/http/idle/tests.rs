//! Unit tests of `idle`.

use super::*;

const REST: Duration = Duration::from_millis(20);
const MILLISECOND: Duration = Duration::from_millis(1);
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Connections 0, 1, 2, ... that became idle a millisecond after each other.
fn idle_since(start: Instant, count: u32) -> IdleConnections<u32> {
    let mut idle = IdleConnections::default();
    (0..count).for_each(|connection| idle.put(start + connection * MILLISECOND, connection));
    idle
}

fn take(idle: &mut IdleConnections<u32>, now: Instant) -> Option<u32> {
    idle.take(now, REST, |_| true).map(|reused| reused.connection)
}

/// Guards against requests that are sent while a surplus response is on its way, and against a new connection for each
/// request that follows another at once.
#[test]
fn a_request_waits_for_what_is_left_of_the_rest() {
    let start = Instant::now();
    let mut idle = idle_since(start, 2);
    let reused = |connection, idle_time| Reused { connection, idle_time, rest_left: REST - idle_time };
    let now = start + 3 * MILLISECOND;
    assert_eq!(idle.take(now, REST, |_| true), Some(reused(0, 3 * MILLISECOND)), "the shortest wait");
    assert_eq!(idle.take(start + MILLISECOND + REST, REST, |_| true), Some(reused(1, REST)));
    assert_eq!(idle.len(), 0);
}

#[test]
fn no_request_waits_for_longer_than_another_connection_is_worth() {
    let start = Instant::now();
    let mut idle = idle_since(start, 1);
    let rest = 2 * MAX_REST_WAIT;
    assert!(idle.take(start + MAX_REST_WAIT - MILLISECOND, rest, |_| true).is_none());
    assert_eq!(
        idle.take(start + MAX_REST_WAIT, rest, |_| true).map(|reused| reused.rest_left),
        Some(MAX_REST_WAIT)
    );
}

/// A busy host needs more connections, and one that is rarely needed costs its host more than the wait.
#[test]
fn another_connection_is_opened_once_the_waits_have_added_up() {
    let start = Instant::now();
    let mut idle = idle_since(start, 1);
    let mut takes = 0;
    while let Some(reused) = idle.take(start, REST, |_| true) {
        idle.put(start, reused.connection);
        takes += 1;
    }
    assert_eq!(takes, MAX_TOTAL_WAIT.as_millis() / REST.as_millis());
    assert!(idle.take(start, REST, |_| true).is_some(), "the count begins anew");
}

#[test]
fn the_connection_that_has_rested_longest_is_taken_while_none_has_rested_fully() {
    let start = Instant::now();
    let mut idle = idle_since(start, 4);
    let now = start + REST + MILLISECOND;
    assert_eq!((take(&mut idle, now), take(&mut idle, now)), (Some(0), Some(1)));
}

/// Connections that are not needed must age until they are closed.
#[test]
fn the_most_recently_used_of_the_fully_rested_connections_is_taken() {
    let start = Instant::now();
    let mut idle = idle_since(start, 4);
    assert_eq!(take(&mut idle, start + FULL_REST + 2 * MILLISECOND), Some(2));
    assert_eq!(idle.oldest_since(), Some(start));
}

#[test]
fn a_full_rest_is_never_shorter_than_the_rest_that_is_asked_for() {
    let start = Instant::now();
    let mut idle = idle_since(start, 2);
    let rest = 2 * FULL_REST;
    assert!(idle.take(start + FULL_REST, rest, |_| true).is_none());
    let reused = Reused { connection: 0, idle_time: rest, rest_left: Duration::ZERO };
    assert_eq!(idle.take(start + rest, rest, |_| true), Some(reused));
}

#[test]
fn a_connection_that_does_not_fit_stays() {
    let start = Instant::now();
    let mut idle = idle_since(start, 1);
    assert!(idle.take(start + REST, REST, |age| age < REST).is_none());
    assert_eq!(idle.len(), 1);
}

/// Connections that have gone stale must not keep a request from those that have not.
#[test]
fn a_connection_that_fits_is_taken_before_those_that_have_rested_longer() {
    let start = Instant::now();
    let mut idle = idle_since(start, 1);
    let later = start + FULL_REST;
    idle.put(later, 1);
    let now = later + REST;
    let fresh = Reused { connection: 1, idle_time: REST, rest_left: Duration::ZERO };
    assert_eq!(idle.take(now, REST, |age| age < FULL_REST), Some(fresh));
    assert_eq!(take(&mut idle, now), Some(0));
}

#[test]
fn connections_that_are_old_or_unusable_are_closed() {
    let start = Instant::now();
    let mut idle = idle_since(start, 3);
    idle.retain(start + MAX_IDLE, MAX_IDLE, |connection| *connection != 1);
    assert_eq!(idle.take_oldest(), Some(2));
    assert_eq!(idle.len(), 0);
}

/// Connections that only listen must not add up while each request opens its own.
#[test]
fn few_connections_are_kept_to_listen() {
    let start = Instant::now();
    let mut idle = IdleConnections::default();
    (0..20).for_each(|connection| idle.put_to_listen(start, connection));
    assert_eq!(idle.len(), LISTENING_CONNECTIONS);
    assert_eq!(idle.take_oldest(), Some(20 - LISTENING_CONNECTIONS), "the latest are kept");
}
