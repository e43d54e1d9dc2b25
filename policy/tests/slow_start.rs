//! Simulation of many balancers and recently started servers. A server is overloaded if it is sent more than
//! `n + 2 sqrt(n) + 2` calls within a period, where `n` is the overload multiple times what it can serve
//! then.

use flaxhead_policy::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const DEADLINE: Micros = 1_200_000;
/// Period in which calls arrive `Scenario::burst` times as often.
const BURST: std::ops::Range<Micros> = START + 6 * SECOND..START + 11 * SECOND;
/// Network round-trip time between balancers and servers.
const ROUND_TRIP: Micros = 2_000;
/// Queue length above which a server rejects calls.
const MAX_QUEUE_CALLS: f64 = 30.0;

/// Size, load and changes of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    balancers: u32,
    servers: u32,
    /// Servers per mille that are replaced by new ones, one after another over the duration `within`.
    replaced_per_mille: u32,
    within: Micros,
    /// Balancers per mille that restart in the middle of `within`.
    restarted_per_mille: u32,
    /// Calls per second that a warm server can serve.
    calls_per_s: f64,
    /// Call rate relative to the capacity of the fleet when warm, and the factor on it during [`BURST`].
    load: f64,
    burst: f64,
    slow_start: (f64, Micros),
    /// Overload multiple, and period over which calls to a server are counted.
    overload: (f64, Micros),
}

enum SimEvent {
    Call(usize),
    End {
        balancer: usize,
        call: CallId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    },
    Timer(usize),
    /// A balancer receives the endpoint list; each at another time.
    ListUpdate {
        balancer: usize,
        entries: Vec<Entry>,
    },
    Restart(usize),
}

/// A simulated server: runs one call at a time, at the lowest speed that the slow start settings allow.
#[derive(Clone, Copy, Default)]
struct Server {
    started_at: Micros,
    free_at: Micros,
}

/// A balancer, and for each of its calls the start time of each attempt; `None` once the attempt has ended.
type BalancerState = (Balancer, BTreeMap<CallId, Vec<Option<Micros>>>);

struct Fleet {
    scenario: Scenario,
    now: Micros,
    balancers: Vec<BalancerState>,
    servers: BTreeMap<ServerId, Server>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    event_count: u64,
    rng_state: u64,
    /// Times at which calls were sent to each server that was warming up.
    sent: BTreeMap<ServerId, Vec<Micros>>,
    served: u64,
}

impl Fleet {
    fn draw(&mut self) -> f64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.rng_state >> 33) as f64 + 0.5) / (1_u64 << 31) as f64
    }

    /// Exponentially distributed duration.
    fn exponential(&mut self, mean: f64) -> Micros {
        (-self.draw().ln() * mean) as Micros
    }

    fn schedule(&mut self, at: Micros, sim_event: SimEvent) {
        self.event_count += 1;
        self.queue.push(Reverse((at, self.event_count)));
        self.events.insert(self.event_count, sim_event);
    }

    fn settings(scenario: Scenario, balancer_index: u32) -> Settings {
        let class = Class {
            objective: SECOND / 2,
            deadline: DEADLINE,
            priority_weight: 1.0,
            late_ratio: 0.0,
            idempotency: Idempotency::Idempotent,
        };
        let (slow_start_ratio, slow_start_window) = scenario.slow_start;
        let safety = SafetyLimits { slow_start_ratio, slow_start_window, ..Settings::default().safety };
        Settings {
            balancer_count: scenario.balancers,
            balancer_index,
            classes: vec![class],
            safety,
            ..Settings::default()
        }
    }

    fn warmup_ratio(&self, server: &Server, at: Micros) -> f64 {
        let (share, time) = self.scenario.slow_start;
        let age = at.saturating_sub(server.started_at);
        if server.started_at == 0 || age >= time {
            1.0
        } else {
            share + (1.0 - share) * age as f64 / time as f64
        }
    }

    fn feed(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].0.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, server, deadline, .. } => self.send(balancer, call, server, deadline),
                Action::Wake { after } => self.schedule(self.now + after, SimEvent::Timer(balancer)),
                Action::Cancel { call, attempt } => {
                    let end =
                        SimEvent::End { balancer, call, attempt, outcome: Outcome::Cancelled, elapsed: 0 };
                    self.schedule(self.now, end);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, balancer: usize, call: CallId, id: ServerId, deadline: Option<Micros>) {
        let work = self.exponential(SECOND as f64 / self.scenario.calls_per_s) as f64;
        let attempts = self.balancers[balancer].1.entry(call).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(Some(self.now));
        let Some(&server) = self.servers.get(&id) else {
            // The balancer has not yet learned that the server was removed.
            let end = SimEvent::End {
                balancer,
                call,
                attempt,
                outcome: Outcome::NoConnection,
                elapsed: ROUND_TRIP,
            };
            return self.schedule(self.now + ROUND_TRIP, end);
        };
        let (warmup_ratio, busy) =
            (self.warmup_ratio(&server, self.now), server.free_at.saturating_sub(self.now));
        if warmup_ratio < 1.0 {
            self.sent.entry(id).or_default().push(self.now);
        }
        let mut outcome = Outcome::Served;
        let mut ends = self.now + ROUND_TRIP;
        if busy as f64 * self.scenario.calls_per_s * warmup_ratio > MAX_QUEUE_CALLS * SECOND as f64 {
            outcome = Outcome::Rejected;
        } else {
            let done = self.now + busy + (work / warmup_ratio) as Micros;
            self.servers.insert(id, Server { free_at: done, ..server });
            ends = done + ROUND_TRIP;
        }
        let deadline = deadline.unwrap_or(self.now + DEADLINE);
        if ends > deadline {
            (ends, outcome) = (deadline, Outcome::TimedOut);
        }
        let elapsed = ends - self.now;
        self.schedule(ends, SimEvent::End { balancer, call, attempt, outcome, elapsed });
    }

    fn process(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::Call(balancer) => {
                let call = CallId(self.event_count);
                // A third of the balancers get three times the traffic of the others.
                let share = if balancer % 3 == 0 { 1.8 } else { 0.6 };
                let burst = if BURST.contains(&self.now) { self.scenario.burst } else { 1.0 };
                let all =
                    self.scenario.load * burst * self.scenario.calls_per_s * f64::from(self.scenario.servers);
                let gap =
                    self.exponential(SECOND as f64 * f64::from(self.scenario.balancers) / (all * share));
                self.schedule(self.now + gap, SimEvent::Call(balancer));
                let event = Event::Request {
                    call,
                    class: ClassId(0),
                    tenant: None,
                    time_left: DEADLINE,
                    resent: false,
                };
                self.feed(balancer, event);
            }
            SimEvent::End { balancer, call, attempt, outcome, elapsed } => {
                // Skips attempts that were cancelled, or whose balancer has restarted since.
                let attempts = self.balancers[balancer].1.get_mut(&call);
                if attempts.and_then(|all| all.get_mut(attempt as usize)?.take()).is_none() {
                    return;
                }
                let complete = outcome == Outcome::Served;
                self.served += u64::from(complete);
                let load = LoadReport::default();
                self.feed(balancer, Event::Outcome { call, attempt, outcome, elapsed, complete, load });
            }
            SimEvent::Timer(balancer) => self.feed(balancer, Event::Timer),
            SimEvent::ListUpdate { balancer, entries } => {
                self.feed(balancer, Event::Members { kind: ListKind::Full, entries });
            }
            SimEvent::Restart(balancer) => self.start(balancer),
        }
    }

    fn start(&mut self, balancer: usize) {
        let me = balancer as u32;
        let seed = self.now ^ u64::from(me);
        self.balancers[balancer] = (Balancer::new(seed, Fleet::settings(self.scenario, me)), BTreeMap::new());
        self.feed(balancer, Event::Start);
        self.feed(balancer, Event::Members { kind: ListKind::Cached, entries: self.list() });
    }

    fn list(&self) -> Vec<Entry> {
        let entry = |(&server, s): (&ServerId, &Server)| Entry {
            server,
            started_at: s.started_at,
            ..Entry::default()
        };
        self.servers.iter().map(entry).collect()
    }

    /// Simulates thirty seconds; servers are replaced from the fifth second on.
    fn simulate(scenario: Scenario, seed: u64) -> Fleet {
        let balancers = (0..scenario.balancers)
            .map(|me| (Balancer::new(me.into(), Fleet::settings(scenario, me)), BTreeMap::new()));
        let mut fleet = Fleet {
            scenario,
            now: START,
            balancers: balancers.collect(),
            servers: (0..scenario.servers).map(|n| (ServerId(n * 7_919), Server::default())).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng_state: seed,
            sent: BTreeMap::new(),
            served: 0,
        };
        for balancer in 0..scenario.balancers as usize {
            fleet.start(balancer);
            let first = fleet.exponential(SECOND as f64 / 10.0);
            fleet.schedule(START + first, SimEvent::Call(balancer));
        }
        let replaced_count = scenario.servers * scenario.replaced_per_mille / 1_000;
        let mut changes: Vec<Micros> = (0..replaced_count)
            .map(|n| START + 5 * SECOND + scenario.within * u64::from(n) / u64::from(replaced_count))
            .collect();
        changes.reverse();
        let restarts = START + 5 * SECOND + scenario.within / 2;
        for balancer in 0..(scenario.balancers * scenario.restarted_per_mille / 1_000) as usize {
            fleet.schedule(restarts, SimEvent::Restart(balancer));
        }
        while let Some(Reverse((at, key))) = fleet.queue.pop() {
            while changes.last().is_some_and(|change| *change <= at) {
                fleet.now = changes.pop().unwrap_or(at);
                let n = replaced_count - changes.len() as u32 - 1;
                fleet.servers.remove(&ServerId(n * 7_919));
                let server = Server { started_at: fleet.now, free_at: 0 };
                fleet.servers.insert(ServerId(n * 7_919 + 3_001), server);
                for balancer in 0..scenario.balancers as usize {
                    let arrives = fleet.now + (fleet.draw() * 1_000.0) as Micros;
                    fleet.schedule(arrives, SimEvent::ListUpdate { balancer, entries: fleet.list() });
                }
            }
            // A replacement is made at the next event, which may be later than its list updates: the time
            // must not go back to them.
            fleet.now = fleet.now.max(at);
            if at > START + 30 * SECOND {
                break;
            }
            if let Some(sim_event) = fleet.events.remove(&key) {
                fleet.process(sim_event);
            }
        }
        fleet
    }

    /// Largest number of calls sent to one warming server within the period of `Scenario::overload`, relative
    /// to its limit; and the total number of calls sent to warming servers.
    fn largest_load(&self) -> (f64, usize) {
        let (multiple, time) = self.scenario.overload;
        let mut largest = 0.0_f64;
        for (id, sent) in &self.sent {
            for (first, &from) in sent.iter().enumerate() {
                let call_count = sent[first..].iter().take_while(|&&at| at < from + time).count() as f64;
                let capacity = self.warmup_ratio(&self.servers[id], from) * self.scenario.calls_per_s;
                let n = multiple * capacity * time as f64 / SECOND as f64;
                largest = largest.max(call_count / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        (largest, self.sent.values().map(Vec::len).sum())
    }
}

const BASE: Scenario = Scenario {
    balancers: 300,
    servers: 40,
    replaced_per_mille: 600,
    within: 7 * SECOND,
    restarted_per_mille: 0,
    calls_per_s: 40.0,
    load: 0.5,
    burst: 1.0,
    slow_start: (0.12, 22 * SECOND),
    overload: (2.5, 1_500_000),
};

fn assert_no_overload(scenario: Scenario) {
    assert_no_overload_for_seeds(scenario, 1..=2);
}

fn assert_no_overload_for_seeds(scenario: Scenario, seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let fleet = Fleet::simulate(scenario, seed);
        let (largest, sent) = fleet.largest_load();
        println!(
            "{scenario:?}: largest load {largest:.2} of the limit, {sent} sent, {} served",
            fleet.served
        );
        assert!(
            sent as f64 > 5.0 * scenario.calls_per_s,
            "new servers got too few calls: {sent} sent, {scenario:?}"
        );
        assert!(largest <= 1.0, "{largest} times the limit of a new server, {scenario:?}");
    }
}

#[test]
fn three_hundred_balancers_do_not_overload_new_servers() {
    assert_no_overload(BASE);
    assert_no_overload(Scenario { load: 1.1, ..BASE });
}

#[test]
fn restarted_balancers_do_not_overload_new_servers() {
    assert_no_overload(Scenario { restarted_per_mille: 700, within: SECOND, ..BASE });
}

#[test]
fn a_fleet_of_mostly_new_servers_is_not_overloaded() {
    assert_no_overload(Scenario { replaced_per_mille: 900, within: SECOND / 2, ..BASE });
}

#[test]
fn fewer_balancers_with_other_limits_do_not_overload_new_servers() {
    assert_no_overload(Scenario {
        balancers: 6,
        servers: 12,
        replaced_per_mille: 250,
        within: SECOND,
        load: 0.8,
        ..BASE
    });
    assert_no_overload(Scenario {
        balancers: 60,
        slow_start: (0.3, 10 * SECOND),
        overload: (3.0, 2 * SECOND),
        load: 0.8,
        ..BASE
    });
    assert_no_overload(Scenario {
        balancers: 1,
        servers: 8,
        replaced_per_mille: 400,
        slow_start: (0.05, 60 * SECOND),
        ..BASE
    });
}

/// Few balancers, some of which restart, with a burst of calls and servers that can serve few calls at first.
#[test]
fn a_burst_with_restarted_balancers_does_not_overload_new_servers() {
    let with_burst = Scenario {
        servers: 12,
        replaced_per_mille: 250,
        within: SECOND,
        restarted_per_mille: 300,
        calls_per_s: 10.0,
        load: 0.65,
        burst: 1.6,
        ..BASE
    };
    for balancers in [20, 24, 30] {
        assert_no_overload_for_seeds(Scenario { balancers, ..with_burst }, 1..=20);
        assert_no_overload_for_seeds(Scenario { balancers, replaced_per_mille: 90, ..with_burst }, 1..=20);
        assert_no_overload_for_seeds(
            Scenario {
                balancers,
                calls_per_s: 25.0,
                slow_start: (0.2, 12 * SECOND),
                overload: (2.2, SECOND),
                ..with_burst
            },
            1..=10,
        );
    }
}
