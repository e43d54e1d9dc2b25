//! The zones, their regions, and the cost of calls between them.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Maximum number of zones; it bounds the size of reports and plans.
pub(crate) const MAX_ZONE_COUNT: usize = 32;
/// Maximum length of a name; it bounds the size of reports and plans.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Maximum cost of a call between two zones, in the unit of the settings.
const MAX_COST: u32 = 1_000_000;

/// The zones and costs as operators configure them, not validated yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TopologySettings {
    /// Names of the zones, with the name of the region of each.
    pub zones: Vec<(String, String)>,
    /// Cost of a call to another zone of the same region, in any unit.
    pub cross_zone: u32,
    /// Cost of a call to another region, for pairs of regions that are not listed in `regions`.
    pub cross_region: u32,
    /// Two regions and the cost of a call between them, in either direction.
    pub regions: Vec<(String, String, u32)>,
}

/// A reason why the settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum TopologyError {
    /// No zone or too many.
    #[error("{0} zones are configured; configure 1 to {MAX_ZONE_COUNT}")]
    ZoneCount(usize),
    /// A name that is empty, too long or not printable.
    #[error(
        "{0:?} is not a valid name of a zone or region; use 1 to {MAX_NAME_BYTES} printable ASCII characters"
    )]
    InvalidName(String),
    /// A zone that is listed twice.
    #[error("zone {0} is configured twice; remove one of the entries")]
    DuplicateZone(String),
    /// A cost for a region without zones.
    #[error("a cost refers to region {0}, which has no zone; correct the name or remove the cost")]
    UnknownRegion(String),
    /// A cost that is too high, or lower between regions than within one.
    #[error("a cost is {0}; use 0 to {MAX_COST}, and no less between regions than within one")]
    InvalidCost(u32),
}

/// The validated zones and costs. Elsewhere, a zone is identified by its index here.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Topology {
    zones: Vec<String>,
    regions: Vec<String>,
    costs: Vec<Vec<u32>>,
    /// Hash of the zones, regions and costs: topologies that can lead to different plans have different ones.
    pub digest: u64,
}

impl Topology {
    /// Validates the settings.
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

    /// Number of zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Name of a zone; empty for an index out of range.
    pub fn name(&self, zone: usize) -> &str {
        self.zones.get(zone).map_or("", String::as_str)
    }

    /// Region of a zone; empty for an index out of range.
    pub fn region(&self, zone: usize) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }

    /// Index of the zone with this name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// Cost of a call from one zone to another; the maximum for an index out of range.
    pub fn cost(&self, from: usize, to: usize) -> u32 {
        self.costs.get(from).and_then(|costs| costs.get(to)).copied().unwrap_or(MAX_COST)
    }
}

/// Whether a text is safe to print in tables, logs and audit trails.
pub(crate) fn is_valid_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

#[cfg(test)]
mod tests;
