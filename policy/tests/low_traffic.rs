//! At a low call rate no call is in flight when a server is picked, so that recent latency alone decides. A
//! server that was slow once must not be excluded for good.

mod common;
use common::*;
use flaxhead_policy::*;

const SLOW: Micros = 400 * MS;
const FAST: Micros = 10 * MS;

/// Runs calls one after another, a hundred a second, at two servers. Returns the number of calls to each, and
/// the time until the first call to server 1.
fn run_single_calls(
    proxy: &mut Proxy,
    calls: usize,
    mut latency: impl FnMut(ServerId) -> Micros,
) -> ([usize; 2], Micros) {
    let (mut counts, started, mut first) = ([0, 0], proxy.now, Micros::MAX);
    for _ in 0..calls {
        let (call, actions) = proxy.call();
        let (_, server) = sent(&actions)[0];
        if server == ServerId(1) {
            first = first.min(proxy.now - started);
        }
        counts[server.0 as usize - 1] += 1;
        let elapsed = latency(server);
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
        proxy.now += (10 * MS).saturating_sub(elapsed);
    }
    (counts, first)
}

/// Creates a proxy with two servers, and runs calls until `times` attempts at server 1 have ended with
/// `outcome`; those at server 2 are served.
fn proxy_after(
    settings: Settings,
    entries: Vec<Entry>,
    outcome: Outcome,
    elapsed: Micros,
    times: usize,
) -> Proxy {
    let mut proxy = Proxy::new(settings, 2);
    proxy.update_list(ListKind::Full, entries);
    let mut remaining = times;
    while remaining > 0 {
        let (call, actions) = proxy.call();
        let mut sent_to = sent(&actions);
        while let Some((_, server)) = sent_to.pop() {
            let (ended_as, ended_after) =
                if server == ServerId(1) { (outcome, elapsed) } else { (Outcome::Served, FAST) };
            remaining = remaining.saturating_sub(usize::from(server == ServerId(1)));
            proxy.now += ended_after;
            let attempt = proxy
                .actions
                .iter()
                .filter(|a| matches!(a, Action::Send { call: c, .. } if *c == call))
                .count();
            sent_to = sent(&proxy.end_attempt(call, attempt as u32 - 1, ended_as, ended_after));
        }
        proxy.now += 10 * MS;
        proxy.handle_event(Event::Timer);
    }
    proxy
}

fn single_balancer() -> Settings {
    Settings { balancer_count: 1, ..settings(Idempotency::Idempotent) }
}

fn two_servers() -> Vec<Entry> {
    vec![ready(1), ready(2)]
}

#[test]
fn a_server_that_answered_slowly_once_is_tried_again_within_seconds() {
    for balancer_count in [1, 5, 1_000] {
        let settings = Settings { balancer_count, ..single_balancer() };
        let mut proxy = proxy_after(settings, two_servers(), Outcome::Served, SLOW, 1);
        let (counts, first) = run_single_calls(&mut proxy, 6_000, |_| FAST);
        assert!(first < 5_000_000, "{balancer_count} balancers: first after {first} us");
        assert!(counts.iter().all(|&n| n >= 1_500), "{balancer_count} balancers: {counts:?}");
    }
}

#[test]
fn after_failures_each_of_two_equal_servers_gets_at_least_a_quarter() {
    for outcome in
        [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::NoConnection, Outcome::Rejected]
    {
        let mut proxy = proxy_after(single_balancer(), two_servers(), outcome, FAST, 5);
        let (counts, _) = run_single_calls(&mut proxy, 60_000, |_| FAST);
        assert!(counts.iter().all(|&n| n >= 15_000), "{outcome:?}: {counts:?}");
    }
}

#[test]
fn with_uneven_latencies_each_of_two_equal_servers_gets_at_least_a_quarter() {
    for (seed, spread) in [(1, 2 * MS), (2, 20 * MS), (3, 200 * MS)] {
        let mut state: u64 = seed;
        let mut latency = |_| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            FAST + (state >> 33) % spread
        };
        let mut proxy = proxy_after(single_balancer(), two_servers(), Outcome::Served, SLOW, 1);
        let (counts, _) = run_single_calls(&mut proxy, 20_000, &mut latency);
        assert!(counts.iter().all(|&n| n >= 5_000), "spread {spread}: {counts:?}");
    }
}

#[test]
fn a_faster_server_gets_most_calls_and_a_far_one_gets_few() {
    let mut proxy = Proxy::new(single_balancer(), 2);
    let (counts, _) = run_single_calls(&mut proxy, 6_000, |s| if s == ServerId(1) { 200 * MS } else { FAST });
    assert!(counts[0] < 600, "a slow server must get few calls: {counts:?}");
    let zones = vec![Entry { zone: ZoneId(1), ..ready(1) }, Entry { zone: ZoneId(2), ..ready(2) }];
    let mut proxy = proxy_after(single_balancer(), zones, Outcome::Served, 60 * MS, 1);
    let (counts, _) = run_single_calls(&mut proxy, 18_000, |s| if s == ServerId(1) { 60 * MS } else { FAST });
    assert!((1..60).contains(&counts[0]), "network latency must not be forgotten in seconds: {counts:?}");
}
