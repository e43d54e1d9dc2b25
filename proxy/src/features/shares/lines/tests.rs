//! Unit tests of `lines`.

use super::*;
use flaxhead_policy::ClassId;
use flaxhead_quota::gate::Class;
use flaxhead_quota::Units;
use std::future::Future;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::sleep;

fn ask() -> Ask {
    let deadline = Instant::now() + Duration::from_secs(4);
    Ask { class: ClassId(0), tenant: None, deadline, resent: false, attempts_most: Ask::UNBOUNDED }
}

fn in_hand(lines: &Lines) -> (u32, u32) {
    let shown = lines.shown().0[0];
    (shown.in_hand, shown.waiting)
}

/// Lines with one unit, on paused time.
fn run<F: Future<Output = ()>>(test: impl FnOnce(Lines) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let classes = vec![Class { aim: 1_000_000, deadline: 4_000_000 }];
        let rules = Rules { classes, tenants: 1, line_most: 9, max_retry_after: 0 };
        let tenants = vec![Units { cap: Some(1), own: Some(1), share: 0 }];
        let lines = Lines::new(rules, Allowance { tenants, all: None, until: None }, false);
        let serving = lines.clone();
        spawn_local(async move { serving.serve().await });
        test(lines).await;
    });
}

#[test]
fn the_unit_of_an_attempt_that_was_given_up_comes_back_once_its_host_has_seen_that() {
    run(|lines| async move {
        let mut first = lines.enter(&ask()).await.expect("free");
        let (waiting, began) = (lines.clone(), Instant::now());
        let second = spawn_local(async move { waiting.enter(&ask()).await.map(|_| began.elapsed()) });
        yield_now().await;
        first.cut();
        drop(first);
        assert_eq!(in_hand(&lines), (1, 1));
        let waited = second.await.expect("it ends").expect("its turn comes");
        assert!((100..110).contains(&waited.as_millis()), "{waited:?}");
        // One that was answered since then gives its unit back at once.
        let mut third = lines.enter(&ask()).await.expect("free");
        third.cut();
        sleep(Duration::from_millis(200)).await;
        drop(third);
        assert_eq!(in_hand(&lines), (0, 0));
    });
}

#[test]
fn a_client_that_goes_as_its_turn_comes_leaves_the_unit_to_the_next() {
    run(|lines| async move {
        let first = lines.enter(&ask()).await.expect("free");
        let mut waits = [0, 1].map(|_| {
            let lines = lines.clone();
            Box::pin(async move { lines.enter(&ask()).await })
        });
        for waits in &mut waits {
            assert!(tokio::time::timeout(Duration::ZERO, waits).await.is_err());
        }
        let [goes, stays] = waits;
        drop(first);
        assert_eq!(in_hand(&lines), (1, 1), "its verdict is on its way");
        drop(goes);
        assert_eq!(in_hand(&lines), (1, 0));
        drop(stays.await.expect("the unit came"));
        assert_eq!(in_hand(&lines), (0, 0));
    });
}
