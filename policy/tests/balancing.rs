//! Parts of the balancing algorithm: in-flight budgets, trials, backoff, queue, server selection and zones.

mod common;
use common::*;
use flaxhead_policy::*;
use std::collections::BTreeMap;

/// Fills the initial budget of the only server with a call that stays in flight: seven calls, at seven
/// balancers, are one for each.
fn full_budget(idempotency: Idempotency) -> (Proxy, CallId) {
    let mut proxy = Proxy::new(settings(idempotency), 1);
    let (first, actions) = proxy.call();
    assert_eq!(sent(&actions).len(), 1);
    (proxy, first)
}

#[test]
fn one_call_past_a_full_budget_is_sent_as_a_trial_and_the_next_queues() {
    let (mut proxy, _) = full_budget(Idempotency::NonIdempotent);
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, ServerId(1))]);
    let (_, actions) = proxy.call();
    assert!(sent(&actions).is_empty(), "only one trial at a time");
}

#[test]
fn a_served_trial_adds_one_step() {
    let (mut proxy, _) = full_budget(Idempotency::NonIdempotent);
    let (trial, _) = proxy.call();
    let (a, b) = (proxy.call().0, proxy.call().0);
    proxy.now += 50 * MS;
    let actions = proxy.end_attempt(trial, 1, Outcome::Served, 50 * MS);
    assert!(sent(&actions).is_empty(), "the outcome of an unknown attempt is ignored");
    let actions = proxy.end_attempt(trial, 0, Outcome::Served, 50 * MS);
    // The served trial raised the budget to two calls, of which one is in flight: the first queued call is
    // sent, but no trial until answers have shown the effect of the larger budget.
    assert_eq!(sent(&actions), [(a, ServerId(1))]);
    proxy.now += 100 * MS;
    proxy.end_attempt(a, 0, Outcome::Served, 100 * MS);
    proxy.now += 100 * MS;
    proxy.end_attempt(b, 0, Outcome::Served, 100 * MS);
    proxy.advance(300 * MS);
    let (c, d, e) = (proxy.call().0, proxy.call().0, proxy.call().0);
    let sent_calls: Vec<CallId> = sent(&proxy.actions).into_iter().map(|s| s.0).collect();
    assert!(
        sent_calls.ends_with(&[b, c, d]) && !sent_calls.contains(&e),
        "the last one sent is the next trial: {sent_calls:?}"
    );
}

/// Adds a call every 5 ms until one is sent; returns the time until then and the call that was sent.
fn time_until_sent(proxy: &mut Proxy) -> (Micros, CallId) {
    let began = proxy.now;
    loop {
        proxy.now += 5 * MS;
        let mut actions = proxy.handle_event(Event::Timer);
        actions.extend(proxy.call().1);
        if let Some(&(call, _)) = sent(&actions).first() {
            return (proxy.now - began, call);
        }
        assert!(proxy.now < began + 5_000 * MS, "no trial was sent");
    }
}

#[test]
fn a_failed_trial_doubles_the_backoff_up_to_a_cap_and_a_served_one_resets_it() {
    let (mut proxy, _) = full_budget(Idempotency::NonIdempotent);
    let mut trial = proxy.call().0;
    let mut delays = Vec::new();
    for _ in 0..6 {
        proxy.end_attempt(trial, 0, Outcome::Error, MS);
        let (delay, next) = time_until_sent(&mut proxy);
        delays.push(delay / MS);
        trial = next;
    }
    for (delay, wanted) in delays.iter().zip([125, 250, 500, 1_000, 2_000, 2_000]) {
        assert!(delay.abs_diff(wanted) <= 10, "{delays:?}");
    }
    let mut out = sent(&proxy.end_attempt(trial, 0, Outcome::Served, MS));
    while let Some((call, _)) = out.pop() {
        out.extend(sent(&proxy.end_attempt(call, 0, Outcome::Served, MS)));
    }
    proxy.advance(1_000 * MS);
    for _ in 0..12 {
        proxy.serve(MS);
    }
    let mut next = trial;
    while let Some(&(call, _)) = sent(&proxy.call().1).first() {
        next = call;
    }
    assert_ne!(next, trial, "the last call sent past the budget is the next trial");
    proxy.end_attempt(next, 0, Outcome::Error, MS);
    assert!(time_until_sent(&mut proxy).0.abs_diff(125 * MS) <= 10 * MS);
}

#[test]
fn queued_calls_are_sent_in_order_of_arrival() {
    let (mut proxy, first) = full_budget(Idempotency::NonIdempotent);
    let trial = proxy.call().0;
    let waiting: Vec<CallId> = (0..4).map(|_| proxy.call().0).collect();
    let mut order = Vec::new();
    for call in [first, trial] {
        proxy.now += 20 * MS;
        order.extend(sent(&proxy.end_attempt(call, 0, Outcome::Served, 20 * MS)).into_iter().map(|s| s.0));
    }
    assert!(order.len() >= 2);
    assert_eq!(order[..], waiting[..order.len()]);
}

#[test]
fn the_less_loaded_of_two_servers_is_chosen() {
    let mut proxy = Proxy::new(Settings { balancer_count: 1, ..settings(Idempotency::NonIdempotent) }, 2);
    let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
    for _ in 0..10 {
        let server = sent(&proxy.call().1)[0].1;
        *load.entry(server).or_default() += 1;
    }
    assert_eq!(load[&ServerId(1)], 5);
    assert_eq!(load[&ServerId(2)], 5);
}

/// Runs 400 calls one after another; each ends with the outcome and latency that `end` gives for its server.
/// Returns the number of calls to server 2.
fn calls_to_second_server(entries: Vec<Entry>, end: impl Fn(ServerId) -> (Outcome, Micros)) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    // Among a hundred balancers, a large group, calls in flight seldom decide: recent busy time does.
    let mut proxy =
        Proxy::new(Settings { balancer_count: 100, limits, ..settings(Idempotency::NonIdempotent) }, 2);
    proxy.update_list(ListKind::Full, entries);
    let mut second = 0;
    for _ in 0..400 {
        proxy.now += 100 * MS;
        let (call, actions) = proxy.call();
        let Some(&(_, server)) = sent(&actions).first() else { continue };
        second += usize::from(server == ServerId(2));
        let (outcome, elapsed) = end(server);
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, outcome, elapsed);
    }
    second
}

#[test]
fn ties_go_to_the_server_with_less_recent_busy_time() {
    let two = || vec![ready(1), ready(2)];
    let slow_first = |s| (Outcome::Served, if s == ServerId(1) { 200 * MS } else { 40 * MS });
    assert!(
        calls_to_second_server(two(), slow_first) > 300,
        "a server five times as fast gets five times the calls"
    );
    let equal = calls_to_second_server(two(), |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&equal), "{equal}");
}

#[test]
fn ties_respect_weights_and_fast_rejections_count_as_a_whole_objective() {
    let weighted = vec![ready(1), Entry { weight: 2.0, ..ready(2) }];
    let double = calls_to_second_server(weighted, |_| (Outcome::Served, 40 * MS));
    assert!((250..=290).contains(&double), "a server of twice the weight gets two thirds: {double}");
    // Weights that are not finite and positive count as 1.
    let two = || vec![ready(1), ready(2)];
    let invalid = vec![Entry { weight: f64::NAN, ..ready(1) }, Entry { weight: -3.0, ..ready(2) }];
    let equal = calls_to_second_server(invalid, |_| (Outcome::Served, 40 * MS));
    assert!((180..=220).contains(&equal), "{equal}");
    let full = |s| if s == ServerId(1) { (Outcome::Rejected, MS) } else { (Outcome::Served, 40 * MS) };
    let to_second = calls_to_second_server(two(), full);
    assert!(to_second > 300, "a fast rejection must not count as a fast answer: {to_second}");
}

#[test]
fn a_full_choice_is_redrawn_among_servers_with_room() {
    // At the last call only one of twenty servers is below its budget; two random draws would rarely find it.
    let mut proxy = Proxy::new(settings(Idempotency::NonIdempotent), 20);
    let servers: std::collections::BTreeSet<ServerId> = (0..20).map(|_| sent(&proxy.call().1)[0].1).collect();
    assert_eq!(servers.len(), 20, "a budget was exceeded while another server had room");
}

/// Ends one of the first seven calls to a server with `outcome` and has the others served. Returns how many
/// of the next calls are sent at once; the last of them is a trial.
fn burst_size_after(outcome: Outcome) -> usize {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 1, limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let calls: Vec<CallId> = (0..7).map(|_| proxy.call().0).collect();
    assert_eq!(sent(&proxy.actions).len(), 7, "initial budget of a single balancer");
    proxy.now += 5 * MS;
    proxy.end_attempt(calls[0], 0, outcome, 5 * MS);
    for call in &calls[1..] {
        proxy.end_attempt(*call, 0, Outcome::Served, 5 * MS);
    }
    proxy.advance(1_000 * MS);
    (0..20).filter(|_| !sent(&proxy.call().1).is_empty()).count()
}

#[test]
fn a_rejection_lowers_the_concurrency() {
    assert_eq!(burst_size_after(Outcome::Served), 8);
    assert_eq!(burst_size_after(Outcome::Rejected), 7, "four fifths of seven calls, and a trial");
}

/// Adds calls until one is queued, and ends those that were sent as served after 40 ms; returns their number.
fn burst_size(proxy: &mut Proxy) -> usize {
    let mut calls = vec![proxy.call()];
    while !sent(&calls[calls.len() - 1].1).is_empty() {
        calls.push(proxy.call());
    }
    proxy.now += 40 * MS;
    for (call, _) in &calls {
        proxy.end_attempt(*call, 0, Outcome::Served, 40 * MS);
    }
    let (waiting, _) = calls[calls.len() - 1];
    proxy.handle_event(Event::ClientCancelled { call: waiting });
    proxy.advance(300 * MS);
    calls.len() - 1
}

#[test]
fn steps_are_capped_so_that_as_many_connection_failures_remove_them() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy = Proxy::new(Settings { limits, ..settings(Idempotency::NonIdempotent) }, 1);
    let sizes: Vec<usize> = (0..30).map(|_| burst_size(&mut proxy)).collect();
    assert!(sizes[29] > 13, "concurrency must grow beyond the maximum of steps: {sizes:?}");
    for _ in 0..9 {
        let (call, actions) = proxy.call();
        assert_eq!(sent(&actions).len(), 1);
        proxy.end_attempt(call, 0, Outcome::NoConnection, MS);
        for _ in 0..8 {
            proxy.serve(40 * MS);
        }
    }
    let left = burst_size(&mut proxy);
    assert!(left <= 3, "one of ten steps and a trial are left: {left} after {sizes:?}");
}

#[test]
fn a_server_without_steps_is_skipped_in_backoff_and_then_tried_by_one_call() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    let (call, actions) = proxy.call();
    let failed_server = sent(&actions)[0].1;
    proxy.now += MS;
    let other = sent(&proxy.end_attempt(call, 0, Outcome::NoConnection, MS))[0].1;
    assert_ne!(failed_server, other);
    proxy.now += MS;
    proxy.end_attempt(call, 1, Outcome::Served, MS);
    for _ in 0..5 {
        assert_eq!(proxy.serve(MS), Some(other), "the server must be skipped in backoff");
    }
    proxy.now += 200 * MS;
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, failed_server)]);
    let (second, actions) = proxy.call();
    assert_eq!(sent(&actions)[0].1, other, "only one call is a trial");
    proxy.end_attempt(second, 0, Outcome::Served, MS);
    proxy.now += MS;
    proxy.end_attempt(trial, 0, Outcome::Served, MS);
    let mut used: Vec<ServerId> = (0..12).filter_map(|_| proxy.serve(MS)).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "the server is reinstated");
}

#[test]
fn a_reset_starts_no_backoff_and_one_served_trial_reinstates_the_server() {
    let limits = Limits { max_attempts: 1, ..Settings::default().limits };
    let mut proxy =
        Proxy::new(Settings { balancer_count: 1, limits, ..settings(Idempotency::NonIdempotent) }, 2);
    let first: Vec<_> = (0..14).flat_map(|_| sent(&proxy.call().1)).collect();
    let (reset_call, failed_server) = first[0];
    proxy.now += MS;
    proxy.end_attempt(reset_call, 0, Outcome::Reset, MS);
    let to_failed_server = |actions: &[Action]| sent(actions).iter().filter(|s| s.1 == failed_server).count();
    let (trial, actions) = proxy.call();
    assert_eq!(sent(&actions), [(trial, failed_server)], "the next call is a trial at once");
    let more: usize = (0..4).map(|_| to_failed_server(&proxy.call().1)).sum();
    assert_eq!(more, 0, "only one trial at a time");
    for (call, _) in first.iter().skip(1).filter(|s| s.1 == failed_server) {
        proxy.end_attempt(*call, 0, Outcome::Served, MS);
    }
    assert!(
        to_failed_server(&proxy.end_attempt(trial, 0, Outcome::Served, MS)) > 1,
        "the initial budget is restored"
    );
}

#[test]
fn with_all_servers_ejected_calls_are_rejected_with_a_retry_delay() {
    let mut proxy = Proxy::new(settings(Idempotency::Idempotent), 2);
    // The balancer never ejects more than half of the servers, so that the list is reduced to the failed one.
    let (call, actions) = proxy.call();
    let failed_server = sent(&actions)[0].1;
    proxy.now += MS;
    proxy.end_attempt(call, 0, Outcome::NoConnection, MS);
    proxy.update_list(ListKind::Full, vec![ready(failed_server.0)]);
    let (call, actions) = proxy.call();
    let retry_after_sent = actions.iter().find_map(|a| match a {
        Action::Reject { call: id, retry_after } if *id == call => Some(*retry_after),
        _ => None,
    });
    assert!(retry_after_sent.is_some_and(|a| a > 0), "{actions:?}");
}

#[test]
fn in_a_large_group_a_balancer_uses_a_subset_and_subsets_are_even_over_all_servers() {
    let mut subset_counts: BTreeMap<ServerId, u32> = BTreeMap::new();
    for balancer_index in 0..100 {
        let mut proxy = Proxy::new(
            Settings { balancer_count: 100, balancer_index, ..settings(Idempotency::Idempotent) },
            50,
        );
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            proxy.now += 500 * MS;
            used.extend(proxy.serve(20 * MS));
        }
        assert_eq!(used.len(), 8, "size of the subset");
        used.into_iter().for_each(|s| *subset_counts.entry(s).or_default() += 1);
    }
    assert_eq!(subset_counts.len(), 50);
    assert!(subset_counts.values().all(|n| *n == 16), "100 subsets of 8 over 50 servers: {subset_counts:?}");
}

#[test]
fn a_subset_skips_servers_that_are_not_listed() {
    let mut proxy = Proxy::new(Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) }, 50);
    proxy.update_list(ListKind::Full, (1..=50).filter(|i| *i > 8).map(ready).collect());
    assert!((0..20).all(|_| (proxy.advance(500 * MS), proxy.serve(20 * MS)).1.is_some_and(|s| s.0 > 8)));
}

#[test]
fn in_a_large_group_unknown_servers_are_estimated_by_their_model() {
    let entry = |i: u32| Entry { model: ModelId(i % 2), ..ready(i) };
    let mut proxy = Proxy::new(Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) }, 0);
    let serve = |proxy: &mut Proxy| {
        proxy.now += 300 * MS;
        let (call, actions) = proxy.call();
        let server = sent(&actions)[0].1;
        let elapsed = if server.0 % 2 == 1 { 60 * MS } else { 20 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(call, 0, Outcome::Served, elapsed);
        server.0
    };
    proxy.update_list(ListKind::Full, (1..=8).map(entry).collect());
    (0..100).for_each(|_| assert!(serve(&mut proxy) <= 8));
    // Each round replaces all servers, so that the balancer knows only the latency of their models.
    let mut slow = 0;
    for round in 1..=40 {
        proxy.update_list(ListKind::Full, (1..=8).map(|i| entry(10 * round + i)).collect());
        slow += serve(&mut proxy) % 2;
    }
    assert!(slow <= 14, "the slow model is chosen only if both candidates are of it: {slow} of 40");
    let fast = (0..100).filter(|_| serve(&mut proxy) % 2 == 0).count();
    assert!((65..=95).contains(&fast), "the slow model must keep a share: {fast} of 100");
}

/// Times, from its start, at which a balancer with `known` servers in the cached list subscribes: first, and
/// after each of four failed subscriptions.
fn subscribe_times(seed: u64, balancer_count: u32, known: u32) -> Vec<Micros> {
    let settings = Settings { subscribe: true, balancer_count, ..settings(Idempotency::Idempotent) };
    let mut balancer = Balancer::new(seed, settings);
    let (mut now, mut times, mut events) = (1_000_000, Vec::new(), vec![Event::Start]);
    events.push(Event::Members { kind: ListKind::Cached, entries: (1..=known).map(ready).collect() });
    while times.len() < 5 {
        let mut actions = Vec::new();
        events.drain(..).for_each(|event| balancer.handle(now, event, &mut actions));
        if actions.contains(&Action::Subscribe) {
            times.push(now - 1_000_000);
            events.push(Event::Members { kind: ListKind::Failed, entries: Vec::new() });
        } else {
            now += 5 * MS;
            events.push(Event::Timer);
        }
    }
    times
}

/// Guards against a burst of subscriptions at discovery, and against delays longer than 5 s: changes of the
/// list must arrive within 6 s, of which the answer takes up to one.
#[test]
fn balancers_that_start_together_spread_their_subscriptions_and_each_subscribes_in_time() {
    let of_hundred: Vec<_> = (0..100).map(|seed| subscribe_times(seed, 100, 5)).collect();
    for round in 0..5 {
        let mut at: Vec<Micros> = of_hundred.iter().map(|times| times[round]).collect();
        at.sort_unstable();
        let shortest = at.windows(25).map(|slice| slice[24] - slice[0]).min();
        assert!(shortest >= Some(400 * MS), "subscriptions too close: {shortest:?} in round {round}");
    }
    let delays = |times: &Vec<Micros>| times.windows(2).map(|pair| pair[1] - pair[0]).collect::<Vec<_>>();
    let all: Vec<Micros> = of_hundred.iter().flat_map(delays).collect();
    assert!(all.iter().all(|gap| *gap <= 5_000 * MS + 5 * MS), "subscribed too late: {:?}", all.iter().max());
    let mean_last_delay =
        |number: u32| (0..100).map(|seed| delays(&subscribe_times(seed, number, 5))[3]).sum::<Micros>() / 100;
    assert!(
        mean_last_delay(100) >= 3_000 * MS,
        "the delays are too short for discovery: {}",
        mean_last_delay(100)
    );
    let of_four: Vec<_> = (0..100).map(|seed| delays(&subscribe_times(seed, 4, 5))).collect();
    let grows = |delays: &Vec<Micros>| delays[3] >= 2 * delays[0];
    assert!(
        of_four.iter().filter(|delays| grows(delays)).count() > 90,
        "delays must grow while they are below the limit"
    );
    assert!(of_hundred.iter().all(|times| times[0] <= 5_000 * MS), "the first subscription is too late");
    assert!(
        (0..20).all(|seed| subscribe_times(seed, 100, 0)[0] == 0),
        "without a cached list a balancer subscribes at once"
    );
    assert!((0..20).all(|seed| subscribe_times(seed, 1, 5)[0] == 0), "a single balancer subscribes at once");
}

#[test]
fn in_a_large_group_overloaded_servers_are_avoided_while_others_have_room() {
    let mut settings = Settings { balancer_count: 100, ..settings(Idempotency::Idempotent) };
    settings.classes[0].objective = 80 * MS;
    let mut proxy = Proxy::new(settings, 8);
    let (mut overloaded, mut all) = (0, 0);
    for call in 0..400 {
        proxy.now += 20 * MS;
        let (id, actions) = proxy.call();
        let server = sent(&actions)[0].1;
        let slow = server.0 > 3 && call >= 100;
        let elapsed = if slow { 300 * MS } else { 40 * MS };
        proxy.now += elapsed;
        proxy.end_attempt(id, 0, Outcome::Served, elapsed);
        if call >= 150 {
            (all, overloaded) = (all + 1, overloaded + u32::from(slow));
        }
    }
    // Five of eight servers are overloaded. Of two random ones both are overloaded in 10 of 28 draws.
    assert!(overloaded * 10 <= all * 3, "{overloaded} of {all} to servers slower than the objective");
    assert!(overloaded > 0, "overloaded servers must be tried again");
}

/// Guards against a subset that grows with slow answers: most calls would then open a new connection.
#[test]
fn in_a_large_group_slow_answers_do_not_widen_the_subset() {
    let mut proxy = Proxy::new(Settings { balancer_count: 300, ..settings(Idempotency::Idempotent) }, 100);
    let (mut used, mut out) = (std::collections::BTreeSet::new(), std::collections::VecDeque::new());
    for _ in 0..400 {
        proxy.now += 50 * MS;
        while let Some((_, call)) = out.pop_front_if(|&mut (ends, _)| ends <= proxy.now) {
            proxy.end_attempt(call, 0, Outcome::Served, 300 * MS);
        }
        let (call, actions) = proxy.call();
        used.extend(sent(&actions).into_iter().map(|(_, server)| server));
        out.push_back((proxy.now + 300 * MS, call));
    }
    // With six calls in flight on average, a subset of 12 servers is expected.
    assert!((8..=20).contains(&used.len()), "{} of 100", used.len());
}

/// Guards against a preference for the local zone that holds although its servers answer late.
#[test]
fn a_balancer_prefers_its_local_zone_while_it_answers_early() {
    let zoned = |i: u32| Entry { zone: ZoneId(i % 4), ..ready(i) };
    let calls_in_local_zone = |balancer_count: u32, local_zone: Option<ZoneId>, latency: Micros| {
        let mut proxy =
            Proxy::new(Settings { balancer_count, local_zone, ..settings(Idempotency::Idempotent) }, 0);
        proxy.update_list(ListKind::Full, (1..=40).map(zoned).collect());
        let mut count = 0;
        for _ in 0..400 {
            proxy.now += 300 * MS;
            let (call, actions) = proxy.call();
            let is_local = sent(&actions)[0].1 .0 % 4 == 1;
            count += u32::from(is_local);
            let elapsed = if is_local { latency } else { 50 * MS };
            proxy.now += elapsed;
            proxy.end_attempt(call, 0, Outcome::Served, elapsed);
        }
        count
    };
    for balancer_count in [1, 100] {
        let at = |local_zone: Option<u32>, latency| {
            calls_in_local_zone(balancer_count, local_zone.map(ZoneId), latency)
        };
        let (early, no_local_zone, late) = (at(Some(1), 40 * MS), at(None, 40 * MS), at(Some(1), 400 * MS));
        assert!(early >= 350, "the local zone answers well: {early} of 400, {balancer_count} balancers");
        assert!(
            no_local_zone <= 200,
            "without a local zone all zones are used: {no_local_zone} of 400, {balancer_count} balancers"
        );
        assert!(late <= 200, "the local zone answers late: {late} of 400, {balancer_count} balancers");
    }
}
