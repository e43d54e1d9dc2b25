//! Properties of the allocation over random inputs, and examples.

use flaxhead_zones::allocation::{
    admission_level, admit, admitted_demand, normalized_weights, route, AllocationInput, LinkState,
    TOTAL_WEIGHT,
};
use flaxhead_zones::{Topology, TopologySettings};
use proptest::prelude::*;

fn topology(zones: usize) -> Topology {
    let zones = (0..zones).map(|zone| (format!("z{zone}"), format!("r{}", zone / 2))).collect();
    Topology::new(&TopologySettings { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() })
        .expect("valid settings")
}

type RandomInput = (Vec<Vec<u64>>, Vec<u64>, Vec<Vec<LinkState>>);

fn random_input() -> impl Strategy<Value = RandomInput> {
    (1..6_usize).prop_flat_map(|zones| {
        let link = prop_oneof![
            5 => Just(LinkState::Open),
            1 => Just(LinkState::LastResort),
            2 => Just(LinkState::Closed)
        ];
        let amount = || prop_oneof![1 => Just(0), 4 => 0..1_000_u64, 1 => 0..50_000_000_u64];
        (
            prop::collection::vec(prop::collection::vec(amount(), 0..4), zones),
            prop::collection::vec(amount(), zones),
            prop::collection::vec(prop::collection::vec(link, zones), zones),
        )
    })
}

fn total(admitted: &[Vec<u64>]) -> u64 {
    admitted.iter().flatten().sum()
}

proptest! {
    #[test]
    fn all_admitted_demand_is_routed_within_capacity_and_over_usable_links(
        (demand, capacity, links) in random_input()
    ) {
        let topology = topology(capacity.len());
        let input = AllocationInput {
            topology: &topology,
            demand: demand.clone(),
            capacity: capacity.clone(),
            links: links.clone()
        };
        let admitted = admit(&input);
        let flow = route(&input, &admitted);
        for origin in 0..capacity.len() {
            let sum: u64 = admitted[origin].iter().sum();
            prop_assert_eq!(flow[origin].iter().sum::<u64>(), sum);
            prop_assert!(
                admitted[origin].iter().zip(&demand[origin]).all(|(admitted, demand)| admitted <= demand)
            );
            prop_assert!((0..capacity.len())
                .all(|target| links[origin][target] != LinkState::Closed || flow[origin][target] == 0));
            if let Some(weights) = normalized_weights(&flow[origin]) {
                prop_assert_eq!(weights.iter().sum::<u32>(), TOTAL_WEIGHT);
                prop_assert!(
                    (0..capacity.len()).all(|target| flow[origin][target] > 0 || weights[target] == 0)
                );
            }
            // The admission level lets no more through than was admitted, and no less but for rounding.
            let level = admission_level(&demand[origin], &admitted[origin]);
            prop_assert!(admitted_demand(&demand[origin], &level) <= sum);
            prop_assert!(
                sum - admitted_demand(&demand[origin], &level) <= sum / 1_000 + 50_000_000 / 9_000,
                "{level:?}"
            );
        }
        for target in 0..capacity.len() {
            prop_assert!(flow.iter().map(|amounts| amounts[target]).sum::<u64>() <= capacity[target]);
        }
    }

    #[test]
    fn added_capacity_never_lowers_the_admitted_demand(
        (demand, capacity, links) in random_input(), zone in 0..6_usize, increase in 1..10_000_u64
    ) {
        let topology = topology(capacity.len());
        let input = AllocationInput { topology: &topology, demand, capacity, links };
        let mut larger_input = input.clone();
        let zone = zone % larger_input.capacity.len();
        larger_input.capacity[zone] += increase;
        let (before, after) = (admit(&input), admit(&larger_input));
        prop_assert!(total(&after) >= total(&before));
        // The same holds for the classes with the highest priority alone.
        for class in 0..4 {
            let total_up_to_class = |admitted: &[Vec<u64>]| -> u64 {
                admitted.iter().flat_map(|classes| classes.iter().take(class + 1)).sum()
            };
            prop_assert!(total_up_to_class(&after) >= total_up_to_class(&before), "class {class}");
        }
    }

    #[test]
    fn no_call_leaves_its_zone_while_each_zone_has_enough_capacity((demand, _, _) in random_input()) {
        let topology = topology(demand.len());
        let capacity: Vec<u64> = demand.iter().map(|demand| demand.iter().sum()).collect();
        let links = vec![vec![LinkState::Open; capacity.len()]; capacity.len()];
        let input = AllocationInput { topology: &topology, demand, capacity: capacity.clone(), links };
        let flow = route(&input, &admit(&input));
        prop_assert!((0..capacity.len()).all(|zone| flow[zone][zone] == capacity[zone]));
    }
}

#[test]
fn excess_demand_goes_to_the_cheapest_zones_in_proportion_to_free_capacity() {
    let topology = topology(5);
    // Zone 0 cannot use its own capacity. Zone 1 is in the same region and has little free capacity. Of the
    // zones in other regions, 2 has twice as much as 3, and 4 is a last resort.
    let mut links = vec![vec![LinkState::Open; 5]; 5];
    links[0][0] = LinkState::Closed;
    links[0][4] = LinkState::LastResort;
    let demand = vec![vec![700], vec![900], vec![0], vec![0], vec![0]];
    let input =
        AllocationInput { topology: &topology, demand, capacity: vec![0, 1_000, 1_000, 500, 1_000], links };
    let flow = route(&input, &admit(&input));
    assert_eq!(flow[1], [0, 900, 0, 0, 0]);
    assert_eq!(flow[0], [0, 100, 400, 200, 0]);
}

#[test]
fn the_class_with_the_lowest_priority_is_rejected_first_at_all_origins() {
    let topology = topology(3);
    let mut links = vec![vec![LinkState::Open; 3]; 3];
    links.iter_mut().for_each(|links| links[0] = LinkState::Closed);
    let demand = vec![vec![500, 500], vec![500, 500], vec![500, 500]];
    let input = AllocationInput { topology: &topology, demand, capacity: vec![0, 1_000, 1_000], links };
    let admitted = admit(&input);
    assert!(admitted.iter().all(|classes| classes[0] == 500), "{admitted:?}");
    let second_class: Vec<u64> = admitted.iter().map(|classes| classes[1]).collect();
    assert_eq!(second_class.iter().sum::<u64>(), 500);
    // Each origin gets about a third.
    assert!(second_class.iter().all(|amount| amount.abs_diff(167) <= 20), "{second_class:?}");
}

#[test]
fn an_origin_with_one_link_gets_the_capacity_that_others_can_do_without() {
    let topology = topology(3);
    // Zone 0 can use zones 1 and 2, and zone 1 only zone 2.
    let links = [
        [LinkState::Closed, LinkState::Open, LinkState::Open],
        [LinkState::Closed, LinkState::Closed, LinkState::Open],
        [LinkState::Open; 3],
    ];
    let demand = vec![vec![100], vec![100], vec![0]];
    let links = links.map(|links| links.to_vec()).to_vec();
    let input = AllocationInput { topology: &topology, demand, capacity: vec![0, 100, 100], links };
    let flow = route(&input, &admit(&input));
    assert_eq!((flow[0][1], flow[1][2]), (100, 100));
}
