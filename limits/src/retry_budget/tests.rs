use super::*;
use proptest::prelude::*;

const WITHOUT_MIN_RATE: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, min_per_second: 0.0, max_tokens: 10.0 };

#[test]
fn five_first_attempts_earn_one_retry() {
    let mut budget = RetryBudget::new(WITHOUT_MIN_RATE, 0);
    assert!(!budget.try_acquire(0), "the budget starts empty without a minimum rate");
    (0..5).for_each(|_| budget.record_first_attempt(0));
    assert!(budget.try_acquire(0) && !budget.try_acquire(0));
    assert_eq!((budget.denied(), budget.time_until_retry()), (2, None));
}

#[test]
fn the_minimum_rate_allows_retries_without_traffic() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 2.0, max_tokens: 4.0 }, 0);
    assert!(budget.try_acquire(0) && budget.try_acquire(0) && !budget.try_acquire(0));
    assert_eq!(budget.time_until_retry(), Some(500_000));
    assert!(!budget.try_acquire(499_999) && budget.try_acquire(500_000));
    let mut idle =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 2.0, max_tokens: 4.0 }, 0);
    let allowed = (0..9).filter(|_| idle.try_acquire(3_600_000_000)).count();
    assert_eq!(allowed, 4, "an hour without traffic accumulates at most max_tokens");
}

#[test]
fn a_clock_that_goes_back_adds_no_tokens() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { ratio: 0.0, min_per_second: 1.0, max_tokens: 1.0 }, 10_000_000);
    assert!(budget.try_acquire(10_000_000));
    assert!(
        !budget.try_acquire(1_000_000) && !budget.try_acquire(10_500_000) && budget.try_acquire(11_000_000)
    );
}

proptest! {
    #[test]
    fn retries_never_exceed_the_ratio_the_minimum_rate_and_the_maximum_tokens(
        steps in prop::collection::vec((any::<bool>(), 0_u64..200_000), 1..400),
        earned_ratio in 0.0..1.0_f64, rate in 0.0..50.0_f64, capacity in 1.0..50.0_f64,
    ) {
        let config = RetryBudgetConfig { ratio: earned_ratio, min_per_second: rate, max_tokens: capacity };
        let (mut budget, mut now, mut initial, mut retries) = (RetryBudget::new(config, 0), 0, 0_u32, 0_u32);
        for (is_first, elapsed) in steps {
            now += elapsed;
            if is_first {
                budget.record_first_attempt(now);
                initial += 1;
            } else {
                retries += u32::from(budget.try_acquire(now));
            }
        }
        let limit = rate.min(capacity) + f64::from(initial) * earned_ratio + now as f64 / 1e6 * rate;
        prop_assert!(f64::from(retries) <= limit + 1e-6, "{retries} exceeds {limit}");
    }
}
