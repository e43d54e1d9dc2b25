//! The plan, which is replicated to all processes. It is encoded by position: the order of fields is fixed.

use crate::allocation::{AdmissionLevel, TOTAL_WEIGHT};
use crate::report::ZoneHealth;
use crate::topology::{is_valid_name, Topology, MAX_ZONE_COUNT};
use flaxhead_lease::{Micros, ReplicatedState, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Distribution of one zone's traffic over all zones, which are identified by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OriginSplit {
    /// Name of the zone that the traffic comes from.
    pub origin: String,
    /// Part of the traffic that is admitted.
    pub admission: AdmissionLevel,
    /// Weight of each zone in the admitted traffic, [`TOTAL_WEIGHT`] in all. Zones with weight 0 are left
    /// out.
    pub weights: Vec<(String, u32)>,
}

/// Health of one zone as seen from another. Times are spans, so that they mean the same by every clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PairHealth {
    /// Name of the zone whose processes observe.
    pub observer: String,
    /// Name of the observed zone.
    pub target: String,
    /// Health: 0 healthy, 1 degraded, 2 unavailable.
    pub health: u8,
    /// Number of processes that agree on it.
    pub witnesses: u32,
    /// Number of recent changes to unavailable, which lengthen the recovery delay.
    pub recent_outages: u32,
    /// Time since the health last changed.
    pub age: Micros,
}

/// Capacity of a zone that the plan is based on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneCapacity {
    /// Name of the zone.
    pub zone: String,
    /// Capacity in calls per second.
    pub calls_per_second: u32,
    /// Ratio of the capacity that the zone was found to have to the nominal capacity of its hosts.
    pub achieved_per_mille: u32,
}

/// A command of an operator that is in effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveCommand {
    /// Name of the operator.
    pub by: String,
    /// Time since the command.
    pub age: Micros,
}

/// Distribution of the traffic of all zones, with the state that a new leader needs to continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Version: the ballot of the leader and the number of the plan under it. It only grows.
    pub version: Version,
    /// The split of each zone's traffic. Zones from which no zone can be reached have none.
    pub splits: Vec<OriginSplit>,
    /// Pairs of zones that are not healthy or had a recent outage.
    pub pairs: Vec<PairHealth>,
    /// Capacity of each zone at the time of the plan.
    pub capacities: Vec<ZoneCapacity>,
    /// The hold in effect: the plan changes only away from unavailable zones. `None`: no hold.
    pub hold: Option<ActiveCommand>,
    /// Names of the evacuated zones, each with its command.
    pub evacuated: Vec<(String, ActiveCommand)>,
}

/// A reason why a process does not follow a plan. Invalid plans are rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PlanError {
    /// A zone that the settings do not have.
    #[error("the plan names zone {0:?}, which the settings here lack; give all proxies the same zones")]
    UnknownZone(String),
    /// Two splits of one origin, or two weights of one target in a split.
    #[error(
        "the plan has two weights of zone {target} for traffic from {origin}, or two splits of that traffic"
    )]
    DuplicateSplit {
        /// Name of the zone that the traffic comes from.
        origin: String,
        /// Name of the zone that the traffic goes to; the name of the origin if the whole split is a
        /// duplicate.
        target: String,
    },
    /// Weights that do not add up to [`TOTAL_WEIGHT`].
    #[error("the plan's weights for traffic from {origin} add up to {sum}, not {TOTAL_WEIGHT}")]
    InvalidWeightSum {
        /// Name of the zone that the traffic comes from.
        origin: String,
        /// Sum of the weights.
        sum: u64,
    },
    /// An admission level above the maximum.
    #[error("the plan admits {ratio} of {TOTAL_WEIGHT} of a priority class from {origin}")]
    InvalidAdmission {
        /// Name of the zone that the traffic comes from.
        origin: String,
        /// Admitted ratio of the class, in units of 1 / [`TOTAL_WEIGHT`].
        ratio: u16,
    },
    /// Traffic to a zone that the plan itself has as unavailable.
    #[error("the plan sends traffic from {origin} to {target}, which it marks as unavailable from there")]
    RoutedToUnavailable {
        /// Name of the zone that the traffic comes from.
        origin: String,
        /// Name of the zone that the traffic goes to.
        target: String,
    },
}

fn printable(name: &str) -> String {
    if is_valid_name(name) {
        name.to_owned()
    } else {
        "?".to_owned()
    }
}

impl Plan {
    /// Checks that a process with this topology can follow the plan.
    pub fn check(&self, topology: &Topology) -> Result<(), PlanError> {
        let index_of =
            |zone: &str| topology.index(zone).ok_or_else(|| PlanError::UnknownZone(printable(zone)));
        let mut origins = BTreeSet::new();
        let mut unavailable = BTreeSet::new();
        for pair in &self.pairs {
            let (observer, target) = (index_of(&pair.observer)?, index_of(&pair.target)?);
            if pair.health >= ZoneHealth::Unavailable as u8 {
                unavailable.insert((observer, target));
            }
        }
        for zone in self
            .evacuated
            .iter()
            .map(|(zone, _)| zone)
            .chain(self.capacities.iter().map(|capacity| &capacity.zone))
        {
            index_of(zone)?;
        }
        for OriginSplit { origin, admission, weights } in &self.splits {
            let origin_index = index_of(origin)?;
            if !origins.insert(origin_index) {
                return Err(PlanError::DuplicateSplit { origin: origin.clone(), target: origin.clone() });
            }
            if u32::from(admission.partial_ratio) > TOTAL_WEIGHT {
                return Err(PlanError::InvalidAdmission {
                    origin: origin.clone(),
                    ratio: admission.partial_ratio,
                });
            }
            let mut seen = [false; MAX_ZONE_COUNT];
            for (target, _) in weights {
                let target_index = index_of(target)?;
                if std::mem::replace(&mut seen[target_index], true) {
                    return Err(PlanError::DuplicateSplit { origin: origin.clone(), target: target.clone() });
                }
                if unavailable.contains(&(origin_index, target_index)) {
                    return Err(PlanError::RoutedToUnavailable {
                        origin: origin.clone(),
                        target: target.clone(),
                    });
                }
            }
            let sum = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
            if sum != u64::from(TOTAL_WEIGHT) {
                return Err(PlanError::InvalidWeightSum { origin: origin.clone(), sum });
            }
        }
        Ok(())
    }

    /// The split of a zone's traffic.
    pub fn split(&self, origin: &str) -> Option<&OriginSplit> {
        self.splits.iter().find(|split| split.origin == origin)
    }

    /// Whether operators have evacuated a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.iter().any(|(evacuated, _)| evacuated == zone)
    }
}

impl ReplicatedState for Plan {
    fn advance(&mut self, elapsed: Micros) {
        let commands = self.evacuated.iter_mut().map(|(_, command)| command).chain(&mut self.hold);
        let ages =
            commands.map(|command| &mut command.age).chain(self.pairs.iter_mut().map(|pair| &mut pair.age));
        ages.for_each(|age| *age = age.saturating_add(elapsed));
    }

    /// Keeps the later of the two plans, with the evacuations of both, so that no operator's command is lost.
    fn merge(&mut self, other: &Plan) -> bool {
        let before = self.clone();
        let mut earlier = other.clone();
        if other.version > self.version {
            std::mem::swap(self, &mut earlier);
        }
        for (zone, command) in earlier.evacuated {
            if !self.is_evacuated(&zone) && self.evacuated.len() < MAX_ZONE_COUNT {
                self.evacuated.push((zone, command));
            }
        }
        *self != before
    }
}
