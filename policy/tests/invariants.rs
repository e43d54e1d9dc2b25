//! Invariants of the balancer, and regressions: each test guards against one error in its decisions.

mod common;
use common::*;
use flaxhead_policy::*;

const KEYED_BY_CELL: Idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 400 * MS };

fn two_cells() -> Vec<Entry> {
    (1..=4).map(|i| Entry { cell: CellId(i % 2), zone: ZoneId(i % 2), ..ready(i) }).collect()
}

// No call is lost.

#[test]
fn queued_calls_end_before_the_client_deadline() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent, KEYED_BY_CELL] {
        let mut proxy = Proxy::new(settings(idempotency), 0);
        let (call, mut actions) = proxy.call();
        assert!(sent(&actions).is_empty());
        while !rejected(&actions, call) {
            let after =
                actions.iter().find_map(|a| if let Action::Wake { after } = a { Some(*after) } else { None });
            actions = proxy.advance(after.expect("a timer for the queued call"));
        }
        assert!(proxy.now < 1_000_000 + 1_200 * MS);
    }
}

#[test]
fn a_timeout_at_the_client_deadline_ends_the_call() {
    for (idempotency, may_reject) in
        [(Idempotency::Idempotent, true), (Idempotency::NonIdempotent, false), (KEYED_BY_CELL, false)]
    {
        let mut proxy = Proxy::new(settings(idempotency), 1);
        let (call, _) = proxy.call();
        proxy.now += 1_200 * MS;
        let actions = proxy.end_attempt(call, 0, Outcome::TimedOut, 1_200 * MS);
        assert_eq!(rejected(&actions, call), may_reject);
        assert_eq!(failed(&actions, call), !may_reject);
        assert!(sent(&proxy.call().1).iter().all(|s| s.0 != call));
    }
}

// No call runs twice unless that is safe.

const OUTCOMES: [Outcome; 8] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Unknown,
];

#[test]
fn calls_are_retried_and_rejected_only_where_repeats_are_safe() {
    let keyed = |scope| Idempotency::Keyed { scope, window: 400 * MS };
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        keyed(DedupScope::All),
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
    ];
    for idempotency in kinds {
        for first in OUTCOMES {
            for second in OUTCOMES {
                let mut proxy = Proxy::new(settings(idempotency), 0);
                proxy.update_list(ListKind::Full, two_cells());
                let (call, actions) = proxy.call();
                let first_server = sent(&actions)[0].1;
                proxy.now += MS;
                let actions = proxy.end_attempt(call, 0, first, MS);
                let second_attempt = sent(&actions);
                let never_ran = first.never_ran();
                if idempotency == Idempotency::NonIdempotent && !never_ran {
                    assert!(second_attempt.is_empty() && failed(&actions, call), "{first:?}");
                    continue;
                }
                assert_eq!(second_attempt.len(), 1, "{idempotency:?} after {first:?}");
                let bound = matches!(
                    idempotency,
                    Idempotency::Keyed { scope: DedupScope::Zone | DedupScope::Cell, .. }
                );
                if bound && !never_ran {
                    assert_eq!(
                        second_attempt[0].1 .0 % 2,
                        first_server.0 % 2,
                        "retried outside its deduplication scope"
                    );
                }
                // No time is left for a third attempt: the call is rejected if the client may safely send it
                // again, and fails otherwise.
                proxy.now += 450 * MS;
                let actions = proxy.end_attempt(call, 1, second, MS);
                let is_repeatable = match idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
                    _ => never_ran && second.never_ran(),
                };
                assert!(sent(&actions).is_empty(), "too late for a third attempt");
                assert_eq!(rejected(&actions, call), is_repeatable, "{idempotency:?} {first:?} {second:?}");
                assert_eq!(failed(&actions, call), !is_repeatable);
            }
        }
    }
}

#[test]
fn a_keyed_call_is_not_retried_after_its_deduplication_window() {
    let mut proxy = Proxy::new(settings(Idempotency::Keyed { scope: DedupScope::Cell, window: 100 * MS }), 4);
    let (call, _) = proxy.call();
    proxy.now += 100 * MS;
    let actions = proxy.end_attempt(call, 0, Outcome::Error, 100 * MS);
    assert!(sent(&actions).is_empty() && failed(&actions, call));
}

#[test]
fn hedged_requests_are_sent_only_where_allowed_and_the_slower_attempt_is_cancelled() {
    for (idempotency, hedging, hedge_count) in [
        (Idempotency::Idempotent, true, 1),
        (Idempotency::Idempotent, false, 0),
        (Idempotency::NonIdempotent, true, 0),
    ] {
        let mut settings = settings(idempotency);
        settings.limits.hedging = hedging;
        let mut proxy = Proxy::new(settings, 3);
        for _ in 0..20 {
            proxy.serve(40 * MS);
        }
        let (call, actions) = proxy.call();
        let first_server = sent(&actions)[0].1;
        let actions = proxy.advance(430 * MS);
        let hedges = sent(&actions);
        assert_eq!(hedges.len(), hedge_count);
        if hedge_count == 1 {
            assert_ne!(hedges[0].1, first_server);
            let actions = proxy.end_attempt(call, 1, Outcome::Served, 30 * MS);
            assert!(actions.contains(&Action::Cancel { call, attempt: 0 }));
        }
    }
}

#[test]
fn a_call_whose_response_has_begun_is_neither_hedged_nor_retried() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.limits.hedging = true;
    let mut proxy = Proxy::new(settings, 3);
    let (call, _) = proxy.call();
    proxy.handle_event(Event::Streaming { call, attempt: 0 });
    assert!(sent(&proxy.advance(450 * MS)).is_empty(), "a hedge was sent");
    let actions = proxy.end_attempt(call, 0, Outcome::Reset, 450 * MS);
    assert!(sent(&actions).is_empty());
}

// Draining and removed servers get no calls.

#[test]
fn no_call_is_sent_to_a_draining_or_removed_server() {
    for kind in [ListKind::Delta, ListKind::Full] {
        for state in [State::Draining, State::Removed] {
            let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
            proxy.update_list(ListKind::Cached, vec![ready(1), ready(2)]);
            proxy.update_list(kind, vec![Entry { state, ..ready(1) }, ready(2)]);
            for _ in 0..50 {
                assert_eq!(proxy.serve(MS), Some(ServerId(2)));
            }
        }
    }
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    proxy.update_list(ListKind::Full, vec![ready(2)]);
    for _ in 0..50 {
        assert_eq!(proxy.serve(MS), Some(ServerId(2)), "servers missing from a full list are removed");
    }
}

// Warming servers are not overloaded.

/// Runs 600 calls in six seconds at servers of which one has just started, or restarted, and ends its
/// attempts with `outcome`; returns the number of these attempts.
fn attempts_at_warming_server(outcome: Outcome, restart: bool) -> usize {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 3);
    for _ in 0..200 {
        proxy.serve(10 * MS);
    }
    let id = if restart { 1 } else { 4 };
    proxy.update_list(ListKind::Delta, vec![Entry { started_at: proxy.now, ..ready(id) }]);
    let mut count = 0;
    for _ in 0..600 {
        proxy.run_call(10 * MS, |server| {
            let to_warming = server == ServerId(id);
            count += usize::from(to_warming);
            if to_warming {
                outcome
            } else {
                Outcome::Served
            }
        });
    }
    count
}

#[test]
fn a_warming_server_gets_its_share_whatever_its_answers() {
    for outcome in [Outcome::Served, Outcome::Rejected, Outcome::Error, Outcome::NoConnection] {
        for restart in [false, true] {
            let count = attempts_at_warming_server(outcome, restart);
            // A warming server's capacity grows here from a tenth to a third of a warm one's, beside two warm
            // servers after its restart or three if it is new. `share` is its share of the 600 calls.
            let share = if restart { 62 } else { 43 };
            assert!((1..=share * 7 / 4).contains(&count), "{outcome:?} {restart}: {count}");
        }
    }
}

// Regressions.

#[test]
fn a_server_with_fast_errors_is_ejected() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 4);
    let mut errors = 0;
    for _ in 0..200 {
        let (call, actions) = proxy.call();
        let is_failing = sent(&actions)[0].1 == ServerId(1);
        errors += usize::from(is_failing);
        proxy.now += 2 * MS;
        proxy.end_attempt(call, 0, if is_failing { Outcome::Error } else { Outcome::Served }, 2 * MS);
    }
    assert!(errors <= 4, "{errors}");
}

#[test]
fn one_served_call_does_not_reinstate_a_server_that_mostly_fails() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 4);
    let mut to_failing = 0;
    for _ in 0..400 {
        proxy.run_call(5 * MS, |server| {
            let is_failing = server == ServerId(1);
            to_failing += usize::from(is_failing);
            if is_failing && to_failing % 3 != 0 {
                Outcome::Error
            } else {
                Outcome::Served
            }
        });
    }
    assert!(to_failing <= 40, "a healthy server would get 100 or more: {to_failing}");
}

#[test]
fn at_most_half_of_the_fleet_is_ejected() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::NoConnection] {
        let limits = Limits { max_attempts: 1, ..Settings::default().limits };
        let mut proxy = Proxy::new(Settings { limits, ..settings(Idempotency::NonIdempotent) }, 6);
        for _ in 0..100 {
            let (call, actions) = proxy.call();
            assert_eq!(sent(&actions).len(), 1, "half of the fleet must still get calls after {outcome:?}");
            proxy.now += 2 * MS;
            proxy.end_attempt(call, 0, outcome, 2 * MS);
        }
    }
}

#[test]
fn the_time_in_the_queue_is_bounded() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    let mut rejected_early = 0;
    for _ in 0..60 {
        proxy.now += 10 * MS;
        let (call, actions) = proxy.call();
        rejected_early += usize::from(rejected(&actions, call));
    }
    assert!(rejected_early > 20, "calls that would wait too long are rejected on arrival: {rejected_early}");
}

#[test]
fn a_failed_subscription_is_renewed_after_a_delay() {
    let mut proxy = Proxy::new(Settings { subscribe: true, ..settings(Idempotency::Idempotent) }, 2);
    proxy.advance(7 * 30 * MS);
    assert!(proxy.actions.contains(&Action::Subscribe), "subscribed within the slots of seven balancers");
    let actions = proxy.update_list(ListKind::Failed, vec![]);
    assert!(!actions.contains(&Action::Subscribe), "subscribed again without a delay");
    let after = actions.iter().find_map(|a| if let Action::Wake { after } = a { Some(*after) } else { None });
    assert!(proxy.advance(after.expect("a timer")).contains(&Action::Subscribe));
    assert_eq!(proxy.serve(MS).map(|s| s.0 <= 2), Some(true), "the old list stays in use");
    let mut pushed = Proxy::new(settings(Idempotency::Idempotent), 1);
    pushed.update_list(ListKind::Failed, vec![]);
    pushed.advance(60_000 * MS);
    assert!(!pushed.actions.contains(&Action::Subscribe), "a pushed list needs no subscription");
}

#[test]
fn a_server_that_rejects_calls_is_avoided_for_a_mean_latency() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    for _ in 0..30 {
        proxy.serve(40 * MS);
    }
    let mut to_rejecting = 0;
    for _ in 0..20 {
        // The 20 calls of 2 ms take 40 ms in all, which is one mean latency.
        proxy.run_call(2 * MS, |server| {
            let rejects = server == ServerId(1);
            to_rejecting += usize::from(rejects);
            if rejects {
                Outcome::Rejected
            } else {
                Outcome::Served
            }
        });
    }
    assert!(to_rejecting <= 2, "{to_rejecting}");
}

/// Guards against slow answers that reduce the budgets of a busy proxy, one of a hundred, until calls queue.
#[test]
fn a_busy_proxy_among_a_hundred_recovers_at_once_after_slow_answers() {
    let mut proxy = Proxy::new(Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) }, 60);
    let run_rounds = |proxy: &mut Proxy, rounds: u32, elapsed: Micros, outcome: Outcome| {
        let mut sent_at_once = 0;
        for _ in 0..rounds {
            let calls: Vec<_> = (0..10).map(|_| proxy.call()).collect();
            proxy.now += elapsed;
            for (call, actions) in calls {
                sent_at_once += usize::from(!sent(&actions).is_empty());
                proxy.end_attempt(call, 0, outcome, elapsed);
            }
        }
        sent_at_once
    };
    run_rounds(&mut proxy, 20, 50 * MS, Outcome::Served);
    run_rounds(&mut proxy, 3, 1_200 * MS, Outcome::TimedOut);
    assert_eq!(
        run_rounds(&mut proxy, 5, 50 * MS, Outcome::Served),
        50,
        "calls were queued although fifty servers are idle"
    );
}

#[test]
fn timers_do_not_multiply() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 0);
    (0..50).for_each(|_| drop(proxy.call()));
    let mut due = std::collections::BinaryHeap::new();
    let (mut timers, mut seen) = (0, 0);
    loop {
        for action in &proxy.actions[seen..] {
            if let Action::Wake { after } = action {
                due.push(std::cmp::Reverse(proxy.now + after));
            }
        }
        seen = proxy.actions.len();
        let Some(std::cmp::Reverse(at)) = due.pop() else { break };
        proxy.now = proxy.now.max(at);
        proxy.handle_event(Event::Timer);
        timers += 1;
        assert!(timers < 1_000, "too many timers for 50 calls");
    }
}

#[test]
fn an_overloaded_server_gets_no_trials() {
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 1);
    for _ in 0..10 {
        proxy.serve(40 * MS);
    }
    for _ in 0..30 {
        proxy.serve(400 * MS);
        proxy.advance(600 * MS);
    }
    assert_eq!(sent(&proxy.call().1).len(), 1);
    assert!((0..5).all(|_| sent(&proxy.call().1).is_empty()), "a trial was sent");
}

#[test]
fn network_latency_does_not_count_as_overload() {
    let class =
        Class { objective: 150 * MS, deadline: 500 * MS, ..settings(Idempotency::NonIdempotent).classes[0] };
    let mut proxy = Proxy::new(
        Settings { balancer_count: 2, classes: vec![class], ..settings(Idempotency::NonIdempotent) },
        0,
    );
    let in_own_zone = |i| Entry { zone: ZoneId(i), ..ready(i) };
    proxy.update_list(ListKind::Full, vec![in_own_zone(1)]);
    // Answers of the near server alone set the class's unloaded latency: 2 ms.
    assert!((0..100).all(|_| proxy.serve(2 * MS) == Some(ServerId(1))));
    proxy.update_list(ListKind::Full, vec![in_own_zone(1), in_own_zone(2)]);
    for _ in 0..60 {
        // Two calls in flight, so that one goes to the far server.
        let mut out: Vec<_> = (0..2).flat_map(|_| sent(&proxy.call().1)).collect();
        assert_eq!(out.len(), 2, "both servers have room");
        out.sort_by_key(|s| s.1);
        for (elapsed, step, (call, _)) in [(2 * MS, 2 * MS, out[0]), (60 * MS, 58 * MS, out[1])] {
            proxy.now += step;
            proxy.end_attempt(call, 0, Outcome::Served, elapsed);
        }
    }
    let burst: Vec<_> = (0..8).flat_map(|_| sent(&proxy.call().1)).collect();
    let far = burst.iter().filter(|s| s.1 == ServerId(2)).count();
    assert!(far >= 3, "an idle far server keeps its initial budget: {burst:?}");
}

#[test]
fn a_call_with_little_time_left_prefers_a_near_server_with_room() {
    let class =
        Class { objective: 150 * MS, deadline: 500 * MS, ..settings(Idempotency::NonIdempotent).classes[0] };
    let mut proxy = Proxy::new(
        Settings { balancer_count: 2, classes: vec![class], ..settings(Idempotency::NonIdempotent) },
        0,
    );
    proxy.update_list(ListKind::Full, (1..=2).map(|i| Entry { zone: ZoneId(i), ..ready(i) }).collect());
    for _ in 0..20 {
        let (_, actions) = proxy.call();
        let (call, server) = sent(&actions)[0];
        let network = if server == ServerId(2) { 55 * MS } else { 2 * MS };
        proxy.now += network;
        proxy.end_attempt(call, 0, Outcome::Served, network);
    }
    let mut request = |number: u64, time_left: Micros| {
        let call = CallId(1_000 + number);
        let (class, tenant) = (ClassId(0), None);
        sent(&proxy.handle_event(Event::Request { call, class, tenant, time_left, resent: false }))
    };
    // Three calls fit the near server's budget; by calls in flight alone, some would go to the far server.
    let hurried: Vec<_> = (0..3).flat_map(|number| request(number, 60 * MS)).map(|s| s.1).collect();
    assert_eq!(hurried, [ServerId(1); 3], "the far server cannot answer in time");
    assert_eq!(
        request(3, 400 * MS)[0].1,
        ServerId(2),
        "a call with enough time goes to the less loaded server"
    );
    let last = request(4, 60 * MS);
    assert!(!last.is_empty(), "without room at the near server the call is sent to the far one");
}

#[test]
fn timeouts_at_a_server_that_answers_other_calls_do_not_eject_it() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::NonIdempotent) }, 3);
    let mut log = Vec::new();
    for _ in 0..30 {
        // At each server the first of the calls in flight is served and the others time out.
        let calls: Vec<(CallId, Vec<Action>)> = (0..9).map(|_| proxy.call()).collect();
        let at = |i: usize| sent(&calls[i].1).first().map(|s| s.1);
        let first = |i: usize| (0..i).all(|j| at(j) != at(i));
        proxy.now += 100 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && first(i)) {
            proxy.end_attempt(calls[i].0, 0, Outcome::Served, 100 * MS);
        }
        proxy.now += 400 * MS;
        for i in (0..9).filter(|&i| at(i).is_some() && !first(i)) {
            log.extend(proxy.end_attempt(calls[i].0, 0, Outcome::TimedOut, 500 * MS));
        }
        proxy.advance(600 * MS);
    }
    let failures = log.iter().filter(|a| matches!(a, Action::Fail { .. })).count();
    assert!(failures > 20, "too few timeouts to judge: {failures}");
    let ejected =
        log.iter().filter(|a| matches!(a, Action::Log { text } if text.contains("ejected"))).count();
    assert_eq!(ejected, 0, "a slow server was ejected");
}

/// Has calls served after 40 ms with the load report `load`; returns whether a call beyond the budget is then
/// sent as a trial.
fn trial_follows(load: LoadReport) -> bool {
    let mut proxy = Proxy::new(Settings { balancer_count: 12, ..settings(Idempotency::NonIdempotent) }, 1);
    for _ in 0..40 {
        let (call, _) = proxy.call();
        proxy.now += 40 * MS;
        let (outcome, elapsed) = (Outcome::Served, 40 * MS);
        proxy.handle_event(Event::Outcome { call, attempt: 0, outcome, elapsed, complete: true, load });
        proxy.advance(100 * MS);
    }
    assert_eq!(sent(&proxy.call().1).len(), 1, "the call within the budget");
    sent(&proxy.call().1).len() == 1
}

#[test]
fn load_reports_mark_a_server_as_overloaded_before_its_answers_slow_down() {
    let cpu_busy = |b| LoadReport { cpu_utilization: Some(b), ..LoadReport::default() };
    let queued =
        |w| LoadReport { active_requests: Some(10.0), queued_requests: Some(w), ..LoadReport::default() };
    assert!(
        trial_follows(LoadReport::default()) && trial_follows(cpu_busy(0.5)) && trial_follows(queued(1.0))
    );
    assert!(!trial_follows(cpu_busy(1.0)), "all cores busy");
    assert!(!trial_follows(queued(5.5)), "more requests queued than running");
}

/// Guards against a new server that a thousand balancers with few calls each overload together.
#[test]
fn a_thousand_balancers_stay_within_the_share_of_a_warming_server() {
    let (mut to_warming, mut all) = (0, 0);
    for balancer_index in 0..1_000 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 1_000, balancer_index, ..settings(Idempotency::Idempotent) },
            20,
        );
        (0..3).for_each(|_| drop((proxy.advance(500 * MS), proxy.serve(40 * MS))));
        let started_at = proxy.now;
        proxy.update_list(ListKind::Delta, vec![Entry { started_at, ..ready(21) }]);
        for _ in 0..4 {
            proxy.advance(500 * MS);
            all += 1;
            to_warming += usize::from(proxy.serve(40 * MS) == Some(ServerId(21)));
        }
    }
    // Within 2 s of its start the new server has at most a fifth of the capacity of each of 20 warm ones.
    assert!(to_warming * 20 <= all / 5, "{to_warming} of {all}");
}

/// Each balancer serves about thirty calls while the server warms up, fewer than earn one send credit.
#[test]
fn the_share_of_a_warming_server_grows_with_many_balancers() {
    let (mut to_warming, mut all) = (0, 0);
    for balancer_index in 0..300 {
        let settings = Settings { balancer_count: 300, balancer_index, ..settings(Idempotency::Idempotent) };
        let mut proxy = Proxy::seeded(balancer_index.into(), settings, 20);
        let started_at = proxy.now;
        proxy.update_list(ListKind::Delta, vec![Entry { started_at, ..ready(21) }]);
        for round in 0..36 {
            proxy.advance(460 * MS);
            let server = proxy.serve(40 * MS);
            if round >= 24 {
                all += 1;
                to_warming += usize::from(server == Some(ServerId(21)));
            }
        }
    }
    // The server's mean capacity in the last third is 0.037 of the fleet's. The limit is 2.5 times that.
    assert!((all * 37 / 1_000..=all * 93 / 1_000).contains(&to_warming), "{to_warming} of {all}");
}

/// All balancers start with the same list of 20 servers, of which two are new, and each has one call.
#[test]
fn balancers_that_start_together_spread_their_first_calls() {
    let mut first_calls = [0; 20];
    for balancer_index in 0..1_000 {
        let settings =
            Settings { balancer_count: 1_000, balancer_index, ..settings(Idempotency::Idempotent) };
        let mut proxy = Proxy::seeded(balancer_index.into(), settings, 0);
        let entry = |i| Entry { started_at: if i <= 2 { proxy.now } else { 0 }, ..ready(i) };
        proxy.update_list(ListKind::Cached, (1..=20).map(entry).collect());
        let server = proxy.serve(40 * MS).expect("sent");
        first_calls[server.0 as usize - 1] += 1;
    }
    // Each new server has a tenth of a warm one's capacity: one call in 182. The limit is 2.5 times that.
    assert!(first_calls[0] <= 14 && first_calls[1] <= 14, "{first_calls:?}");
}

#[test]
fn failures_of_an_earlier_process_do_not_count_against_a_restarted_server() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::Idempotent) }, 1);
    let calls: Vec<CallId> = (0..6).map(|_| proxy.call().0).collect();
    let started_at = proxy.now;
    proxy.update_list(ListKind::Delta, vec![Entry { started_at, ..ready(1) }]);
    for call in calls {
        proxy.end_attempt(call, 0, Outcome::Reset, 5 * MS);
    }
    let ejected = |a: &Action| matches!(a, Action::Log { text } if text.contains("ejected"));
    assert!(!proxy.actions.iter().any(ejected), "failures of the old process ejected the new one");
}

#[test]
fn an_unreachable_zone_is_skipped_as_a_whole() {
    let in_own_zone = |i| Entry { zone: ZoneId(i % 2), ..ready(i) };
    let mut proxy = Proxy::new(Settings { balancer_count: 1_000, ..settings(Idempotency::Idempotent) }, 0);
    proxy.update_list(ListKind::Full, (1..=40).map(in_own_zone).collect());
    let mut attempts_at_zone = 0;
    for _ in 0..40 {
        proxy.now += 100 * MS;
        let (call, actions) = proxy.call();
        let mut at = sent(&actions).first().map(|s| s.1);
        for attempt in 0..5 {
            let Some(server) = at else { break };
            let unreachable = server.0 % 2 == 1;
            attempts_at_zone += u32::from(unreachable);
            proxy.now += 20 * MS;
            let end = if unreachable { Outcome::NoConnection } else { Outcome::Served };
            at = sent(&proxy.end_attempt(call, attempt, end, 20 * MS))
                .iter()
                .find(|s| s.0 == call)
                .map(|s| s.1);
        }
    }
    assert!(attempts_at_zone < 16, "too many attempts at an unreachable zone: {attempts_at_zone}");
}

#[test]
fn a_failing_server_is_tried_by_fewer_calls_at_a_low_call_rate() {
    // At one call a second, a backoff by time alone ends before most calls and would hardly spare the server.
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 1_000, limits, ..settings(Idempotency::Idempotent) }, 8);
    let mut attempts = 0;
    for _ in 0..200 {
        proxy.now += 1_000 * MS;
        let (call, actions) = proxy.call();
        let Some(&(_, server)) = sent(&actions).first() else { continue };
        let is_failing = server == ServerId(1);
        attempts += u32::from(is_failing);
        proxy.now += 20 * MS;
        proxy.end_attempt(call, 0, if is_failing { Outcome::Rejected } else { Outcome::Served }, 20 * MS);
    }
    assert!(attempts < 25, "a healthy server would get an eighth of 200: {attempts}");
}

/// The fleet has 24 warm servers and 36 new ones.
#[test]
fn warming_servers_that_are_most_of_the_fleet_get_their_share() {
    let safety = SafetyLimits {
        slow_start_ratio: 0.25,
        slow_start_window: 1_000_000 * MS,
        ..Settings::default().safety
    };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 100, safety, ..settings(Idempotency::Idempotent) }, 24);
    (0..50).for_each(|_| drop((proxy.advance(20 * MS), proxy.serve(40 * MS))));
    let started_at = proxy.now;
    proxy.update_list(ListKind::Delta, (25..=60).map(|i| Entry { started_at, ..ready(i) }).collect());
    let to_warming = (0..2_000).filter(|_| {
        proxy.advance(20 * MS);
        proxy.serve(40 * MS).is_some_and(|s| s.0 > 24)
    });
    // The 36 new servers have a quarter of their capacity each: 9 of the fleet's 33.
    let to_warming = to_warming.count();
    assert!((2_000 * 9 / 33..=2_000 * 18 / 33).contains(&to_warming), "{to_warming} of 2000");
}

/// Guards against load by calls that cannot be answered in time.
#[test]
fn a_call_with_less_time_left_than_a_mean_latency_is_rejected_at_once() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut proxy = Proxy::new(settings(idempotency), 5);
        for _ in 0..200 {
            proxy.serve(40 * MS);
        }
        let mut request = |call, time_left| {
            let (call, class) = (CallId(call), ClassId(0));
            (call, proxy.handle_event(Event::Request { call, class, tenant: None, time_left, resent: true }))
        };
        let (late, actions) = request(1_000, 20 * MS);
        assert!(rejected(&actions, late) && sent(&actions).is_empty(), "{actions:?}");
        let has_delay = |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0);
        assert!(actions.iter().any(has_delay), "the rejection has a retry delay: {actions:?}");
        let (_, actions) = request(1_001, 100 * MS);
        assert_eq!(sent(&actions).len(), 1, "the call has time for an answer: {actions:?}");
    }
}

/// Guards against a mean latency that covers only calls answered in time.
#[test]
fn timeouts_at_rarely_used_servers_raise_the_mean_latency() {
    let mut proxy = Proxy::new(Settings { balancer_count: 300, ..settings(Idempotency::NonIdempotent) }, 5);
    for _ in 0..20 {
        proxy.serve(40 * MS);
    }
    let request = |proxy: &mut Proxy, call, time_left| {
        let (call, class) = (CallId(call), ClassId(0));
        (call, proxy.handle_event(Event::Request { call, class, tenant: None, time_left, resent: true }))
    };
    // All calls time out, half of them after 1 ms: timeouts shorter than the mean must not lower it.
    for call in 1_000..1_080 {
        let (call, actions) = request(&mut proxy, call, 120 * MS);
        let spent = if call.0 % 2 == 0 { 120 * MS } else { MS };
        if !sent(&actions).is_empty() {
            proxy.now += spent;
            proxy.end_attempt(call, 0, Outcome::TimedOut, spent);
            proxy.handle_event(Event::ClientCancelled { call });
        }
        proxy.advance(200 * MS);
    }
    let (late, actions) = request(&mut proxy, 2_000, 60 * MS);
    assert!(rejected(&actions, late), "the mean must include timeouts: {actions:?}");
}

/// Guards against rejection by an initial or outdated mean latency: an application whose calls all have
/// little time would never be served.
#[test]
fn a_call_with_little_time_left_is_sent_without_a_recent_mean_latency() {
    for (answers, pause) in [(0, 0), (200, 5_000 * MS)] {
        let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 5);
        for _ in 0..answers {
            proxy.serve(40 * MS);
        }
        proxy.advance(pause);
        let (call, class) = (CallId(1_000), ClassId(0));
        let event = Event::Request { call, class, tenant: None, time_left: 20 * MS, resent: false };
        assert_eq!(sent(&proxy.handle_event(event)).len(), 1, "after {answers} answers");
    }
}

/// Guards against a mean latency so high that all calls are rejected: no answer could lower it again.
#[test]
fn slow_answers_do_not_cause_calls_with_enough_time_to_be_rejected() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 5);
    for _ in 0..200 {
        proxy.serve(1_150 * MS);
    }
    let (call, class) = (CallId(1_000), ClassId(0));
    let event = Event::Request { call, class, tenant: None, time_left: 840 * MS, resent: false };
    assert_eq!(sent(&proxy.handle_event(event)).len(), 1, "seven tenths of the class's deadline are left");
}

/// Runs 800 calls at four warm servers and one warming server that answers after `answers_after`; returns the
/// number of calls to the warming server.
fn calls_to_warming_server(balancer_count: u32, answers_after: Micros, overload_multiple: f64) -> usize {
    let safety = SafetyLimits {
        slow_start_ratio: 0.25,
        slow_start_window: 1_000_000 * MS,
        overload_multiple,
        ..Settings::default().safety
    };
    let mut proxy = Proxy::new(Settings { balancer_count, safety, ..settings(Idempotency::Idempotent) }, 4);
    for _ in 0..40 {
        proxy.serve(20 * MS);
    }
    proxy.update_list(ListKind::Delta, vec![Entry { started_at: proxy.now, ..ready(5) }]);
    let mut count = 0;
    for _ in 0..800 {
        let (call, actions) = proxy.call();
        let to_warming = sent(&actions)[0].1 == ServerId(5);
        count += usize::from(to_warming);
        let elapsed = if to_warming { answers_after } else { 20 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
    }
    count
}

#[test]
fn a_warming_server_that_answers_in_time_gets_up_to_half_more() {
    // The warming server has a quarter of a warm one's capacity: its share is 47 of 800 calls.
    let (fast, slow) = (calls_to_warming_server(3, 20 * MS, 2.5), calls_to_warming_server(3, 300 * MS, 2.5));
    assert!((64..=80).contains(&fast) && (40..=54).contains(&slow), "{fast} and {slow}");
    // In a large group, where a balancer sees an overload too late, the server gets no more than its share.
    let in_large_group = calls_to_warming_server(300, 20 * MS, 2.5);
    assert!((40..=60).contains(&in_large_group), "{in_large_group}");
}

/// A warming server that answers fast gets more than its share only if the overload multiple allows it.
#[test]
fn the_overload_multiple_bounds_the_extra_share_of_a_warming_server() {
    let (low, high) = (calls_to_warming_server(3, 20 * MS, 1.5), calls_to_warming_server(3, 20 * MS, 9.0));
    assert!((40..=54).contains(&low), "{low}");
    assert!((64..=80).contains(&high), "at most half more than its share: {high}");
}
