//! Routing of the admitted demand to zones.

use super::admit::AdmittedDemand;
use super::flow::Flow;
use super::AllocationInput;

/// Places the admitted demand by progressive filling: first in the origin's own zone, then over links in the
/// order of their cost. Origins that compete for zones at the same cost share them in proportion to what they
/// still have to place, and each uses zones in proportion to their free capacity. Demand that is left after
/// that, because others took capacity that they could have had elsewhere, is placed by moving theirs.
///
/// Returns amounts by origin and target, in thousandths of a call per second.
pub fn route(input: &AllocationInput<'_>, admitted: &AdmittedDemand) -> Vec<Vec<u64>> {
    let count = input.topology.count();
    let mut flow = Flow::new(input);
    let mut unplaced: Vec<u64> =
        (0..count).map(|origin| admitted.get(origin).map_or(0, |classes| classes.iter().sum())).collect();
    let mut costs: Vec<u64> = (0..count)
        .flat_map(|origin| {
            flow.targets(origin).iter().map(|target| input.cost(origin, *target)).collect::<Vec<_>>()
        })
        .collect();
    costs.sort_unstable();
    costs.dedup();
    for cost in costs {
        // Each round either fills a zone or places all demand of an origin, which bounds their number.
        for _ in 0..=2 * count {
            if !place_at_cost(input, &mut flow, &mut unplaced, cost) {
                break;
            }
        }
    }
    for (origin, amount) in unplaced.iter().enumerate() {
        flow.augment(origin, *amount);
    }
    flow.amounts
}

/// Runs one round of filling at one cost. Returns whether anything was placed.
fn place_at_cost(input: &AllocationInput<'_>, flow: &mut Flow, unplaced: &mut [u64], cost: u64) -> bool {
    let count = unplaced.len();
    let mut bids = vec![vec![0_u128; count]; count];
    for origin in (0..count).filter(|origin| unplaced[*origin] > 0) {
        let candidates = flow.targets(origin).iter().copied();
        let candidates: Vec<usize> = candidates
            .filter(|target| input.cost(origin, *target) == cost && flow.remaining[*target] > 0)
            .collect();
        let free_capacity: u128 = candidates.iter().map(|target| u128::from(flow.remaining[*target])).sum();
        let wanted = u128::from(unplaced[origin]).min(free_capacity);
        for target in candidates {
            bids[origin][target] =
                (wanted * u128::from(flow.remaining[target])).div_ceil(free_capacity.max(1));
        }
    }
    let mut placed = false;
    for target in 0..count {
        let total_bid: u128 = bids.iter().map(|bids| bids[target]).sum();
        let remaining = u128::from(flow.remaining[target]);
        for origin in 0..count {
            let granted = if total_bid > remaining {
                bids[origin][target] * remaining / total_bid
            } else {
                bids[origin][target]
            };
            // A bid that rounds down to nothing gets one unit, so that the round makes progress.
            let granted = if granted == 0 && bids[origin][target] > 0 { 1 } else { granted };
            let amount =
                (granted.min(u128::from(u64::MAX)) as u64).min(flow.remaining[target]).min(unplaced[origin]);
            if amount > 0 {
                flow.place(origin, target, amount);
                unplaced[origin] -= amount;
                placed = true;
            }
        }
    }
    placed
}
