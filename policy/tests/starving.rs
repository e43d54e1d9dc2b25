//! A proxy that carries little has nothing in flight when it picks: recent latency alone then decides, and what
//! it remembers of a server must not keep that server from ever being tried again.

mod common;
use common::*;
use flaxhead_policy::*;

const SLOW: Micros = 400 * MS;
const FAST: Micros = 10 * MS;

/// Single calls, a hundred a second, to two servers that are both well: how many went to each, and after how
/// long the first went to server 1.
fn lone_calls(
    proxy: &mut Proxy,
    calls: usize,
    mut takes: impl FnMut(ServerId) -> Micros,
) -> ([usize; 2], Micros) {
    let (mut count, began, mut first) = ([0, 0], proxy.now, Micros::MAX);
    for _ in 0..calls {
        let (call, actions) = proxy.call();
        let (_, server) = sent(&actions)[0];
        if server == ServerId(1) {
            first = first.min(proxy.now - began);
        }
        count[server.0 as usize - 1] += 1;
        let elapsed = takes(server);
        proxy.now += elapsed;
        proxy.end(call, 0, Outcome::Served, elapsed);
        proxy.now += (10 * MS).saturating_sub(elapsed);
    }
    (count, first)
}

/// A proxy of its own fleet, two servers, where the next call to server 1 has ended so, `times` over.
fn after(settings: Settings, entries: Vec<Entry>, outcome: Outcome, elapsed: Micros, times: usize) -> Proxy {
    let mut proxy = Proxy::new(settings, 2);
    proxy.list(ListKind::Full, entries);
    let mut left = times;
    while left > 0 {
        let (call, actions) = proxy.call();
        let mut at = sent(&actions);
        while let Some((_, server)) = at.pop() {
            let (how, took) =
                if server == ServerId(1) { (outcome, elapsed) } else { (Outcome::Served, FAST) };
            left = left.saturating_sub(usize::from(server == ServerId(1)));
            proxy.now += took;
            let attempt = proxy
                .actions
                .iter()
                .filter(|a| matches!(a, Action::Send { call: c, .. } if *c == call))
                .count();
            at = sent(&proxy.end(call, attempt as u32 - 1, how, took));
        }
        proxy.now += 10 * MS;
        proxy.event(Event::Timer);
    }
    proxy
}

fn alone() -> Settings {
    Settings { balancer_count: 1, ..settings(Idempotency::Idempotent) }
}

fn pair() -> Vec<Entry> {
    vec![ready(1), ready(2)]
}

#[test]
fn a_server_that_answered_slowly_once_is_tried_again_within_seconds() {
    for balancer_count in [1, 5, 1_000] {
        let settings = Settings { balancer_count, ..alone() };
        let mut proxy = after(settings, pair(), Outcome::Served, SLOW, 1);
        let (count, first) = lone_calls(&mut proxy, 6_000, |_| FAST);
        assert!(first < 5_000_000, "{balancer_count} balancers: first after {first} us");
        assert!(count.iter().all(|&n| n >= 1_500), "{balancer_count} balancers: {count:?}");
    }
}

#[test]
fn of_two_equal_servers_the_lesser_gets_a_quarter_after_any_trouble() {
    for outcome in
        [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::NoConnection, Outcome::Rejected]
    {
        let mut proxy = after(alone(), pair(), outcome, FAST, 5);
        let (count, _) = lone_calls(&mut proxy, 60_000, |_| FAST);
        assert!(count.iter().all(|&n| n >= 15_000), "{outcome:?}: {count:?}");
    }
}

#[test]
fn of_two_equal_servers_with_uneven_answers_the_lesser_gets_a_quarter() {
    for (seed, spread) in [(1, 2 * MS), (2, 20 * MS), (3, 200 * MS)] {
        let mut state: u64 = seed;
        let mut takes = |_| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            FAST + (state >> 33) % spread
        };
        let mut proxy = after(alone(), pair(), Outcome::Served, SLOW, 1);
        let (count, _) = lone_calls(&mut proxy, 20_000, &mut takes);
        assert!(count.iter().all(|&n| n >= 5_000), "spread {spread}: {count:?}");
    }
}

#[test]
fn a_faster_server_still_gets_most_and_a_far_one_is_left_alone() {
    let mut proxy = Proxy::new(alone(), 2);
    let (count, _) = lone_calls(&mut proxy, 6_000, |s| if s == ServerId(1) { 200 * MS } else { FAST });
    assert!(count[0] < 600, "the slow one of a zone is tried now and then: {count:?}");
    let zones = vec![Entry { zone: ZoneId(1), ..ready(1) }, Entry { zone: ZoneId(2), ..ready(2) }];
    let mut proxy = after(alone(), zones, Outcome::Served, 60 * MS, 1);
    let (count, _) = lone_calls(&mut proxy, 18_000, |s| if s == ServerId(1) { 60 * MS } else { FAST });
    assert!((1..60).contains(&count[0]), "the way there does not age in seconds: {count:?}");
}
