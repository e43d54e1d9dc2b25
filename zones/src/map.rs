//! The zones, the regions above them, and what going from one to another costs.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Zones at the most, and bytes of a name: what a word and a plan can hold.
pub(crate) const ZONES_MOST: usize = 32;
pub(crate) const NAME_MOST: usize = 64;
/// The dearest way.
const COST_MOST: u32 = 1_000_000;

/// What the operators' file and the settings say, before it is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MapTerms {
    /// Each zone with its region.
    pub zones: Vec<(String, String)>,
    /// What a call costs that leaves its zone, in any unit.
    pub cross_zone: u32,
    /// What a call costs that leaves its region, where the two are not named below.
    pub cross_region: u32,
    /// Two regions and what a call between them costs, either way.
    pub regions: Vec<(String, String, u32)>,
}

/// Why there is no map.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum MapError {
    /// None, or too many.
    #[error("{0} zones are named; give 1 to {ZONES_MOST}")]
    Count(usize),
    /// Empty, too long, or not printable.
    #[error("{0:?} is no name of a zone or a region; give 1 to {NAME_MOST} printable characters of ASCII")]
    Name(String),
    /// Two lines of one zone.
    #[error("the zone {0} is named twice; leave one of them out")]
    Twice(String),
    /// A cost of a region without zones.
    #[error("a cost names the region {0}, which has no zone; correct it or leave it out")]
    UnknownRegion(String),
    /// A cost that cannot be.
    #[error("a cost is {0}; give 0 to {COST_MOST}, and no less between regions than within one")]
    Cost(u32),
}

/// The checked map. Zones are known by their places in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Map {
    zones: Vec<String>,
    regions: Vec<String>,
    costs: Vec<Vec<u32>>,
    /// Tells apart maps by which other shares come out.
    pub digest: u64,
}

impl Map {
    /// Checks the terms.
    pub fn new(terms: &MapTerms) -> Result<Map, MapError> {
        let count = terms.zones.len();
        if count == 0 || count > ZONES_MOST {
            return Err(MapError::Count(count));
        }
        let mut seen = BTreeSet::new();
        for (zone, region) in &terms.zones {
            if let Some(bad) = [zone, region].into_iter().find(|name| !good(name)) {
                return Err(MapError::Name(bad.clone()));
            }
            if !seen.insert(zone) {
                return Err(MapError::Twice(zone.clone()));
            }
        }
        for (one, other, cost) in &terms.regions {
            for region in [one, other] {
                if !terms.zones.iter().any(|(_, of)| of == region) {
                    return Err(MapError::UnknownRegion(region.clone()));
                }
            }
            if *cost > COST_MOST || *cost < terms.cross_zone {
                return Err(MapError::Cost(*cost));
            }
        }
        if terms.cross_region > COST_MOST || terms.cross_region < terms.cross_zone {
            return Err(MapError::Cost(terms.cross_region));
        }
        let cost = |from: &(String, String), to: &(String, String)| {
            let named = |(one, other, _): &&(String, String, u32)| {
                (*one == from.1 && *other == to.1) || (*one == to.1 && *other == from.1)
            };
            match (from.0 == to.0, from.1 == to.1) {
                (true, _) => 0,
                (_, true) => terms.cross_zone,
                _ => terms.regions.iter().find(named).map_or(terms.cross_region, |(_, _, cost)| *cost),
            }
        };
        let costs = terms.zones.iter().map(|from| terms.zones.iter().map(|to| cost(from, to)).collect());
        let costs: Vec<Vec<u32>> = costs.collect();
        let (zones, regions): (Vec<String>, Vec<String>) = terms.zones.iter().cloned().unzip();
        let mut hasher = SipHasher13::new();
        (&zones, &regions, &costs).hash(&mut hasher);
        Ok(Map { zones, regions, costs, digest: hasher.finish() })
    }

    /// How many zones there are.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// The name of a zone.
    pub fn name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", String::as_str)
    }

    /// The region of a zone.
    pub fn region(&self, zone: usize) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }

    /// Which zone a name means.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// What a call costs from one zone to another.
    pub fn cost(&self, from: usize, to: usize) -> u32 {
        self.costs.get(from).and_then(|costs| costs.get(to)).copied().unwrap_or(COST_MOST)
    }
}

/// Whether a text can stand in a table and a trail.
pub(crate) fn good(text: &str) -> bool {
    (1..=NAME_MOST).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

#[cfg(test)]
mod tests;
