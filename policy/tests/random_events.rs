//! Checks the balancer's invariants on each action that it returns for long random sequences of events.

mod common;
use common::*;
use flaxhead_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct CallRecord {
    attempts: Vec<(ServerId, Option<Outcome>, Micros)>,
    ended: bool,
    deadline: Micros,
    class: usize,
}

#[test]
fn invariants_hold_for_random_event_sequences() {
    for seed in 0..12 {
        run_sequence(seed);
    }
}

fn run_sequence(seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut random_below = move |n: u64| u64::from(random.next_u32()) % n;
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: DedupScope::Cell, window: 300 * MS },
        Idempotency::Keyed { scope: DedupScope::All, window: 300 * MS },
    ];
    let mut settings = settings(Idempotency::Idempotent);
    settings.classes =
        kinds.iter().map(|&idempotency| Class { idempotency, ..settings.classes[0] }).collect();
    settings.limits.hedging = seed.is_multiple_of(2);
    settings.limits.max_attempts = 4;
    settings.balancer_count = 1 + random_below(5) as u32;
    settings.subscribe = seed.is_multiple_of(3);
    let (hedging, classes) = (settings.limits.hedging, settings.classes.clone());
    let mut proxy = Proxy::new(settings, 0);
    let mut calls: BTreeMap<CallId, CallRecord> = BTreeMap::new();
    let mut list: BTreeMap<ServerId, State> = BTreeMap::new();
    let mut known: BTreeSet<ServerId> = BTreeSet::new();
    for step in 0..4_000_u64 {
        proxy.now += random_below(8) * MS;
        let in_flight: Vec<(CallId, usize)> = calls
            .iter()
            .flat_map(|(&id, c)| {
                (0..c.attempts.len()).filter(|&a| c.attempts[a].1.is_none()).map(move |a| (id, a))
            })
            .collect();
        let actions = match random_below(10) {
            0..=3 => {
                let class = random_below(4) as usize;
                let (id, actions) = proxy.call_of_class(class);
                let deadline = proxy.now + 1_200 * MS;
                calls.insert(id, CallRecord { deadline, class, ..CallRecord::default() });
                actions
            }
            4..=7 if !in_flight.is_empty() => {
                let (id, attempt) = in_flight[random_below(in_flight.len() as u64) as usize];
                let outcome = match random_below(12) {
                    0 => Outcome::Error,
                    1 => Outcome::Rejected,
                    2 => Outcome::NoConnection,
                    3 => Outcome::Reset,
                    4 => Outcome::Unknown,
                    _ => Outcome::Served,
                };
                let record = calls.get_mut(&id).expect("an attempt in flight");
                record.attempts[attempt].1 = Some(outcome);
                let elapsed = proxy.now - record.attempts[attempt].2;
                record.ended |= outcome == Outcome::Served;
                proxy.end_attempt(id, attempt as u32, outcome, elapsed)
            }
            8 if step % 7 == 0 => {
                let server = ServerId(random_below(8) as u32);
                let state =
                    [State::Ready, State::Ready, State::Draining, State::Removed][random_below(4) as usize];
                let started_at = if random_below(4) > 0 { 0 } else { proxy.now };
                known.insert(server);
                list.insert(server, state);
                let cell = CellId(server.0 % 2);
                proxy.update_list(
                    ListKind::Delta,
                    vec![Entry { server, state, started_at, cell, ..Entry::default() }],
                )
            }
            8 if step % 31 == 0 => proxy.update_list(ListKind::Failed, vec![]),
            _ => {
                // Attempts of calls past their deadline time out before the timer event, as at a real proxy.
                let mut all = Vec::new();
                let due: Vec<CallId> =
                    calls.iter().filter(|(_, c)| !c.ended && c.deadline <= proxy.now).map(|c| *c.0).collect();
                for id in due {
                    let in_flight_attempts: Vec<usize> = (0..calls[&id].attempts.len())
                        .filter(|&a| calls[&id].attempts[a].1.is_none())
                        .collect();
                    for attempt in in_flight_attempts {
                        let record = calls.get_mut(&id).expect("a known call");
                        record.attempts[attempt].1 = Some(Outcome::TimedOut);
                        let elapsed = proxy.now - record.attempts[attempt].2;
                        let actions = proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, elapsed);
                        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
                    }
                }
                all.extend(proxy.handle_event(Event::Timer));
                all
            }
        };
        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
    }
    // Time out all attempts in flight in three rounds of 700 ms: the deadline of every call, 1.2 s after its
    // arrival, is then past, so that every call must have ended.
    for _ in 0..3 {
        proxy.now += 700 * MS;
        let actions = proxy.handle_event(Event::Timer);
        check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
        let in_flight: Vec<CallId> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
        for id in in_flight {
            for attempt in 0..calls[&id].attempts.len() {
                if calls[&id].attempts[attempt].1.is_none() {
                    calls.get_mut(&id).expect("a known call").attempts[attempt].1 = Some(Outcome::TimedOut);
                    let actions = proxy.end_attempt(id, attempt as u32, Outcome::TimedOut, 700 * MS);
                    check(&actions, &mut calls, &list, &known, &classes, hedging, proxy.now);
                }
            }
        }
    }
    let unended: Vec<_> = calls.iter().filter(|c| !c.1.ended).map(|c| *c.0).collect();
    assert!(unended.is_empty(), "seed {seed}: calls without an end: {unended:?}");
    let sent = calls.values().filter(|c| !c.attempts.is_empty()).count();
    assert!(sent > 100, "seed {seed}: too few calls sent to judge: {sent}");
}

fn check(
    actions: &[Action],
    calls: &mut BTreeMap<CallId, CallRecord>,
    list: &BTreeMap<ServerId, State>,
    known: &BTreeSet<ServerId>,
    classes: &[Class],
    hedging: bool,
    now: Micros,
) {
    for action in actions {
        match *action {
            Action::Send { call, server, send_by, .. } => {
                let record = calls.get_mut(&call).expect("a received call");
                assert!(!record.ended, "sent after the call ended");
                assert!(
                    known.contains(&server) && list[&server] == State::Ready,
                    "sent to a server that is not ready"
                );
                assert!(record.attempts.len() < 4, "too many attempts");
                let out = record.attempts.iter().filter(|a| a.1.is_none()).count();
                assert!(out == 0 || hedging && out == 1);
                let first = record.attempts.iter().find(|a| a.1.is_none_or(|o| !o.never_ran()));
                let has_window =
                    matches!(classes[record.class].idempotency, Idempotency::Keyed { .. }) && first.is_some();
                assert_eq!(
                    send_by.is_some(),
                    has_window,
                    "`send_by` must be set for a retry within a window"
                );
                match (classes[record.class].idempotency, first) {
                    (Idempotency::NonIdempotent, Some(_)) => panic!("a non-idempotent call was retried"),
                    (Idempotency::Keyed { scope, window }, Some(first)) => {
                        assert!(
                            scope == DedupScope::All || first.0 .0 % 2 == server.0 % 2,
                            "retried outside its cell"
                        );
                        let latest = send_by.expect("a time");
                        assert!(now < latest && latest < first.2 + window, "retried outside its window");
                    }
                    _ => {}
                }
                record.attempts.push((server, None, now));
            }
            Action::Reject { call, .. } => {
                let record = calls.get_mut(&call).expect("a received call");
                assert!(!std::mem::replace(&mut record.ended, true), "the call ended twice");
                let none_ran = record.attempts.iter().all(|a| a.1.is_some_and(Outcome::never_ran));
                let is_repeatable = matches!(
                    classes[record.class].idempotency,
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
                );
                assert!(none_ran || is_repeatable, "rejected although it may have run");
            }
            Action::Fail { call } => {
                let record = calls.get_mut(&call).expect("a received call");
                assert!(!std::mem::replace(&mut record.ended, true), "the call ended twice");
            }
            Action::Cancel { call, attempt } => {
                assert!((attempt as usize) < calls[&call].attempts.len(), "cancelled an unknown attempt")
            }
            _ => {}
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 5);
        for i in 0..300 {
            proxy.serve((i % 17) * MS);
        }
        proxy.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_input_does_not_panic() {
    let mut invalid = settings(Idempotency::Idempotent);
    invalid.balancer_count = 0;
    invalid.limits.max_attempts = 0;
    invalid.tenants = vec![Tenant { share: 0.0 }];
    invalid.safety = SafetyLimits {
        slow_start_ratio: 0.0,
        slow_start_window: 0,
        max_poll_interval: 0,
        overload_multiple: 0.0,
    };
    let no_classes = Settings { classes: vec![], ..invalid.clone() };
    for settings in [invalid, no_classes] {
        let mut proxy = Proxy::new(settings, 2);
        let times = [0, 1, u64::MAX / 2];
        for (i, &time_left) in times.iter().chain(&[u64::MAX]).enumerate() {
            let class = ClassId(if i % 2 == 0 { 0 } else { usize::MAX });
            let call = CallId(1_000 + i as u64);
            let tenant = Some(TenantId(i));
            let event = Event::Request { call, class, tenant, time_left, resent: true };
            proxy.handle_event(event.clone());
            proxy.handle_event(event);
            for attempt in [0, 0, 7] {
                proxy.end_attempt(call, attempt, Outcome::Unknown, u64::MAX);
            }
        }
        proxy.end_attempt(CallId(99), 0, Outcome::Served, 0);
        proxy.handle_event(Event::ClientCancelled { call: CallId(99) });
        proxy.handle_event(Event::Streaming { call: CallId(99), attempt: 3 });
        let load = LoadReport {
            active_requests: Some(f64::NAN),
            queued_requests: Some(-1.0),
            cpu_utilization: None,
        };
        proxy.handle_event(Event::Probed { server: ServerId(9), outcome: Outcome::Served, load });
        proxy.update_list(ListKind::Full, vec![]);
        proxy.now = u64::MAX - 10;
        proxy.update_list(ListKind::Delta, vec![Entry { started_at: u64::MAX, ..ready(1) }]);
        let (call, _) = proxy.call();
        proxy.advance(5);
        proxy.handle_event(Event::ClientCancelled { call });
    }
}
