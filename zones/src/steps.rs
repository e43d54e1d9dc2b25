//! Bounded steps that move the plan towards the allocation for the present demand and capacity.

use crate::allocation::{
    admission_level, admit, admitted_demand, normalized_weights, route, AdmissionLevel, AllocationInput,
    TOTAL_WEIGHT,
};
use crate::settings::{scale_per_mille, FailoverSettings};

/// Distribution of one zone's traffic over all zones, which are identified by their indices.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TrafficSplit {
    /// Part of the traffic that is admitted.
    pub admission: AdmissionLevel,
    /// Weight of each zone in the admitted traffic, [`TOTAL_WEIGHT`] in all.
    pub weights: Vec<u32>,
}

/// The splits by origin; `None`: the origin reaches no zone.
pub type TrafficSplits = Vec<Option<TrafficSplit>>;

/// Input of a step of the plan: the demand to distribute, and the limits of each zone.
#[derive(Clone, Debug)]
pub struct PlanStep<'a> {
    /// Present demand, capacity and links.
    pub input: AllocationInput<'a>,
    /// Capacity of each zone once all its hosts are warm, in thousandths of a call per second.
    pub warm_capacity: Vec<u64>,
    /// Whether each zone is in its recovery period after an outage.
    pub recovering: Vec<bool>,
    /// Whether operators have evacuated each zone.
    pub evacuated: Vec<bool>,
}

/// Load on each zone if the present demand is split in this way, in thousandths of a call per second.
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
    /// Splits after the next step from the `current` ones. Without any (`None`), they are the whole
    /// allocation at once, without the limits of a step.
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
        // The load of an evacuated zone is lowered only as far as other zones can take it without rejecting
        // calls.
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

    /// Demand that the zones can admit with the present evacuations but could not with those in `evacuated`,
    /// in thousandths of a call per second. It compares full allocations, without the limits of a step.
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

/// Whether the next splits differ enough from the current ones to publish them.
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
        // The end of all rejections is published even if only a small part of the demand was rejected.
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
