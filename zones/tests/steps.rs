//! Properties of a step of the plan, over random inputs and random current plans.

use flaxhead_zones::allocation::{
    admitted_demand, normalized_weights, AdmissionLevel, AllocationInput, LinkState, TOTAL_WEIGHT,
};
use flaxhead_zones::steps::{is_significant_change, planned_load, PlanStep, TrafficSplit, TrafficSplits};
use flaxhead_zones::{FailoverSettings, Topology, TopologySettings};
use proptest::collection::vec;
use proptest::prelude::*;

fn topology(zones: usize) -> Topology {
    let zones = (0..zones).map(|zone| (format!("z{zone}"), format!("r{}", zone / 2))).collect();
    Topology::new(&TopologySettings { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() })
        .expect("valid settings")
}

#[derive(Clone, Debug)]
struct RandomStep {
    demand: Vec<Vec<u64>>,
    capacity: Vec<u64>,
    warm_capacity: Vec<u64>,
    links: Vec<Vec<LinkState>>,
    recovering: Vec<bool>,
    evacuated: Vec<bool>,
    current: TrafficSplits,
}

fn random_step() -> impl Strategy<Value = RandomStep> {
    (2..6_usize).prop_flat_map(|zones| {
        let link = prop_oneof![
            6 => Just(LinkState::Open),
            1 => Just(LinkState::LastResort),
            2 => Just(LinkState::Closed)
        ];
        let amount = || prop_oneof![1 => Just(0), 5 => 1_000..100_000_u64];
        let split = (vec(0..100_u64, zones), 0..4_u8, 0..=TOTAL_WEIGHT as u16).prop_map(
            |(amounts, full_classes, partial_ratio)| {
                normalized_weights(&amounts).map(|weights| TrafficSplit {
                    admission: AdmissionLevel { full_classes, partial_ratio },
                    weights,
                })
            },
        );
        let demand = vec(vec(amount(), 1..4), zones);
        let capacity = (vec(10_000..200_000_u64, zones), vec(0..=1_000_u64, zones));
        let flags = (vec(prop::bool::weighted(0.2), zones), vec(prop::bool::weighted(0.2), zones));
        (demand, capacity, vec(vec(link, zones), zones), flags, vec(split, zones)).prop_map(
            |(demand, (warm_capacity, warmth), links, (recovering, evacuated), current)| {
                let capacity = warm_capacity
                    .iter()
                    .zip(warmth)
                    .map(|(warm_capacity, warmth)| warm_capacity * warmth / 1_000)
                    .collect();
                RandomStep { demand, capacity, warm_capacity, links, recovering, evacuated, current }
            },
        )
    })
}

fn plan_step<'a>(topology: &'a Topology, random: &RandomStep) -> PlanStep<'a> {
    let RandomStep { demand, capacity, warm_capacity, links, recovering, evacuated, .. } = random.clone();
    PlanStep {
        input: AllocationInput { topology, demand, capacity, links },
        warm_capacity,
        recovering,
        evacuated,
    }
}

proptest! {
    #[test]
    fn no_step_loads_a_zone_beyond_its_capacity_or_its_maximum_increase(random in random_step()) {
        let (topology, settings) = (topology(random.capacity.len()), FailoverSettings::default());
        let step = plan_step(&topology, &random);
        let next = step.next(Some(&random.current), &settings);
        let (before, after) = (planned_load(&step.input, &random.current), planned_load(&step.input, &next));
        // Rounding raises a weight by one at the most.
        let total_demand: u64 = random.demand.iter().flatten().sum();
        let rounding = total_demand / u64::from(TOTAL_WEIGHT) + random.capacity.len() as u64 + 1;
        for zone in 0..random.capacity.len() {
            let max_increase = if random.recovering[zone] {
                settings.recovery_step_per_mille
            } else {
                settings.max_step_per_mille
            };
            let max_increase = if random.evacuated[zone] {
                0
            } else {
                random.warm_capacity[zone] * u64::from(max_increase) / 1_000
            };
            prop_assert!(after[zone] <= random.capacity[zone] + rounding);
            prop_assert!(
                after[zone] <= before[zone] + max_increase + rounding,
                "{zone}: {before:?} {after:?}"
            );
        }
        for (origin, split) in next.iter().enumerate() {
            let Some(split) = split else { continue };
            prop_assert_eq!(split.weights.iter().sum::<u32>(), TOTAL_WEIGHT);
            prop_assert!((0..random.capacity.len())
                .all(|target| random.links[origin][target] != LinkState::Closed
                    || split.weights[target] == 0));
        }
    }

    #[test]
    fn steps_with_constant_input_converge_and_then_change_nothing(random in random_step()) {
        let (topology, settings) = (topology(random.capacity.len()), FailoverSettings::default());
        let step = plan_step(&topology, &random);
        let mut current = random.current.clone();
        let mut changes = 0;
        for _ in 0..200 {
            let next = step.next(Some(&current), &settings);
            if is_significant_change(&step, &current, &next, &settings) {
                changes += 1;
                current = next;
            }
        }
        prop_assert!(changes <= 100, "{changes} changes");
        let next = step.next(Some(&current), &settings);
        prop_assert!(!is_significant_change(&step, &current, &next, &settings), "{current:?} {next:?}");
    }

    #[test]
    fn evacuating_a_zone_rejects_no_calls(random in random_step()) {
        let (topology, settings) = (topology(random.capacity.len()), FailoverSettings::default());
        let mut random = random;
        random.evacuated = vec![false; random.capacity.len()];
        let without = plan_step(&topology, &random).next(Some(&random.current), &settings);
        random.evacuated[0] = true;
        let with = plan_step(&topology, &random).next(Some(&random.current), &settings);
        let total_admitted = |splits: &TrafficSplits| -> u64 {
            let pairs = random.demand.iter().zip(splits);
            pairs
                .map(|(demand, split)| split.as_ref()
                    .map_or(0, |split| admitted_demand(demand, &split.admission)))
                .sum()
        };
        // The load of the zone does not increase while it is evacuated. Only this increase may be missing.
        let increase = random.warm_capacity[0] * u64::from(settings.max_step_per_mille) / 1_000;
        prop_assert!(
            total_admitted(&with) + increase + 1_000 >= total_admitted(&without),
            "{without:?} {with:?}"
        );
    }
}
