//! The times at which the plan changes, and its publication.

use super::state::{traffic_splits, PlannerRun};
use crate::plan::{OriginSplit, PairHealth, ZoneCapacity};
use crate::report::ZoneHealth;
use crate::steps::{is_significant_change, TrafficSplits};
use flaxhead_lease::{Micros, Version};

/// Minimum time between two assessments of the reports.
const ASSESSMENT_INTERVAL_US: Micros = 50_000;

impl PlannerRun<'_, '_> {
    /// Assesses the reports and moves the plan by a step if either is due.
    pub(crate) fn step(&mut self) {
        let now = self.context.now;
        if now < self.planner.next_assessment_at {
            return;
        }
        self.planner.next_assessment_at = now + ASSESSMENT_INTERVAL_US;
        // Without hosts from discovery, the capacity of the zones is not known.
        if self.context.facts.application.is_empty() {
            return;
        }
        let expired_hold =
            self.context.state().hold.as_ref().filter(|hold| hold.age > self.settings.max_hold);
        if let Some(by) = expired_hold.map(|hold| hold.by.clone()) {
            self.record("release", "", format!("the hold by {by} reached its maximum duration"));
            self.context.state_mut().hold = None;
            self.planner.next_step_at = now;
            self.publish();
        }
        self.assess();
        if !self.is_demand_known() || !(self.planner.is_urgent || now >= self.planner.next_step_at) {
            return;
        }
        if now >= self.planner.next_step_at {
            self.update_achieved_capacity();
        }
        self.planner.next_step_at = now + self.settings.step_interval;
        let is_urgent = std::mem::take(&mut self.planner.is_urgent);
        if self.context.state().hold.is_some() && !is_urgent {
            return;
        }
        let step = self.plan_step();
        let current = traffic_splits(self.context.state(), self.topology);
        let is_first = self.context.state().splits.is_empty();
        let next = step.next((!is_first).then_some(&current), self.settings);
        if is_first || is_urgent || is_significant_change(&step, &current, &next, self.settings) {
            let capacities = step.input.capacity.clone();
            self.write_plan(&next, &capacities);
        }
    }

    fn write_plan(&mut self, next: &TrafficSplits, capacities: &[u64]) {
        let (topology, now) = (self.topology, self.context.now);
        let zone_name = |zone: usize| topology.name(zone).to_owned();
        let origin_split = |(origin, split): (usize, &Option<crate::steps::TrafficSplit>)| {
            let split = split.as_ref()?;
            let nonzero = split.weights.iter().enumerate().filter(|(_, weight)| **weight > 0);
            let weights = nonzero.map(|(target, weight)| (zone_name(target), *weight)).collect();
            Some(OriginSplit { origin: zone_name(origin), admission: split.admission, weights })
        };
        let splits = next.iter().enumerate().filter_map(origin_split).collect();
        let zone_capacity = |(zone, capacity): (usize, &u64)| ZoneCapacity {
            zone: zone_name(zone),
            calls_per_second: (*capacity / 1_000).min(u64::from(u32::MAX)) as u32,
            achieved_per_mille: self.planner.achieved_per_mille[zone],
        };
        let capacities = capacities.iter().enumerate().map(zone_capacity).collect();
        let mut pairs = Vec::new();
        for observer in 0..topology.count() {
            for target in 0..topology.count() {
                let pair = self.planner.health_matrix.pair(observer, target);
                if pair.health != ZoneHealth::Healthy || pair.recent_outages > 0 {
                    let (health, witnesses, recent_outages) =
                        (pair.health as u8, pair.witnesses, pair.recent_outages);
                    let age = now.saturating_sub(pair.since);
                    pairs.push(PairHealth {
                        observer: zone_name(observer),
                        target: zone_name(target),
                        health,
                        witnesses,
                        recent_outages,
                        age,
                    });
                }
            }
        }
        let plan = self.context.state_mut();
        (plan.splits, plan.capacities, plan.pairs) = (splits, capacities, pairs);
        self.publish();
        let own_percentage = |(origin, split): (usize, &Option<crate::steps::TrafficSplit>)| {
            split.as_ref().map(|split| format!("{} {}%", topology.name(origin), split.weights[origin] / 100))
        };
        let own_percentages: Vec<String> = next.iter().enumerate().filter_map(own_percentage).collect();
        let version = self.context.state().version.to_string();
        self.record(
            "plan",
            "",
            format!("version {version}; traffic that stays in its zone: {}", own_percentages.join(", ")),
        );
    }

    /// Gives the plan the next version and replicates it.
    pub(super) fn publish(&mut self) {
        self.context.publish();
        let version = Version { ballot: Some(self.context.ballot().clone()), seq: self.context.state_seq() };
        self.context.state_mut().version = version;
    }
}
