//! Time that the admission controller takes for one call, from its request to the release of its permit: with
//! free permits, and with queued calls of all tenants.
//!
//! `cargo bench -p flaxhead-quota`
#![expect(clippy::cast_possible_truncation, reason = "the counts of a benchmark are small")]
#![expect(missing_docs, reason = "criterion generates a public function without docs")]

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use flaxhead_quota::admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, ClassTiming, QueuedVerdict,
    Verdict, Verdicts,
};
use flaxhead_quota::{Allowance, TenantAllowance};
use std::hint::black_box;

/// Admission controller with its current time, and with the tenants of the calls in flight in the order in
/// which they end.
struct Workload {
    controller: AdmissionController,
    now: u64,
    in_flight_tenants: std::collections::VecDeque<usize>,
    tenant_count: usize,
    verdicts: Verdicts,
}

impl Workload {
    fn new(tenant_count: usize, max_total: Option<u32>, queued_count: usize) -> Workload {
        let classes = vec![ClassTiming { latency_objective: 100_000, deadline: 1 << 40 }];
        let config = AdmissionConfig { classes, tenant_count, max_queue: 1_024, max_retry_after: 1_000_000 };
        let tenant_allowance = |index: usize| TenantAllowance {
            cap: Some(1_000),
            guaranteed: Some(1),
            fair_share: 4 + index as u32,
        };
        let allowance = Allowance {
            tenants: (0..tenant_count).map(tenant_allowance).collect(),
            total: max_total,
            expires_at: Some(1 << 50),
        };
        let controller = AdmissionController::new(0, config, allowance, false);
        let mut workload = Workload {
            controller,
            now: 1,
            in_flight_tenants: Default::default(),
            tenant_count,
            verdicts: Vec::new(),
        };
        (0..64 + queued_count).for_each(|index| workload.request(index));
        workload
    }

    fn request(&mut self, index: usize) {
        let tenant = index % self.tenant_count;
        let admission_request =
            AdmissionRequest { tenant: Some(tenant), class: 0, deadline: self.now + (1 << 40) };
        if self.controller.request(self.now, admission_request)
            == AdmissionDecision::Decided(Verdict::Admitted)
        {
            self.in_flight_tenants.push_back(tenant);
        }
    }

    /// Requests admission of a new call, and ends the call that has been in flight for longest.
    fn run_call(&mut self, index: usize) {
        self.now += 50;
        self.request(index);
        if let Some(tenant) = self.in_flight_tenants.pop_front() {
            self.controller.release(self.now, Some(tenant), &mut self.verdicts);
        }
        while let Some(QueuedVerdict { call, verdict }) = self.verdicts.pop() {
            if verdict == Verdict::Admitted {
                self.in_flight_tenants.push_back(call.tenant());
            }
        }
    }
}

fn bench_admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gate");
    for tenant_count in [1, 8, 32] {
        for (name, max_total, queued_count) in [("free", None, 0), ("waiting", Some(64), 256)] {
            let mut workload = Workload::new(tenant_count, max_total, queued_count);
            let mut index = 0;
            group.bench_function(BenchmarkId::new(name, tenant_count), |bencher| {
                bencher.iter(|| {
                    index += 1;
                    workload.run_call(black_box(index));
                })
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_admission);
criterion_main!(benches);
