//! The zones that a process may send calls to under the plan: never others than it has by itself.

use crate::allocation::{AdmissionLevel, TOTAL_WEIGHT};
use crate::application_types::ZoneApplication;
use crate::plan::Plan;
use crate::report::ZoneHealth;
use flaxhead_lease::{LocalReplica, Micros, Version};

/// Present state of a zone's hosts as the process itself sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth {
    /// Whether the process's endpoint list has hosts of the zone.
    pub is_listed: bool,
    /// Whether calls to all of these hosts fail.
    pub all_failing: bool,
}

/// A reason why a process chooses zones without a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum FallbackReason {
    /// No valid plan was received, or it is empty.
    #[error("no plan was received yet")]
    NoPlan,
    /// The process has started and is not on the roster yet.
    #[error("no leader has admitted this process yet")]
    NotAdmitted,
    /// The process was cut off or paused for longer than its lease.
    #[error("the lease of this process has expired: it was cut off or paused, and its plan may be outdated")]
    LeaseExpired,
    /// A later leader is known, and its plan was not received yet.
    #[error("a later leader was elected, and its plan was not received yet")]
    Superseded,
    /// The plan has no split for the process's own zone.
    #[error("the plan has no split for the traffic of this zone")]
    NoSplit,
    /// None of the zones in the split can be reached.
    #[error("no zone that the plan sends this zone's traffic to is reachable from here")]
    NoReachableZone,
}

/// The plan's split for a process, restricted to the zones that it can reach.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlannedSplit {
    /// Version of the plan.
    pub version: Version,
    /// Part of the requests that is admitted.
    pub admission: AdmissionLevel,
    /// Weight of each zone in the admitted calls, [`TOTAL_WEIGHT`] in all.
    pub weights: Vec<u32>,
    /// Zones with hosts, but with weight 0, that should get an occasional trial call to detect their
    /// recovery.
    pub trial_zones: Vec<usize>,
}

/// Choice of zones by a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Routing {
    /// Choice among all zones, by the process's own health checks only.
    Local(FallbackReason),
    /// Choice by the plan.
    Planned(PlannedSplit),
}

impl ZoneApplication {
    /// Routing at this time, by the current plan and the health of each zone as this process sees it. Zones
    /// that it cannot reach are left out of the plan's split.
    pub fn routing(
        &self,
        now: Micros,
        local_replica: &LocalReplica<ZoneApplication>,
        local_health: &[LocalHealth],
    ) -> Routing {
        match self.current_plan(now, local_replica).and_then(|plan| self.planned_split(plan, local_health)) {
            Ok(planned) => Routing::Planned(planned),
            Err(reason) => Routing::Local(reason),
        }
    }

    /// The plan that the process must follow at this time, or the reason why there is none.
    pub fn current_plan<'a>(
        &'a self,
        now: Micros,
        local_replica: &'a LocalReplica<ZoneApplication>,
    ) -> Result<&'a Plan, FallbackReason> {
        if !local_replica.is_admitted() {
            return Err(FallbackReason::NotAdmitted);
        }
        if now >= local_replica.lease_expiry() {
            return Err(FallbackReason::LeaseExpired);
        }
        // If the last plan received is invalid, the one before it stays in force.
        let plan = &self.last_valid_plan;
        let Some(ballot) = &plan.version.ballot else { return Err(FallbackReason::NoPlan) };
        if local_replica.highest_ballot().is_some_and(|highest| highest > ballot) {
            return Err(FallbackReason::Superseded);
        }
        if plan.splits.is_empty() {
            return Err(FallbackReason::NoPlan);
        }
        Ok(plan)
    }

    fn planned_split(
        &self,
        plan: &Plan,
        local_health: &[LocalHealth],
    ) -> Result<PlannedSplit, FallbackReason> {
        let own_zone = self.topology.name(self.own_zone());
        let split = plan.split(own_zone).ok_or(FallbackReason::NoSplit)?;
        let health_of = |zone: usize| local_health.get(zone).copied().unwrap_or_default();
        let mut amounts = vec![0_u64; self.topology.count()];
        for (target, weight) in &split.weights {
            if let Some(target) = self
                .topology
                .index(target)
                .filter(|target| health_of(*target).is_listed && !health_of(*target).all_failing)
            {
                amounts[target] = u64::from(*weight);
            }
        }
        let weights =
            crate::allocation::normalized_weights(&amounts).ok_or(FallbackReason::NoReachableZone)?;
        debug_assert_eq!(weights.iter().sum::<u32>(), TOTAL_WEIGHT);
        let is_unavailable = |target: usize| {
            let is_pair = |pair: &&crate::plan::PairHealth| {
                pair.observer == own_zone && pair.target == self.topology.name(target)
            };
            plan.pairs.iter().find(is_pair).is_some_and(|pair| pair.health >= ZoneHealth::Unavailable as u8)
        };
        let has_no_capacity = |target: usize| {
            plan.capacities
                .iter()
                .any(|capacity| capacity.calls_per_second == 0 && capacity.zone == self.topology.name(target))
        };
        let needs_trial = |target: usize| {
            is_unavailable(target) || has_no_capacity(target) || health_of(target).all_failing
        };
        let trial_zones =
            (0..self.topology.count()).filter(|target| health_of(*target).is_listed && needs_trial(*target));
        let trial_zones = trial_zones.filter(|target| weights[*target] == 0).collect();
        Ok(PlannedSplit { version: plan.version.clone(), admission: split.admission, weights, trial_zones })
    }
}
