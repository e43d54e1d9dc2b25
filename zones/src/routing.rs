//! What a process may do by the plan: fewer zones than it has by itself, never others.
use crate::allocation::{AdmissionLevel, TOTAL_WEIGHT};
use crate::application_types::ZoneApplication;
use crate::plan::Plan;
use crate::report::ZoneHealth;
use flaxhead_lease::{Member, Micros, Version};

/// How a process finds a zone itself, now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalHealth {
    /// Its own list has hosts there.
    pub is_listed: bool,

    /// They fail here, all of them.
    pub all_failing: bool,
}

/// Why a process goes by itself alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum FallbackReason {
    /// Nothing was settled yet.
    #[error("no plan was received yet")]
    NoPlan,

    /// It was started and is not let in.
    #[error("no leader has admitted this process yet")]
    NotAdmitted,

    /// Cut off, or stopped for a time.
    #[error("the lease of this process has expired: it was cut off or paused, and its plan may be outdated")]
    LeaseExpired,

    /// A later holder is known of.
    #[error("a later leader was elected, and its plan was not received yet")]
    Superseded,

    /// The plan says nothing of this zone.
    #[error("the plan has no split for the traffic of this zone")]
    NoSplit,

    /// What the plan leaves is not reached from here.
    #[error("no zone that the plan sends this zone's traffic to is reachable from here")]
    NoReachableZone,
}

/// The plan, as it narrows one process's choice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlannedSplit {
    /// Which plan.
    pub version: Version,

    /// How much of each class is let through.
    pub admission: AdmissionLevel,

    /// By zone, how much of that goes there, in parts of [`PARTS`]; they add up to it.
    pub weights: Vec<u32>,

    /// Zones with hosts that get nothing: a call now and then may try them, so that their return is seen.
    pub trial_zones: Vec<usize>,
}

/// Which zones a process may choose from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Routing {
    /// All that it has, by its own judgement.
    Local(FallbackReason),

    /// These.
    Planned(PlannedSplit),
}

impl ZoneApplication {
    /// What may be chosen now: by the plan in force, the own zone and what is found here. What is found here goes
    /// first.
    pub fn routing(
        &self,
        now: Micros,
        member: &Member<ZoneApplication>,
        local_health: &[LocalHealth],
    ) -> Routing {
        match self.current_plan(now, member).and_then(|plan| self.planned_split(plan, local_health)) {
            Ok(planned) => Routing::Planned(planned),
            Err(reason) => Routing::Local(reason),
        }
    }

    /// The plan that is gone by.
    pub fn current_plan<'a>(
        &'a self,
        now: Micros,
        member: &'a Member<ZoneApplication>,
    ) -> Result<&'a Plan, FallbackReason> {
        if !member.is_admitted() {
            return Err(FallbackReason::NotAdmitted);
        }
        if now >= member.lease_expiry() {
            return Err(FallbackReason::LeaseExpired);
        }

        // The last good one: where the one that was told last cannot be gone by, it is kept.
        let plan = &self.last_valid_plan;
        let Some(fence) = &plan.version.fence else { return Err(FallbackReason::NoPlan) };
        if member.fence().is_some_and(|known| known > fence) {
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
