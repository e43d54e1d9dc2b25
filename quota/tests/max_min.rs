//! Allocations of random demands, compared with a reference that uses neither sorting nor rounding: it finds
//! the number of permits per weight by bisection.

use flaxhead_quota::max_min::{allocate_by_weight, allocate_max_min, reallocate, reallocate_tenants, Demand};
use proptest::prelude::*;

/// Returns the weighted max-min fair allocation in fractions of permits, as a reference.
fn fair_allocation(total: u32, demands: &[Demand]) -> Vec<f64> {
    let minimums: f64 = demands.iter().map(|demand| f64::from(demand.minimum)).sum();
    let permits_at = |level: f64, demand: &Demand| {
        let max = f64::from(demand.wanted.max(demand.minimum));
        let (low, max) = if minimums >= f64::from(total) {
            (0.0, f64::from(demand.minimum))
        } else {
            (f64::from(demand.minimum), max)
        };
        (level * demand.weight.max(1) as f64).clamp(low, max)
    };
    let (mut low, mut high) = (0.0, f64::from(u32::MAX));
    for _ in 0..200 {
        let level = (low + high) / 2.0;
        let sum: f64 = demands.iter().map(|demand| permits_at(level, demand)).sum();
        if sum > f64::from(total) {
            high = level
        } else {
            low = level
        }
    }
    demands.iter().map(|demand| permits_at(low, demand)).collect()
}

fn demands() -> impl Strategy<Value = Vec<Demand>> {
    let fields = (1u64..2_000, 0u32..6, 0u32..60);
    let demand = fields.prop_map(|(weight, min_permits, wanted_permits)| Demand {
        weight,
        minimum: min_permits,
        wanted: wanted_permits,
    });
    proptest::collection::vec(demand, 1..14)
}

fn sum(permits: &[u32]) -> u32 {
    permits.iter().sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn permits_are_within_one_of_the_fair_allocation(total in 0u32..400, demands in demands()) {
        let permits = allocate_max_min(total, &demands);
        for ((permits, fair), demand) in permits.iter().zip(fair_allocation(total, &demands)).zip(&demands) {
            prop_assert!((f64::from(*permits) - fair).abs() < 1.0 + 1e-6, "{permits} vs {fair}, {demand:?}");
            prop_assert!(*permits <= demand.wanted.max(demand.minimum));
        }
        let total_wanted = demands.iter().map(|demand| demand.wanted.max(demand.minimum)).sum::<u32>();
        prop_assert_eq!(sum(&permits), total.min(total_wanted));
    }

    #[test]
    fn all_permits_are_allocated_and_all_demands_met_if_possible(total in 0u32..900, demands in demands()) {
        let permits = reallocate(total, &demands, &[]);
        prop_assert_eq!(sum(&permits), total);
        if demands.iter().map(|demand| demand.wanted.max(demand.minimum)).sum::<u32>() <= total {
            prop_assert!(permits
                .iter()
                .zip(&demands)
                .all(|(permits, demand)| *permits >= demand.wanted.max(demand.minimum)));
        }
    }

    /// Guards against hysteresis that keeps an unfair allocation. Whatever the previous allocation was, each
    /// claimant ends less than two permits below its fair allocation, and less than three above it if all
    /// permits are claimed. Minimums are met, and every claimant with demand has a permit if there are enough
    /// permits.
    #[test]
    fn a_previous_allocation_is_kept_only_within_the_tolerance(
        total in 0u32..400,
        demands in demands(),
        near in proptest::collection::vec(0u32..3, 14),
        far_factor in proptest::option::of(0u32..100),
    ) {
        let near = allocate_max_min(total, &demands)
            .into_iter()
            .zip(near)
            .map(|(permits, offset)| (permits + offset).saturating_sub(1));
        let previous: Vec<u32> =
            near.map(|permits| far_factor.map_or(permits, |factor| factor * permits % 97)).collect();
        let permits = reallocate(total, &demands, &previous);
        prop_assert_eq!(sum(&permits), total);
        let is_demand_met = sum(&allocate_max_min(total, &demands)) < total;
        let minimums: u32 = demands.iter().map(|demand| demand.minimum.max(demand.wanted.min(1))).sum();
        for ((permits, fair), demand) in permits.iter().zip(fair_allocation(total, &demands)).zip(&demands) {
            prop_assert!(f64::from(*permits) > fair - 2.0 - 1e-6, "{permits} vs {fair}, {demand:?}");
            if !is_demand_met {
                prop_assert!(f64::from(*permits) < fair + 3.0 + 1e-6, "{permits} vs {fair}, {demand:?}");
            }
            if allocate_max_min(total, &demands).iter().all(|permits| *permits >= 1) && minimums <= total {
                prop_assert!(*permits >= demand.minimum.max(demand.wanted.min(1)), "{permits}, {demand:?}");
            }
        }
    }

    #[test]
    fn steady_demand_moves_no_permits(
        total in 0u32..400,
        demands in demands(),
        previous in proptest::collection::vec(0u32..100, 14),
    ) {
        for reallocate in [reallocate, reallocate_tenants] {
            let first = reallocate(total, &demands, &previous);
            prop_assert_eq!(reallocate(total, &demands, &first), first);
        }
    }

    /// Guards against permits that move back and forth with a demand that alternates by one call.
    #[test]
    fn an_alternating_demand_does_not_move_permits(
        total in 40u32..400,
        demands in demands(),
        claimant in 0usize..14,
    ) {
        let claimant = claimant % demands.len();
        let mut higher = demands.clone();
        higher[claimant].wanted += 1;
        for reallocate in [reallocate, reallocate_tenants] {
            let settled = reallocate(total, &higher, &reallocate(total, &demands, &[]));
            let mut permits = settled.clone();
            for _ in 0..3 {
                for demands in [&demands, &higher] {
                    permits = reallocate(total, demands, &permits);
                    prop_assert_eq!(&permits, &settled);
                }
            }
        }
    }

    #[test]
    fn equal_demands_get_equal_allocations(total in 0u32..400, demands in demands()) {
        prop_assert_eq!(allocate_max_min(total, &demands), allocate_max_min(total, &demands));
        let weights: Vec<u64> = demands.iter().map(|demand| demand.weight).collect();
        prop_assert_eq!(sum(&allocate_by_weight(total, &weights)), total);
    }
}

#[test]
fn a_tenant_with_a_tiny_weight_gets_its_minimum() {
    let demand = |weight| Demand { weight, minimum: 1, wanted: 50 };
    assert_eq!(allocate_max_min(10, &[demand(1_000_000), demand(1), demand(1)]), [8, 1, 1]);
}

/// Guards against hysteresis that lets a tenant keep a lent permit although its owner wants the permit back.
#[test]
fn lent_permits_return_when_all_tenants_are_short() {
    let demand = |wanted_permits| Demand { weight: 1, minimum: 1, wanted: wanted_permits };
    assert_eq!(
        reallocate_tenants(32, &[demand(60), demand(40), Demand { minimum: 0, ..demand(0) }], &[17, 15, 0]),
        [16, 16, 0]
    );
    // The second tenant wants 14 permits and keeps 15. Otherwise a permit would move whenever its demand
    // changes by one call.
    assert_eq!(reallocate_tenants(32, &[demand(60), demand(14)], &[17, 15]), [17, 15]);
}

#[test]
fn unclaimed_permits_are_divided_by_weight() {
    let demand = |weight, wanted_permits| Demand { weight, minimum: 0, wanted: wanted_permits };
    assert_eq!(allocate_max_min(40, &[demand(500, 5), demand(300, 90), demand(200, 90)]), [5, 21, 14]);
}
