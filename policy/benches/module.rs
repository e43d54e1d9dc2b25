//! Benchmarks of the events of one call and of updates of the endpoint list, for a busy proxy (one of three)
//! and for one of 300 with little traffic, with 10 to 5,000 servers.
//!
//! `cargo bench -p flaxhead-policy`

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use flaxhead_policy::*;
use std::hint::black_box;
use std::time::Duration;

const MS: Micros = 1_000;
const FLEETS: [u32; 4] = [10, 200, 1_000, 5_000];

/// A proxy with a steady request rate; calls are answered in the order of their arrival.
struct Proxy {
    balancer: Balancer,
    now: Micros,
    next: u64,
    /// Time between requests: 2,000 requests a second at a busy proxy, 50 at one of 300.
    interval: Micros,
    actions: Vec<Action>,
    in_flight: std::collections::VecDeque<(CallId, u32)>,
}

fn entry(server: u32, started_at: Micros) -> Entry {
    let (zone, cell, model) = (ZoneId(server % 3), CellId(server / 3), ModelId(server % 4));
    Entry { server: ServerId(server), zone, cell, model, started_at, ..Entry::default() }
}

impl Proxy {
    fn new(balancer_count: u32, fleet: u32, warming_count: u32) -> Proxy {
        let class = |objective: Micros| Class {
            objective,
            deadline: 4 * objective,
            priority_weight: 1.0,
            late_ratio: 0.5,
            idempotency: Idempotency::Idempotent,
        };
        let classes = vec![class(600 * MS), class(2_000 * MS), class(2_000 * MS), class(2_000 * MS)];
        // A slow start so long that new servers still warm up at the end of the benchmark.
        let safety = SafetyLimits { slow_start_window: 1 << 40, ..Settings::default().safety };
        let settings = Settings {
            classes,
            balancer_count,
            balancer_index: balancer_count / 2,
            safety,
            ..Settings::default()
        };
        let (balancer, in_flight) = (Balancer::new(7, settings), Default::default());
        let interval = if balancer_count > 100 { 20 * MS } else { MS / 2 };
        let mut proxy =
            Proxy { balancer, now: 1_000_000_000, next: 0, interval, actions: Vec::new(), in_flight };
        proxy.feed(Event::Start);
        let start = |n| if n < warming_count { proxy.now } else { 0 };
        let entries = (0..fleet).map(|n| entry(n, start(n))).collect();
        proxy.feed(Event::Members { kind: ListKind::Full, entries });
        (0..4_000).for_each(|_| proxy.call());
        proxy
    }

    fn feed(&mut self, event: Event) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            if let Action::Send { call, .. } = action {
                self.in_flight.push_back((*call, 0));
            }
        }
    }

    /// Passes the balancer one request, and the answer to the oldest attempt.
    fn call(&mut self) {
        self.now += self.interval;
        self.next += 1;
        let (call, class) = (CallId(self.next), ClassId((self.next % 4) as usize));
        self.feed(Event::Request { call, class, tenant: None, time_left: 2_400 * MS, resent: false });
        // Keeps as many attempts in flight as a latency of 55 ms leads to at this request rate.
        if self.in_flight.len() as u64 > 55 * MS / self.interval {
            if let Some((call, attempt)) = self.in_flight.pop_front() {
                let (outcome, elapsed, load) =
                    (Outcome::Served, 40 * MS + self.next % 30 * MS, LoadReport::default());
                self.feed(Event::Outcome { call, attempt, outcome, elapsed, complete: true, load });
            }
        }
        black_box(&self.actions);
    }
}

fn calls(criterion: &mut Criterion) {
    for (name, balancer_count, warming_every) in
        [("busy", 3, 0), ("thin", 300, 0), ("thin, a tenth cold", 300, 10)]
    {
        let mut group = criterion.benchmark_group(format!("a call and its outcome, {name}"));
        for fleet in FLEETS {
            let warming_count = fleet.checked_div(warming_every).unwrap_or(0);
            let mut proxy = Proxy::new(balancer_count, fleet, warming_count);
            group.bench_function(BenchmarkId::from_parameter(fleet), |bencher| bencher.iter(|| proxy.call()));
        }
    }
}

fn lists(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a list, thin");
    for fleet in FLEETS {
        let mut proxy = Proxy::new(300, fleet, 0);
        let whole: Vec<Entry> = (0..fleet).map(|n| entry(n, 0)).collect();
        group.bench_function(BenchmarkId::new("whole, unchanged", fleet), |bencher| {
            let list_update = |entries| Event::Members { kind: ListKind::Full, entries };
            bencher.iter_batched(
                || whole.clone(),
                |entries| proxy.feed(list_update(entries)),
                BatchSize::SmallInput,
            );
        });
        let mut proxy = Proxy::new(300, fleet, 0);
        let mut round = 0;
        group.bench_function(BenchmarkId::new("one host leaves or comes", fleet), |bencher| {
            bencher.iter(|| {
                round += 1;
                let state = if round % 2 == 0 { State::Ready } else { State::Removed };
                let entries = vec![Entry { state, ..entry(fleet / 2, 0) }];
                proxy.feed(Event::Members { kind: ListKind::Delta, entries });
            });
        });
    }
}

criterion_group! {
    name = module;
    config = Criterion::default()
        .sample_size(20)
        .without_plots()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(1));
    targets = calls, lists
}
criterion_main!(module);
