//! Statistics of a run.

use super::TICK;
use flaxhead_zones::{CommandResponse, Micros, PlanEvent, Rejection};
use std::collections::BTreeMap;

/// Change of a weight in a split, against its last direction, above which it counts as a reversal.
const MIN_REVERSAL_WEIGHT: u32 = 1_500;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunStats {
    pub report_count: u64,
    pub max_report_bytes: usize,
    pub command_results: BTreeMap<u64, Result<CommandResponse, Rejection>>,
    pub events: Vec<(Micros, PlanEvent)>,
    /// Number of published plans.
    pub plan_changes: u32,
    /// By zone: how long the traffic of processes that follow the plan has exceeded the capacity without a
    /// break.
    planned_overload: Vec<Micros>,
    pub max_planned_overload: Vec<Micros>,
    /// By zone: the traffic of processes that follow the plan relative to the capacity, as an average over a
    /// second.
    planned_load: Vec<f64>,
    pub max_planned_load: Vec<f64>,
    /// By zone: all traffic relative to the capacity, as an average over a second.
    total_load: Vec<f64>,
    /// By zone: how long that average has exceeded the capacity without a break.
    total_overload: Vec<Micros>,
    pub max_total_overload: Vec<Micros>,
    pub requested: f64,
    pub rejected: f64,
    pub served: f64,
    pub rejected_in_tick: f64,
    /// By origin and target: the extreme of the split's weight in its present direction, whether that is
    /// upwards, and the number of reversals.
    weights: Vec<(u32, Option<bool>, u32)>,
}

impl RunStats {
    pub fn new(zone_count: usize) -> RunStats {
        RunStats {
            planned_overload: vec![0; zone_count],
            max_planned_overload: vec![0; zone_count],
            planned_load: vec![0.0; zone_count],
            max_planned_load: vec![0.0; zone_count],
            total_load: vec![0.0; zone_count],
            total_overload: vec![0; zone_count],
            max_total_overload: vec![0; zone_count],
            ..RunStats::default()
        }
    }

    /// Resets everything but the results of commands.
    pub fn reset(&mut self) {
        *self = RunStats {
            command_results: self.command_results.clone(),
            ..RunStats::new(self.planned_overload.len())
        };
    }

    pub(super) fn record_event(&mut self, now: Micros, event: PlanEvent) {
        self.plan_changes += u32::from(event.kind == "plan");
        self.events.push((now, event));
    }

    pub(super) fn record_tick(
        &mut self,
        _: Micros,
        (planned, total, capacity): (&[f64], &[f64], &[f64]),
        (requested, rejected, served): (f64, f64, f64),
        weights: &[Option<u32>],
    ) {
        for zone in 0..capacity.len() {
            let load = if capacity[zone] > 0.0 { planned[zone] / capacity[zone] } else { 0.0 };
            // Arrivals vary from tick to tick, so the load is averaged over a second.
            self.planned_load[zone] += (load - self.planned_load[zone]) * 0.05;
            self.max_planned_load[zone] = self.max_planned_load[zone].max(self.planned_load[zone]);
            self.planned_overload[zone] = if load > 1.02 { self.planned_overload[zone] + TICK } else { 0 };
            self.max_planned_overload[zone] =
                self.max_planned_overload[zone].max(self.planned_overload[zone]);
            let load = if capacity[zone] > 0.0 { total[zone] / capacity[zone] } else { 0.0 };
            self.total_load[zone] += (load - self.total_load[zone]) * 0.05;
            self.total_overload[zone] =
                if self.total_load[zone] > 1.02 { self.total_overload[zone] + TICK } else { 0 };
            self.max_total_overload[zone] = self.max_total_overload[zone].max(self.total_overload[zone]);
        }
        self.requested += requested;
        self.rejected += rejected;
        self.served += served;
        self.rejected_in_tick = rejected;
        // Weights are only known while there is a leader.
        if self.weights.is_empty() && weights.iter().all(Option::is_some) {
            self.weights = weights.iter().map(|weight| (weight.unwrap_or(0), None, 0)).collect();
        }
        for (history, weight) in self.weights.iter_mut().zip(weights) {
            let Some(weight) = *weight else { continue };
            let (extreme, is_rising, reversals) = history;
            // A weight that moves far enough back from its extreme has reversed.
            match *is_rising {
                Some(true) if weight >= *extreme => *extreme = weight,
                Some(false) if weight <= *extreme => *extreme = weight,
                _ if weight.abs_diff(*extreme) > MIN_REVERSAL_WEIGHT => {
                    *reversals += u32::from(is_rising.is_some());
                    (*extreme, *is_rising) = (weight, Some(weight > *extreme));
                }
                _ => {}
            }
        }
    }

    /// Maximum number of reversals of a weight.
    pub fn max_reversals(&self) -> u32 {
        self.weights.iter().map(|(_, _, reversals)| *reversals).max().unwrap_or(0)
    }

    /// Time from `start` to the first event of this kind and subject at or after it.
    pub fn first_event(&self, start: Micros, kind: &str, subject: &str) -> Option<Micros> {
        let mut events = self.events.iter().filter(|(at, _)| *at >= start);
        events.find(|(_, event)| event.kind == kind && event.subject == subject).map(|(at, _)| at - start)
    }
}
