//! Assessment of the processes' reports: demand, capacity and health of the zones.

use super::state::PlannerRun;
use crate::allocation::{AllocationInput, LinkState};
use crate::application_types::PlanEvent;
use crate::health_matrix::{HealthChange, HealthVotes, ZoneStatus};
use crate::hosts;
use crate::report::{ReportError, ZoneHealth};
use crate::settings::scale_per_mille;
use crate::steps::PlanStep;
use flaxhead_lease::Process;
use std::collections::BTreeMap;

/// Factor on the achieved capacity of a degraded zone, at each step, so that its queues drain.
const DEGRADED_FACTOR_PER_MILLE: u32 = 930;
/// Increase of the achieved capacity of a zone that is not degraded, at each step.
const RECOVERY_PER_MILLE: u32 = 2;
/// Minimum of the achieved capacity.
const MIN_ACHIEVED_PER_MILLE: u32 = 250;
/// Maximum plausible demand of one process, as a multiple of the capacity of all hosts.
const MAX_DEMAND_RATIO: u64 = 4;

impl PlannerRun<'_, '_> {
    pub(super) fn record(&mut self, kind: &'static str, subject: &str, reason: String) {
        self.context.record_event(PlanEvent { kind, subject: subject.to_owned(), reason });
    }

    /// Capacity of each zone now, and once all its hosts are warm, in thousandths of a call per second.
    fn capacities(&self) -> (Vec<u64>, Vec<u64>) {
        let (mut current, warm) =
            hosts::zone_capacities(&self.context.facts.application, self.topology, self.settings);
        current
            .iter_mut()
            .zip(&self.planner.achieved_per_mille)
            .for_each(|(capacity, achieved)| *capacity = scale_per_mille(*capacity, *achieved));
        (current, warm)
    }

    /// Updates demand and health with the latest report of each process.
    pub(super) fn assess(&mut self) {
        let (topology, settings, now) = (self.topology, self.settings, self.context.now);
        let max_calls_per_second = self.capacities().1.iter().sum::<u64>() / 1_000 * MAX_DEMAND_RATIO;
        let mut votes = HealthVotes::new(topology);
        let mut demand: Vec<Vec<u64>> = vec![Vec::new(); topology.count()];
        let mut completed = vec![0_u64; topology.count()];
        let mut rejected_reports: BTreeMap<Process, ReportError> = BTreeMap::new();
        for (process, peer) in self.context.processes().filter(|(_, peer)| self.context.heard_recently(peer))
        {
            let Some(report) = peer.report() else { continue };
            let is_fresh =
                peer.last_report_at().is_some_and(|at| now.saturating_sub(at) <= settings.max_report_age);
            let own_zone = report.check(topology, max_calls_per_second.max(1)).and_then(|own_zone| {
                if is_fresh {
                    votes.add(own_zone, report, topology, settings)?;
                }
                Ok(own_zone)
            });
            match own_zone {
                Ok(own_zone) => {
                    for observation in &report.observations {
                        let zone = topology.index(&observation.zone).and_then(|zone| completed.get_mut(zone));
                        zone.into_iter()
                            .for_each(|completed| *completed += u64::from(observation.completed_per_second));
                    }
                    let sums = &mut demand[own_zone];
                    sums.resize(sums.len().max(report.demand.len()), 0);
                    sums.iter_mut()
                        .zip(&report.demand)
                        .for_each(|(sum, demand)| *sum += u64::from(*demand) * 1_000);
                }
                Err(error) => {
                    rejected_reports.insert(process.clone(), error);
                }
            }
        }
        // The event is recorded once for a process, and again only after one of its reports was accepted.
        let new = rejected_reports
            .iter()
            .filter(|(process, _)| !self.planner.rejected_reports.contains_key(process));
        let new: Vec<(String, String)> =
            new.map(|(process, error)| (process.name.to_string(), error.to_string())).collect();
        new.into_iter().for_each(|(subject, reason)| self.record("report rejected", &subject, reason));
        (self.planner.rejected_reports, self.planner.demand, self.planner.completed) =
            (rejected_reports, demand, completed);
        for (zone, (last_vote_at, since)) in self.planner.observed.iter_mut().enumerate() {
            if votes.vote_count(zone) > 0 {
                if now.saturating_sub(*last_vote_at) > settings.max_report_age {
                    *since = now;
                }
                *last_vote_at = now;
            }
        }
        for change in self.planner.health_matrix.update(now, &votes, settings) {
            self.record_change(&change);
        }
    }

    fn record_change(&mut self, change: &HealthChange) {
        let HealthChange { observer, target, current, witnesses, .. } = change;
        self.planner.is_urgent |= *current == ZoneHealth::Unavailable;
        let kind = match current {
            ZoneHealth::Healthy => "healthy",
            ZoneHealth::Degraded => "degraded",
            ZoneHealth::Unavailable => "unavailable",
        };
        let status = match self.planner.health_matrix.zone_status(*target) {
            ZoneStatus::Healthy => "healthy".to_owned(),
            ZoneStatus::Degraded => "degraded".to_owned(),
            ZoneStatus::Unavailable => "unavailable".to_owned(),
            ZoneStatus::UnavailableFrom(observers) => {
                let observers: Vec<&str> =
                    observers.into_iter().map(|observer| self.topology.name(observer)).collect();
                format!("unavailable from {}", observers.join(", "))
            }
        };
        let observer = self.topology.name(*observer);
        let reason =
            format!("from {observer}, by the votes of {witnesses} processes; status of the zone: {status}");
        self.record(kind, self.topology.name(*target), reason);
    }

    /// Whether two thirds of the processes have reported, or the leader has waited for a lease, and there is
    /// any demand.
    pub(super) fn is_demand_known(&self) -> bool {
        let process_count = self.context.processes().count();
        let heard_count =
            self.context.processes().filter(|(_, peer)| self.context.heard_recently(peer)).count();
        let has_waited =
            self.context.now.saturating_sub(self.planner.started_at) > self.context.config.lease_duration;
        (heard_count * 3 >= process_count * 2 || has_waited)
            && self.planner.demand.iter().flatten().any(|demand| *demand > 0)
    }

    /// Lowers the achieved capacity of degraded zones below their present throughput, and raises that of
    /// others slowly.
    pub(super) fn update_achieved_capacity(&mut self) {
        let (capacities, _) =
            hosts::zone_capacities(&self.context.facts.application, self.topology, self.settings);
        for (zone, achieved) in self.planner.achieved_per_mille.iter_mut().enumerate() {
            if self.planner.health_matrix.is_degraded(zone) {
                let throughput =
                    self.planner.completed[zone].saturating_mul(1_000_000) / capacities[zone].max(1);
                *achieved = (u64::from(*achieved).min(throughput) as u32 * DEGRADED_FACTOR_PER_MILLE / 1_000)
                    .max(MIN_ACHIEVED_PER_MILLE);
            } else {
                *achieved = (*achieved + RECOVERY_PER_MILLE).min(1_000);
            }
        }
    }

    /// Present demand, capacity and links, and the limits of each zone, for the next step of the plan.
    pub(super) fn plan_step(&self) -> PlanStep<'_> {
        let (topology, health_matrix) = (self.topology, &self.planner.health_matrix);
        let (now, (mut capacity, warm_capacity)) = (self.context.now, self.capacities());
        let is_unobserved =
            |zone: usize| now.saturating_sub(self.planner.observed[zone].0) > self.settings.max_report_age;
        // A zone without recent votes gets no traffic until trial calls show its health.
        capacity
            .iter_mut()
            .enumerate()
            .filter(|(zone, _)| is_unobserved(*zone))
            .for_each(|(_, capacity)| *capacity = 0);
        let link = |observer: usize, target: usize| match health_matrix.pair(observer, target).health {
            ZoneHealth::Healthy => LinkState::Open,
            ZoneHealth::Degraded => LinkState::LastResort,
            ZoneHealth::Unavailable => LinkState::Closed,
        };
        let links = (0..topology.count())
            .map(|observer| (0..topology.count()).map(|target| link(observer, target)).collect())
            .collect();
        let mut demand = self.planner.demand.clone();
        // A zone without demand is planned for one call per second, so that it has a split when its demand
        // begins.
        for demand in &mut demand {
            if demand.iter().all(|demand| *demand == 0) {
                *demand = vec![1_000];
            }
        }
        let is_newly_observed =
            |zone: usize| now.saturating_sub(self.planner.observed[zone].1) < self.settings.recovery_period;
        let is_recovering =
            |zone: usize| health_matrix.is_recovering(now, zone, self.settings) || is_newly_observed(zone);
        let recovering = (0..topology.count()).map(is_recovering).collect();
        let evacuated = (0..topology.count())
            .map(|zone| self.context.state().is_evacuated(topology.name(zone)))
            .collect();
        PlanStep {
            input: AllocationInput { topology, demand, capacity, links },
            warm_capacity,
            recovering,
            evacuated,
        }
    }
}
