//! How the plan moves on: towards what filling says, by bounded steps.
use crate::allocation::{
    admission_level, admit, admitted_demand, normalized_weights, route, AdmissionLevel, AllocationInput,
    TOTAL_WEIGHT,
};
use crate::settings::{scale_per_mille, FailoverSettings};

/// The traffic of one zone, by places.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TrafficSplit {
    /// How much is let through.
    pub admission: AdmissionLevel,

    /// By zone; they add up.
    pub weights: Vec<u32>,
}

/// By origin; `None`: it reaches nothing.
pub type TrafficSplits = Vec<Option<TrafficSplit>>;

/// What is around a step.
#[derive(Clone, Debug)]
pub struct PlanStep<'a> {
    /// What is asked for, what each zone can do now, and by which ways.
    pub input: AllocationInput<'a>,

    /// What each could do if all its hosts were warm.
    pub warm_capacity: Vec<u64>,

    /// Zones that are just back.
    pub recovering: Vec<bool>,

    /// Zones that operators have emptied.
    pub evacuated: Vec<bool>,
}

/// How much goes to each zone by these shares.
pub fn planned_load(input: &AllocationInput<'_>, splits: &TrafficSplits) -> Vec<u64> {
    let mut sums = vec![0_u64; input.topology.count()];
    for (demand, split) in input.demand.iter().zip(splits) {
        let Some(split) = split else { continue };
        let admitted = u128::from(admitted_demand(demand, &split.admission));
        for (sum, weight) in sums.iter_mut().zip(&split.weights) {
            *sum += (admitted * u128::from(*weight) / u128::from(TOTAL_WEIGHT)) as u64;
        }
    }
    sums
}

impl PlanStep<'_> {
    /// The next shares, from the ones in force; `None`: there are none, and the aim is gone to at once.
    pub fn next(&self, current: Option<&TrafficSplits>, settings: &FailoverSettings) -> TrafficSplits {
        let Some(current) = current else {
            let mut input = self.input.clone();
            (0..self.warm_capacity.len())
                .filter(|zone| self.evacuated[*zone])
                .for_each(|zone| input.capacity[zone] = 0);
            return allocate(&input);
        };
        let load = planned_load(&self.input, current);
        let mut input = self.input.clone();
        for (zone, capacity) in input.capacity.iter_mut().enumerate() {
            let max_step = if self.recovering[zone] {
                settings.recovery_step_per_mille
            } else {
                settings.max_step_per_mille
            };
            let max_increase =
                if self.evacuated[zone] { 0 } else { scale_per_mille(self.warm_capacity[zone], max_step) };
            *capacity = (*capacity).min(load[zone].saturating_add(max_increase));
        }
        let admitted_before: u64 = admit(&input).iter().flatten().sum();

        // A zone is emptied as fast as others take what it had, and no call is refused for it.
        for zone in (0..self.warm_capacity.len()).filter(|zone| self.evacuated[*zone]) {
            let previous = input.capacity[zone];
            input.capacity[zone] = previous.saturating_sub(
                scale_per_mille(self.warm_capacity[zone], settings.max_step_per_mille).max(1),
            );
            if admit(&input).iter().flatten().sum::<u64>() < admitted_before {
                input.capacity[zone] = previous;
            }
        }
        allocate(&input)
    }

    /// What could not be let through if these zones were empty, once all steps are done, beyond what cannot be now.
    pub fn shortfall(&self, evacuated: &[bool]) -> u64 {
        let total_admitted = |evacuated: &[bool]| -> u64 {
            let mut input = self.input.clone();
            input
                .capacity
                .iter_mut()
                .zip(evacuated)
                .filter(|(_, evacuated)| **evacuated)
                .for_each(|(capacity, _)| *capacity = 0);
            admit(&input).iter().flatten().sum()
        };
        total_admitted(&self.evacuated).saturating_sub(total_admitted(evacuated))
    }
}

fn allocate(input: &AllocationInput<'_>) -> TrafficSplits {
    let admitted = admit(input);
    let flow = route(input, &admitted);
    let split = |(origin, amounts): (usize, &Vec<u64>)| {
        let weights = normalized_weights(amounts)?;
        Some(TrafficSplit { admission: admission_level(&input.demand[origin], &admitted[origin]), weights })
    };
    flow.iter().enumerate().map(split).collect()
}

/// Whether two differ by enough that it is worth telling.
pub fn is_significant_change(
    step: &PlanStep<'_>,
    current: &TrafficSplits,
    next: &TrafficSplits,
    settings: &FailoverSettings,
) -> bool {
    let min_change_weight = settings.min_change_per_mille * TOTAL_WEIGHT / 1_000;
    let admission_differs = |origin: usize, before: &AdmissionLevel, after: &AdmissionLevel| {
        let demand = &step.input.demand[origin];
        let total = demand.iter().sum();
        let difference = admitted_demand(demand, before).abs_diff(admitted_demand(demand, after));

        // That nothing is refused any more is told, however little it was.
        let is_unrestricted =
            admitted_demand(demand, after) == total && before.full_classes != after.full_classes;
        is_unrestricted || difference > scale_per_mille(total, settings.min_change_per_mille)
    };
    let weight_differs = |target: usize, before: u32, after: u32| {
        before.abs_diff(after) > min_change_weight || (step.evacuated[target] && after == 0 && before > 0)
    };
    let split_differs = |origin: usize, before: &TrafficSplit, after: &TrafficSplit| {
        let mut weights = before.weights.iter().zip(&after.weights).enumerate();
        admission_differs(origin, &before.admission, &after.admission)
            || weights.any(|(target, (before, after))| weight_differs(target, *before, *after))
    };
    current.len() != next.len()
        || current.iter().zip(next).enumerate().any(|(origin, pair)| match pair {
            (Some(before), Some(after)) => split_differs(origin, before, after),
            (before, after) => before.is_some() != after.is_some(),
        })
}
