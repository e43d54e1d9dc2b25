//! The plan, as all proxies have it: what is settled.

use crate::fill::{Level, PARTS};
use crate::map::{good, Map, ZONES_MOST};
use crate::word::Sight;
use flaxhead_lease::{Micros, ReplicatedState, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The traffic of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Where it is asked for.
    pub from: String,
    /// How much of it is let through.
    pub level: Level,
    /// Where that goes, in parts of [`PARTS`]; they add up to it. Zones that get nothing are left out.
    pub shares: Vec<(String, u32)>,
}

/// A pair that is not well, or was not lately. Its time is a span beside the plan: it means the same at every clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pair {
    /// Who looks.
    pub from: String,
    /// At whom.
    pub to: String,
    /// How it is found: 0 well, 1 strained, 2 lost.
    pub sight: u8,
    /// By how many.
    pub witnesses: u32,
    /// How often it got lost lately.
    pub falls: u32,
    /// For how long it has been so.
    pub age: Micros,
}

/// What a zone can do, as it was reckoned with.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Room {
    /// Which.
    pub zone: String,
    /// Calls a second.
    pub calls: u32,
    /// How much of what its hosts should do it was found to do, in thousandths.
    pub learned: u32,
}

/// An operator's word that stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Standing {
    /// Who gave it.
    pub by: String,
    /// How long ago.
    pub age: Micros,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// Its number; it only grows.
    pub number: Version,
    /// The traffic of each zone. One that reaches nothing has none.
    pub rows: Vec<Row>,
    /// Pairs that are of interest.
    pub pairs: Vec<Pair>,
    /// By zone.
    pub rooms: Vec<Room>,
    /// Nothing moves but out of a zone that is lost.
    pub held: Option<Standing>,
    /// Zones that operators have emptied.
    pub emptied: Vec<(String, Standing)>,
}

/// Why a plan is not gone by. It is refused whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PlanError {
    /// The settings differ.
    #[error(
        "the plan names the zone {0:?}, which the settings here do not have; give all proxies the same zones"
    )]
    UnknownZone(String),
    /// Which of the two?
    #[error("the plan has two shares of {from} for {to}, or two rows of it")]
    Twice {
        /// Whose.
        from: String,
        /// Of which zone.
        to: String,
    },
    /// It does not add up.
    #[error("the plan's shares of {from} add up to {sum} of {PARTS}")]
    Sum {
        /// Whose.
        from: String,
        /// What they add up to.
        sum: u64,
    },
    /// A level that cannot be.
    #[error("the plan lets {part} of {PARTS} of a class of {from} through")]
    Level {
        /// Whose.
        from: String,
        /// What it says.
        part: u16,
    },
    /// It contradicts itself.
    #[error("the plan sends traffic of {from} to {to}, which it says is lost to it")]
    ToLost {
        /// Whose.
        from: String,
        /// Where.
        to: String,
    },
}

fn printable(name: &str) -> String {
    if good(name) {
        name.to_owned()
    } else {
        "?".to_owned()
    }
}

impl Plan {
    /// Whether it can be gone by.
    pub fn check(&self, map: &Map) -> Result<(), PlanError> {
        let known = |zone: &str| map.index(zone).ok_or_else(|| PlanError::UnknownZone(printable(zone)));
        let mut origins = BTreeSet::new();
        let mut lost = BTreeSet::new();
        for pair in &self.pairs {
            let (from, to) = (known(&pair.from)?, known(&pair.to)?);
            if pair.sight >= Sight::Lost as u8 {
                lost.insert((from, to));
            }
        }
        for zone in self.emptied.iter().map(|(zone, _)| zone).chain(self.rooms.iter().map(|room| &room.zone))
        {
            known(zone)?;
        }
        for Row { from, level, shares } in &self.rows {
            let place = known(from)?;
            if !origins.insert(place) {
                return Err(PlanError::Twice { from: from.clone(), to: from.clone() });
            }
            if u32::from(level.part) > PARTS {
                return Err(PlanError::Level { from: from.clone(), part: level.part });
            }
            let mut seen = [false; ZONES_MOST];
            for (to, _) in shares {
                let to_place = known(to)?;
                if std::mem::replace(&mut seen[to_place], true) {
                    return Err(PlanError::Twice { from: from.clone(), to: to.clone() });
                }
                if lost.contains(&(place, to_place)) {
                    return Err(PlanError::ToLost { from: from.clone(), to: to.clone() });
                }
            }
            let sum = shares.iter().map(|(_, parts)| u64::from(*parts)).sum();
            if sum != u64::from(PARTS) {
                return Err(PlanError::Sum { from: from.clone(), sum });
            }
        }
        Ok(())
    }

    /// The row of a zone.
    pub fn row(&self, from: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.from == from)
    }

    /// Whether operators have emptied a zone.
    pub fn emptied(&self, zone: &str) -> bool {
        self.emptied.iter().any(|(emptied, _)| emptied == zone)
    }
}

impl ReplicatedState for Plan {
    fn advance(&mut self, by: Micros) {
        let orders = self.emptied.iter_mut().map(|(_, standing)| standing).chain(&mut self.held);
        let ages =
            orders.map(|standing| &mut standing.age).chain(self.pairs.iter_mut().map(|pair| &mut pair.age));
        ages.for_each(|age| *age = age.saturating_add(by));
    }

    /// The later plan, with the orders that stand in either: what an operator emptied stays so.
    fn merge(&mut self, other: &Plan) -> bool {
        let before = self.clone();
        let mut earlier = other.clone();
        if other.number > self.number {
            std::mem::swap(self, &mut earlier);
        }
        for (zone, standing) in earlier.emptied {
            if !self.emptied(&zone) && self.emptied.len() < ZONES_MOST {
                self.emptied.push((zone, standing));
            }
        }
        *self != before
    }
}
