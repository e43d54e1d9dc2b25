//! Health of zones, by pairs of an observing and an observed zone. A recent report of a process is a vote for
//! the health that it shows. The health of a pair changes only after the votes have differed from it for some
//! time.

mod damped_health;
mod votes;

pub use damped_health::DampedHealth;
pub use votes::HealthVotes;

use crate::report::ZoneHealth;
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::Micros;

/// Status of a zone, by its health from all observing zones together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ZoneStatus {
    /// Available from all zones, and healthy from at least half of them.
    Healthy,
    /// Available from all zones, and degraded from more than half of them.
    Degraded,
    /// Unavailable from these zones, and available from others.
    UnavailableFrom(Vec<usize>),
    /// Unavailable from all zones.
    Unavailable,
}

/// Damped health of all pairs of an observing and an observed zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HealthMatrix {
    pairs: Vec<Vec<DampedHealth>>,
}

/// A change of a pair's health.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HealthChange {
    /// Index of the zone whose processes observe.
    pub observer: usize,
    /// Index of the observed zone.
    pub target: usize,
    /// Health before the change.
    pub previous: ZoneHealth,
    /// Health after the change.
    pub current: ZoneHealth,
    /// Number of processes that agree on it.
    pub witnesses: u32,
}

impl HealthMatrix {
    /// A matrix in which all pairs are healthy.
    pub fn new(now: Micros, topology: &Topology) -> HealthMatrix {
        HealthMatrix { pairs: vec![vec![DampedHealth::new(now); topology.count()]; topology.count()] }
    }

    /// Damped health of a pair.
    pub fn pair(&self, observer: usize, target: usize) -> &DampedHealth {
        &self.pairs[observer][target]
    }

    /// Sets the health of a pair, as the previous leader had it. Indices out of range are ignored.
    pub fn set(&mut self, observer: usize, target: usize, pair: DampedHealth) {
        if let Some(own_pair) = self.pairs.get_mut(observer).and_then(|pairs| pairs.get_mut(target)) {
            *own_pair = pair;
        }
    }

    /// Updates all pairs with the present votes. Returns those whose health changed.
    pub fn update(
        &mut self,
        now: Micros,
        votes: &HealthVotes,
        settings: &FailoverSettings,
    ) -> Vec<HealthChange> {
        let mut changes = Vec::new();
        for (observer, pairs) in self.pairs.iter_mut().enumerate() {
            for (target, pair) in pairs.iter_mut().enumerate() {
                let previous = pair.health;
                if pair.update(now, votes.consensus(observer, target, settings), settings) {
                    let (current, witnesses) = (pair.health, pair.witnesses);
                    changes.push(HealthChange { observer, target, previous, current, witnesses });
                }
            }
        }
        changes
    }

    /// Status of a zone.
    pub fn zone_status(&self, zone: usize) -> ZoneStatus {
        let count = self.pairs.len();
        let observers_with = |health: ZoneHealth| {
            (0..count).filter(move |observer| self.pairs[*observer][zone].health == health)
        };
        let unavailable: Vec<usize> = observers_with(ZoneHealth::Unavailable).collect();
        match unavailable.len() {
            all if all == count => ZoneStatus::Unavailable,
            0 if observers_with(ZoneHealth::Degraded).count() * 2 > count => ZoneStatus::Degraded,
            0 => ZoneStatus::Healthy,
            _ => ZoneStatus::UnavailableFrom(unavailable),
        }
    }

    /// Whether a zone is degraded from more than half of the zones from which it is available.
    pub fn is_degraded(&self, zone: usize) -> bool {
        let available = || {
            self.pairs.iter().map(|pairs| &pairs[zone]).filter(|pair| pair.health < ZoneHealth::Unavailable)
        };
        available().filter(|pair| pair.health == ZoneHealth::Degraded).count() * 2 > available().count()
    }

    /// Whether a zone is in its recovery period after an outage seen from any zone.
    pub fn is_recovering(&self, now: Micros, zone: usize, settings: &FailoverSettings) -> bool {
        self.pairs.iter().any(|pairs| {
            let pair = &pairs[zone];
            pair.recent_outages > 0
                && pair.health < ZoneHealth::Unavailable
                && now.saturating_sub(pair.since) < settings.recovery_period
        })
    }
}
