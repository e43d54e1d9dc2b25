//! Time of the admission controller for a call from its request to the release of its permit, with free
//! permits and with queues of all tenants.
//!
//! `cargo bench -p flaxhead-quota`
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]
#![expect(missing_docs, reason = "criterion makes a public function without docs")]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use flaxhead_quota::admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, ClassTiming, QueuedVerdict,
    Verdict, Verdicts,
};
use flaxhead_quota::{Allowance, TenantAllowance};
use std::hint::black_box;

/// Admission controller with its clock and the tenants of the calls in flight, in order of release.
struct Bench {
    gate: AdmissionController,
    now: u64,
    out: std::collections::VecDeque<usize>,
    tenant_count: usize,
    verdicts: Verdicts,
}

impl Bench {
    fn new(tenant_count: usize, all: Option<u32>, waiting: usize) -> Bench {
        let classes = vec![ClassTiming { latency_objective: 100_000, deadline: 1 << 40 }];
        let rules = AdmissionConfig { classes, tenant_count, max_queue: 1_024, max_retry_after: 1_000_000 };
        let units =
            |n: usize| TenantAllowance { cap: Some(1_000), guaranteed: Some(1), fair_share: 4 + n as u32 };
        let allowance = Allowance {
            tenants: (0..tenant_count).map(units).collect(),
            total: all,
            expires_at: Some(1 << 50),
        };
        let gate = AdmissionController::new(0, rules, allowance, false);
        let mut bench = Bench { gate, now: 1, out: Default::default(), tenant_count, verdicts: Vec::new() };
        (0..64 + waiting).for_each(|n| bench.ask(n));
        bench
    }

    fn ask(&mut self, n: usize) {
        let tenant = n % self.tenant_count;
        let asked = AdmissionRequest { tenant: Some(tenant), class: 0, deadline: self.now + (1 << 40) };
        if self.gate.request(self.now, asked) == AdmissionDecision::Decided(Verdict::Admitted) {
            self.out.push_back(tenant);
        }
    }

    /// Starts a call and ends the oldest one.
    fn call(&mut self, n: usize) {
        self.now += 50;
        self.ask(n);
        if let Some(tenant) = self.out.pop_front() {
            self.gate.release(self.now, Some(tenant), &mut self.verdicts);
        }
        while let Some(QueuedVerdict { call, verdict }) = self.verdicts.pop() {
            if verdict == Verdict::Admitted {
                self.out.push_back(call.tenant());
            }
        }
    }
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("gate");
    for tenant_count in [1, 8, 32] {
        for (name, all, waiting) in [("free", None, 0), ("waiting", Some(64), 256)] {
            let mut bench = Bench::new(tenant_count, all, waiting);
            let mut n = 0;
            group.bench_function(BenchmarkId::new(name, tenant_count), |b| {
                b.iter(|| {
                    n += 1;
                    bench.call(black_box(n));
                })
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
