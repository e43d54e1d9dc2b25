//! Unit tests of `subchannel`.

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
