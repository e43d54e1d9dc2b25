//! Admission of demand that may exceed the capacity.

use super::flow::Flow;
use super::AllocationInput;

/// Rounds in which a class is admitted that does not fit as a whole, so that all origins get about the same
/// ratio.
const ROUND_COUNT: u64 = 32;

/// Admitted demand by origin and priority class, in thousandths of a call per second.
pub type AdmittedDemand = Vec<Vec<u64>>;

/// Admits the maximum flow, class by class in the order of priority. A class never reduces what was admitted
/// of an earlier one: an augmented flow may move traffic to other zones, but it lowers no origin's sum.
pub fn admit(input: &AllocationInput<'_>) -> AdmittedDemand {
    let mut flow = Flow::new(input);
    let classes = input.demand.iter().map(Vec::len).max().unwrap_or(0);
    let mut admitted: AdmittedDemand = vec![Vec::new(); input.demand.len()];
    for class in 0..classes {
        let demand: Vec<u64> =
            input.demand.iter().map(|demand| demand.get(class).copied().unwrap_or(0)).collect();
        let class_amounts = admit_class(&mut flow, &demand);
        admitted.iter_mut().zip(class_amounts).for_each(|(admitted, amount)| admitted.push(amount));
    }
    for (admitted, demand) in admitted.iter_mut().zip(&input.demand) {
        admitted.truncate(demand.len());
    }
    admitted
}

/// Admits one class. Returns the admitted amount of each origin.
fn admit_class(flow: &mut Flow, demand: &[u64]) -> Vec<u64> {
    let mut trial_flow = flow.clone();
    if demand.iter().enumerate().all(|(origin, demand)| trial_flow.augment(origin, *demand) == *demand) {
        *flow = trial_flow;
        return demand.to_vec();
    }
    let mut admitted = vec![0; demand.len()];
    for round in 1..=ROUND_COUNT {
        let round_limit = |demand: u64, round: u64| {
            (u128::from(demand) * u128::from(round) / u128::from(ROUND_COUNT)) as u64
        };
        for (origin, (admitted, demand)) in admitted.iter_mut().zip(demand).enumerate() {
            // An origin that did not reach an earlier limit is done, as later augmentations free no capacity
            // for it.
            if *admitted >= round_limit(*demand, round - 1) {
                *admitted += flow.augment(origin, round_limit(*demand, round) - *admitted);
            }
        }
    }
    admitted
}
