//! Unit tests of `budget`.

use super::*;
use proptest::prelude::*;

const NONE_FLOWS: BudgetSpec = BudgetSpec { share: 0.2, flow: 0.0, most: 10.0 };

#[test]
fn one_repeat_for_five_first_tries() {
    let mut budget = Budget::new(NONE_FLOWS, 0);
    assert!(!budget.again(0), "nothing has been saved up");
    (0..5).for_each(|_| budget.first(0));
    assert!(budget.again(0) && !budget.again(0));
    assert_eq!((budget.denied(), budget.wait()), (2, None));
}

#[test]
fn what_flows_lets_a_quiet_client_repeat() {
    let mut budget = Budget::new(BudgetSpec { share: 0.0, flow: 2.0, most: 4.0 }, 0);
    assert!(budget.again(0) && budget.again(0) && !budget.again(0));
    assert_eq!(budget.wait(), Some(500_000));
    assert!(!budget.again(499_999) && budget.again(500_000));
    let mut idle = Budget::new(BudgetSpec { share: 0.0, flow: 2.0, most: 4.0 }, 0);
    let after = (0..9).filter(|_| idle.again(3_600_000_000)).count();
    assert_eq!(after, 4, "an hour of quiet saves up no more than the most");
}

#[test]
fn a_clock_that_goes_back_gives_nothing() {
    let mut budget = Budget::new(BudgetSpec { share: 0.0, flow: 1.0, most: 1.0 }, 10_000_000);
    assert!(budget.again(10_000_000));
    assert!(!budget.again(1_000_000) && !budget.again(10_500_000) && budget.again(11_000_000));
}

proptest! {
    #[test]
    fn repeats_never_pass_the_share_the_flow_and_what_can_be_saved_up(
        steps in prop::collection::vec((any::<bool>(), 0_u64..200_000), 1..400),
        share in 0.0..1.0_f64, flow in 0.0..50.0_f64, most in 1.0..50.0_f64,
    ) {
        let spec = BudgetSpec { share, flow, most };
        let (mut budget, mut now, mut first, mut again) = (Budget::new(spec, 0), 0, 0_u32, 0_u32);
        for (is_first, passed) in steps {
            now += passed;
            if is_first {
                budget.first(now);
                first += 1;
            } else {
                again += u32::from(budget.again(now));
            }
        }
        let limit = flow.min(most) + f64::from(first) * share + now as f64 / 1e6 * flow;
        prop_assert!(f64::from(again) <= limit + 1e-6, "{again} past {limit}");
    }
}
