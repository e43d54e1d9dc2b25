//! Unit tests of the queues.

use super::*;
use flaxhead_policy::ClassId;
use flaxhead_quota::admission::ClassTiming;
use flaxhead_quota::TenantAllowance;
use std::future::Future;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::sleep;

fn ask() -> CallSpec {
    let deadline = Instant::now() + Duration::from_secs(4);
    CallSpec { class: ClassId(0), tenant: None, deadline, resent: false, max_attempts: CallSpec::UNBOUNDED }
}

fn in_flight_and_queued(queues: &AdmissionQueues) -> (u32, u32) {
    let stats = queues.view().tenants[0];
    (stats.in_flight, stats.queued)
}

/// AdmissionQueues with one unit, on paused time.
fn run<F: Future<Output = ()>>(test: impl FnOnce(AdmissionQueues) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let classes = vec![ClassTiming { latency_objective: 1_000_000, deadline: 4_000_000 }];
        let config = AdmissionConfig { classes, tenant_count: 1, max_queue: 9, max_retry_after: 0 };
        let tenants = vec![TenantAllowance { cap: Some(1), guaranteed: Some(1), fair_share: 0 }];
        let queues =
            AdmissionQueues::new(config, Allowance { tenants, total: None, expires_at: None }, false);
        let serving = queues.clone();
        spawn_local(async move { serving.serve().await });
        test(queues).await;
    });
}

#[test]
fn the_permit_of_a_cancelled_attempt_is_returned_once_its_host_has_seen_that() {
    run(|queues| async move {
        let mut first = queues.admit(&ask()).await.expect("free");
        let (waiting, began) = (queues.clone(), Instant::now());
        let second = spawn_local(async move { waiting.admit(&ask()).await.map(|_| began.elapsed()) });
        yield_now().await;
        first.attempt_abandoned();
        drop(first);
        assert_eq!(in_flight_and_queued(&queues), (1, 1));
        let waited = second.await.expect("it ends").expect("its turn comes");
        assert!((100..110).contains(&waited.as_millis()), "{waited:?}");
        // One that was answered since then gives its unit back at once.
        let mut third = queues.admit(&ask()).await.expect("free");
        third.attempt_abandoned();
        sleep(Duration::from_millis(200)).await;
        drop(third);
        assert_eq!(in_flight_and_queued(&queues), (0, 0));
    });
}

#[test]
fn a_client_that_goes_as_it_is_admitted_leaves_its_permit_to_the_next() {
    run(|queues| async move {
        let first = queues.admit(&ask()).await.expect("free");
        let mut waits = [0, 1].map(|_| {
            let queues = queues.clone();
            Box::pin(async move { queues.admit(&ask()).await })
        });
        for waits in &mut waits {
            assert!(tokio::time::timeout(Duration::ZERO, waits).await.is_err());
        }
        let [goes, stays] = waits;
        drop(first);
        assert_eq!(in_flight_and_queued(&queues), (1, 1), "its verdict is on its way");
        drop(goes);
        assert_eq!(in_flight_and_queued(&queues), (1, 0));
        drop(stays.await.expect("the unit came"));
        assert_eq!(in_flight_and_queued(&queues), (0, 0));
    });
}
