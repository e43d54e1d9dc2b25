//! The zones, the regions above them, and what going from one to another costs.
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Zones at the most, and bytes of a name: what a word and a plan can hold.
pub(crate) const MAX_ZONE_COUNT: usize = 32;

pub(crate) const MAX_NAME_BYTES: usize = 64;

/// The dearest way.
const MAX_COST: u32 = 1_000_000;

/// What the operators' file and the settings say, before it is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopologySettings {
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
pub enum TopologyError {
    /// None, or too many.
    #[error("{0} zones are configured; configure 1 to {MAX_ZONE_COUNT}")]
    ZoneCount(usize),

    /// Empty, too long, or not printable.
    #[error(
        "{0:?} is not a valid name of a zone or region; use 1 to {MAX_NAME_BYTES} printable ASCII characters"
    )]
    InvalidName(String),

    /// Two lines of one zone.
    #[error("zone {0} is configured twice; remove one of the entries")]
    DuplicateZone(String),

    /// A cost of a region without zones.
    #[error("a cost refers to region {0}, which has no zone; correct the name or remove the cost")]
    UnknownRegion(String),

    /// A cost that cannot be.
    #[error("a cost is {0}; use 0 to {MAX_COST}, and no less between regions than within one")]
    InvalidCost(u32),
}

/// The checked map. Zones are known by their places in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Topology {
    zones: Vec<String>,
    regions: Vec<String>,
    costs: Vec<Vec<u32>>,

    /// Tells apart maps by which other shares come out.
    pub digest: u64,
}

impl Topology {
    /// Checks the terms.
    pub fn new(settings: &TopologySettings) -> Result<Topology, TopologyError> {
        let count = settings.zones.len();
        if count == 0 || count > MAX_ZONE_COUNT {
            return Err(TopologyError::ZoneCount(count));
        }
        let mut seen = BTreeSet::new();
        for (zone, region) in &settings.zones {
            if let Some(invalid) = [zone, region].into_iter().find(|name| !is_valid_name(name)) {
                return Err(TopologyError::InvalidName(invalid.clone()));
            }
            if !seen.insert(zone) {
                return Err(TopologyError::DuplicateZone(zone.clone()));
            }
        }
        for (first, second, cost) in &settings.regions {
            for region in [first, second] {
                if !settings.zones.iter().any(|(_, zone_region)| zone_region == region) {
                    return Err(TopologyError::UnknownRegion(region.clone()));
                }
            }
            if *cost > MAX_COST || *cost < settings.cross_zone {
                return Err(TopologyError::InvalidCost(*cost));
            }
        }
        if settings.cross_region > MAX_COST || settings.cross_region < settings.cross_zone {
            return Err(TopologyError::InvalidCost(settings.cross_region));
        }
        let cost = |from: &(String, String), to: &(String, String)| {
            let is_pair = |(first, second, _): &&(String, String, u32)| {
                (*first == from.1 && *second == to.1) || (*first == to.1 && *second == from.1)
            };
            match (from.0 == to.0, from.1 == to.1) {
                (true, _) => 0,
                (_, true) => settings.cross_zone,
                _ => {
                    settings.regions.iter().find(is_pair).map_or(settings.cross_region, |(_, _, cost)| *cost)
                }
            }
        };
        let costs =
            settings.zones.iter().map(|from| settings.zones.iter().map(|to| cost(from, to)).collect());
        let costs: Vec<Vec<u32>> = costs.collect();
        let (zones, regions): (Vec<String>, Vec<String>) = settings.zones.iter().cloned().unzip();
        let mut hasher = SipHasher13::new();
        (&zones, &regions, &costs).hash(&mut hasher);
        Ok(Topology { zones, regions, costs, digest: hasher.finish() })
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
        self.costs.get(from).and_then(|costs| costs.get(to)).copied().unwrap_or(MAX_COST)
    }
}

/// Whether a text can stand in a table and a trail.
pub(crate) fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

#[cfg(test)]
mod tests;
