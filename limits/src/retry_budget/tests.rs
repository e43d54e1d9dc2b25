//! Unit tests of `retry_budget`.

use super::*;
use proptest::prelude::*;

const WITHOUT_RATE: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, min_per_second: 0.0, max_tokens: 10.0 };

#[test]
fn one_retry_for_five_first_attempts() {
    let mut budget = RetryBudget::new(WITHOUT_RATE, 0);
    assert!(!budget.try_acquire(0), "nothing has been saved up");
    (0..5).for_each(|_| budget.record_first_attempt(0));
    assert!(budget.try_acquire(0) && !budget.try_acquire(0));
    assert_eq!((budget.denied(), budget.time_until_retry()), (2, None));
}

#[test]
fn the_minimum_rate_lets_a_quiet_client_retry() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 2.0, max_tokens: 4.0 }, 0);
    assert!(budget.try_acquire(0) && budget.try_acquire(0) && !budget.try_acquire(0));
    assert_eq!(budget.time_until_retry(), Some(500_000));
    assert!(!budget.try_acquire(499_999) && budget.try_acquire(500_000));
    let mut idle =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 2.0, max_tokens: 4.0 }, 0);
    let after = (0..9).filter(|_| idle.try_acquire(3_600_000_000)).count();
    assert_eq!(after, 4, "an hour of quiet saves up no more than the most");
}

#[test]
fn a_clock_that_goes_back_refills_nothing() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 1.0, max_tokens: 1.0 }, 10_000_000);
    assert!(budget.try_acquire(10_000_000));
    assert!(
        !budget.try_acquire(1_000_000) && !budget.try_acquire(10_500_000) && budget.try_acquire(11_000_000)
    );
}

proptest! {
    #[test]
    fn retries_never_pass_the_ratio_the_minimum_rate_and_what_can_be_saved_up(
        steps in prop::collection::vec((any::<bool>(), 0_u64..200_000), 1..400),
        share in 0.0..1.0_f64, flow in 0.0..50.0_f64, most in 1.0..50.0_f64,
    ) {
        let spec = RetryBudgetConfig { ratio: share, min_per_second: flow, max_tokens: most };
        let (mut budget, mut now, mut first, mut again) = (RetryBudget::new(spec, 0), 0, 0_u32, 0_u32);
        for (is_first, passed) in steps {
            now += passed;
            if is_first {
                budget.record_first_attempt(now);
                first += 1;
            } else {
                again += u32::from(budget.try_acquire(now));
            }
        }
        let limit = flow.min(most) + f64::from(first) * share + now as f64 / 1e6 * flow;
        prop_assert!(f64::from(again) <= limit + 1e-6, "{again} past {limit}");
    }
}
