//! Allocations compared with a reference without sorting or rounding: bisection for the exact level of
//! permits per weight.

use flaxhead_quota::max_min::{allocate_by_weight, allocate_max_min, reallocate, reallocate_tenants, Demand};
use proptest::prelude::*;

/// Returns the fair allocation in fractional permits.
fn exact(total: u32, wants: &[Demand]) -> Vec<f64> {
    let least: f64 = wants.iter().map(|want| f64::from(want.minimum)).sum();
    let at = |level: f64, want: &Demand| {
        let most = f64::from(want.wanted.max(want.minimum));
        let (low, most) = if least >= f64::from(total) {
            (0.0, f64::from(want.minimum))
        } else {
            (f64::from(want.minimum), most)
        };
        (level * want.weight.max(1) as f64).clamp(low, most)
    };
    let (mut low, mut high) = (0.0, f64::from(u32::MAX));
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        let sum: f64 = wants.iter().map(|want| at(middle, want)).sum();
        if sum > f64::from(total) {
            high = middle
        } else {
            low = middle
        }
    }
    wants.iter().map(|want| at(low, want)).collect()
}

fn wants() -> impl Strategy<Value = Vec<Demand>> {
    let want = (1u64..2_000, 0u32..6, 0u32..60);
    let want = want.prop_map(|(weight, least, demand)| Demand { weight, minimum: least, wanted: demand });
    proptest::collection::vec(want, 1..14)
}

fn sum(units: &[u32]) -> u32 {
    units.iter().sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn fills_to_within_a_unit_of_the_exact_level(total in 0u32..400, wants in wants()) {
        let units = allocate_max_min(total, &wants);
        for ((units, exact), want) in units.iter().zip(exact(total, &wants)).zip(&wants) {
            prop_assert!((f64::from(*units) - exact).abs() < 1.0 + 1e-6, "{units} for {exact}, {want:?}");
            prop_assert!(*units <= want.wanted.max(want.minimum));
        }
        let wanted = wants.iter().map(|want| want.wanted.max(want.minimum)).sum::<u32>();
        prop_assert_eq!(sum(&units), total.min(wanted));
    }

    #[test]
    fn gives_all_units_and_all_that_is_wanted_where_there_is_enough(total in 0u32..900, wants in wants()) {
        let units = reallocate(total, &wants, &[]);
        prop_assert_eq!(sum(&units), total);
        if wants.iter().map(|want| want.wanted.max(want.minimum)).sum::<u32>() <= total {
            prop_assert!(units.iter().zip(&wants).all(|(units, want)| *units >= want.wanted.max(want.minimum)));
        }
    }

    /// Guards against hysteresis that keeps an unfair allocation. An allocation ends within two permits of
    /// the fair level, one for rounding and one for the tolerance, apart from lent permits. Minimums are met,
    /// and no claimant is left without a permit if there is one for each.
    #[test]
    fn keeps_a_division_only_while_it_is_good(
        total in 0u32..400,
        wants in wants(),
        near in proptest::collection::vec(0u32..3, 14),
        far in proptest::option::of(0u32..100),
    ) {
        let near = allocate_max_min(total, &wants).into_iter().zip(near).map(|(units, by)| (units + by).saturating_sub(1));
        let old: Vec<u32> = near.map(|units| far.map_or(units, |far| far * units % 97)).collect();
        let units = reallocate(total, &wants, &old);
        prop_assert_eq!(sum(&units), total);
        let enough = sum(&allocate_max_min(total, &wants)) < total;
        let least: u32 = wants.iter().map(|want| want.minimum.max(want.wanted.min(1))).sum();
        for ((units, exact), want) in units.iter().zip(exact(total, &wants)).zip(&wants) {
            prop_assert!(f64::from(*units) > exact - 2.0 - 1e-6, "{units} for {exact}, {want:?}");
            if !enough {
                prop_assert!(f64::from(*units) < exact + 3.0 + 1e-6, "{units} for {exact}, {want:?}");
            }
            if allocate_max_min(total, &wants).iter().all(|units| *units >= 1) && least <= total {
                prop_assert!(*units >= want.minimum.max(want.wanted.min(1)), "{units}, {want:?}");
            }
        }
    }

    #[test]
    fn steady_demand_moves_nothing(
        total in 0u32..400,
        wants in wants(),
        old in proptest::collection::vec(0u32..100, 14),
    ) {
        for reallocate in [reallocate, reallocate_tenants] {
            let first = reallocate(total, &wants, &old);
            prop_assert_eq!(reallocate(total, &wants, &first), first);
        }
    }

    /// Guards against oscillation: a demand that alternates by one call moves no more permits after the first
    /// change.
    #[test]
    fn a_swing_of_one_call_does_not_swing_what_is_granted(total in 40u32..400, wants in wants(), at in 0usize..14) {
        let at = at % wants.len();
        let mut higher = wants.clone();
        higher[at].wanted += 1;
        for reallocate in [reallocate, reallocate_tenants] {
            let settled = reallocate(total, &higher, &reallocate(total, &wants, &[]));
            let mut units = settled.clone();
            for _ in 0..3 {
                for wants in [&wants, &higher] {
                    units = reallocate(total, wants, &units);
                    prop_assert_eq!(&units, &settled);
                }
            }
        }
    }

    #[test]
    fn the_same_wishes_get_the_same(total in 0u32..400, wants in wants()) {
        prop_assert_eq!(allocate_max_min(total, &wants), allocate_max_min(total, &wants));
        let weights: Vec<u64> = wants.iter().map(|want| want.weight).collect();
        prop_assert_eq!(sum(&allocate_by_weight(total, &weights)), total);
    }
}

#[test]
fn a_tenant_of_the_least_weight_is_not_shut_out() {
    let want = |weight| Demand { weight, minimum: 1, wanted: 50 };
    assert_eq!(allocate_max_min(10, &[want(1_000_000), want(1), want(1)]), [8, 1, 1]);
}

/// Guards against a lent permit that is never returned because it is within the tolerance.
#[test]
fn where_all_want_more_than_they_get_nobody_keeps_a_unit_of_another() {
    let want = |demand| Demand { weight: 1, minimum: 1, wanted: demand };
    assert_eq!(
        reallocate_tenants(32, &[want(60), want(40), Demand { minimum: 0, ..want(0) }], &[17, 15, 0]),
        [16, 16, 0]
    );
    // The second has enough, so its demand changes by single calls and the permit stays.
    assert_eq!(reallocate_tenants(32, &[want(60), want(14)], &[17, 15]), [17, 15]);
}

#[test]
fn what_one_leaves_goes_to_the_others_by_weight() {
    let want = |weight, demand| Demand { weight, minimum: 0, wanted: demand };
    assert_eq!(allocate_max_min(40, &[want(500, 5), want(300, 90), want(200, 90)]), [5, 21, 14]);
}
