//! The plan, as all proxies have it: what is settled.
use crate::allocation::{AdmissionLevel, TOTAL_WEIGHT};
use crate::report::ZoneHealth;
use crate::topology::{is_valid_name, Topology, MAX_ZONE_COUNT};
use flaxhead_lease::{Micros, ReplicatedState, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The traffic of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OriginSplit {
    /// Where it is asked for.
    pub origin: String,

    /// How much of it is let through.
    pub admission: AdmissionLevel,

    /// Where that goes, in parts of [`PARTS`]; they add up to it. Zones that get nothing are left out.
    pub weights: Vec<(String, u32)>,
}

/// A pair that is not well, or was not lately. Its time is a span beside the plan: it means the same at every clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PairHealth {
    /// Who looks.
    pub observer: String,

    /// At whom.
    pub target: String,

    /// How it is found: 0 well, 1 strained, 2 lost.
    pub health: u8,

    /// By how many.
    pub witnesses: u32,

    /// How often it got lost lately.
    pub recent_outages: u32,

    /// For how long it has been so.
    pub age: Micros,
}

/// What a zone can do, as it was reckoned with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneCapacity {
    /// Which.
    pub zone: String,

    /// Calls a second.
    pub calls_per_second: u32,

    /// How much of what its hosts should do it was found to do, in thousandths.
    pub achieved_per_mille: u32,
}

/// An operator's word that stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveCommand {
    /// Who gave it.
    pub by: String,

    /// How long ago.
    pub age: Micros,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Its number; it only grows.
    pub version: Version,

    /// The traffic of each zone. One that reaches nothing has none.
    pub splits: Vec<OriginSplit>,

    /// Pairs that are of interest.
    pub pairs: Vec<PairHealth>,

    /// By zone.
    pub capacities: Vec<ZoneCapacity>,

    /// Nothing moves but out of a zone that is lost.
    pub hold: Option<ActiveCommand>,

    /// Zones that operators have emptied.
    pub evacuated: Vec<(String, ActiveCommand)>,
}

/// Why a plan is not gone by. It is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PlanError {
    /// The settings differ.
    #[error(
        "the plan names zone {0:?}, which the settings here do not have; configure the same zones for all proxies"
    )]
    UnknownZone(String),

    /// Which of the two?
    #[error(
        "the plan has two weights of zone {target} for traffic from {origin}, or two splits of that traffic"
    )]
    DuplicateSplit {
        /// Whose.
        origin: String,

        /// Of which zone.
        target: String,
    },

    /// It does not add up.
    #[error("the plan's weights for traffic from {origin} add up to {sum}, not {TOTAL_WEIGHT}")]
    InvalidWeightSum {
        /// Whose.
        origin: String,

        /// What they add up to.
        sum: u64,
    },

    /// A level that cannot be.
    #[error("the plan admits {weight} of {TOTAL_WEIGHT} of a priority class from {origin}")]
    InvalidAdmission {
        /// Whose.
        origin: String,

        /// What it says.
        weight: u16,
    },

    /// It contradicts itself.
    #[error("the plan sends traffic from {origin} to {target}, which it marks as unavailable from there")]
    RoutedToUnavailable {
        /// Whose.
        origin: String,

        /// Where.
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
    /// Whether it can be gone by.
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
            if u32::from(admission.partial_weight) > TOTAL_WEIGHT {
                return Err(PlanError::InvalidAdmission {
                    origin: origin.clone(),
                    weight: admission.partial_weight,
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

    /// The row of a zone.
    pub fn split(&self, origin: &str) -> Option<&OriginSplit> {
        self.splits.iter().find(|split| split.origin == origin)
    }

    /// Whether operators have emptied a zone.
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

    /// The later plan, with the orders that stand in either: what an operator emptied stays so.
    fn absorb(&mut self, other: &Plan) -> bool {
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
