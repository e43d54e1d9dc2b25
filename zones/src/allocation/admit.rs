//! What is admitted where not all can be.
use super::flow::Flow;
use super::AllocationInput;

/// Where a class does not fit whole, it is filled in so many rounds, so that all zones get about the same part.
const ROUND_COUNT: u64 = 32;

/// By origin and class, how much is admitted.
pub type AdmittedDemand = Vec<Vec<u64>>;

/// The largest flow, class by class, the first one first. A later class never takes from an earlier one: a flow that
/// is made larger moves what others have, and lowers nobody's sum.
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

/// One class; by origin, how much of it.
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
            // One that was left short once gets no more: nothing that comes later frees a way for it.
            if *admitted >= round_limit(*demand, round - 1) {
                *admitted += flow.augment(origin, round_limit(*demand, round) - *admitted);
            }
        }
    }
    admitted
}
