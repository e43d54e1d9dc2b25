//! How zones stand, by pairs of who looks and who is looked at.
mod damped_health;
mod votes;

pub use damped_health::DampedHealth;
pub use votes::HealthVotes;

use crate::report::ZoneHealth;
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::Micros;

/// How a zone stands, from all sides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ZoneStatus {
    /// It takes traffic.
    Healthy,

    /// It answers late, or some calls fail, from more than half of the zones.
    Degraded,

    /// It is not reached from these, and from others it is.
    UnavailableFrom(Vec<usize>),

    /// It is reached from nowhere.
    Unavailable,
}

/// The judgement of all pairs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HealthMatrix {
    pairs: Vec<Vec<DampedHealth>>,
}

/// A pair is judged otherwise from now on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HealthChange {
    /// Who looks.
    pub observer: usize,

    /// At whom.
    pub target: usize,

    /// How it was.
    pub previous: ZoneHealth,

    /// How it is.
    pub current: ZoneHealth,

    /// How many say so.
    pub witnesses: u32,
}

impl HealthMatrix {
    /// All is well as far as is known.
    pub fn new(now: Micros, topology: &Topology) -> HealthMatrix {
        HealthMatrix { pairs: vec![vec![DampedHealth::new(now); topology.count()]; topology.count()] }
    }

    /// A pair.
    pub fn pair(&self, observer: usize, target: usize) -> &DampedHealth {
        &self.pairs[observer][target]
    }

    /// A pair as another holder had it.
    pub fn set(&mut self, observer: usize, target: usize, pair: DampedHealth) {
        if let Some(own_pair) = self.pairs.get_mut(observer).and_then(|pairs| pairs.get_mut(target)) {
            *own_pair = pair;
        }
    }

    /// What is said now; what turned by it.
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

    /// A zone, from all sides.
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

    /// Whether more than half of those that reach a zone find it strained.
    pub fn is_degraded(&self, zone: usize) -> bool {
        let available = || {
            self.pairs.iter().map(|pairs| &pairs[zone]).filter(|pair| pair.health < ZoneHealth::Unavailable)
        };
        available().filter(|pair| pair.health == ZoneHealth::Degraded).count() * 2 > available().count()
    }

    /// Whether a zone was lost to somebody, and is back since a short time.
    pub fn is_recovering(&self, now: Micros, zone: usize, settings: &FailoverSettings) -> bool {
        self.pairs.iter().any(|pairs| {
            let pair = &pairs[zone];
            pair.recent_outages > 0
                && pair.health < ZoneHealth::Unavailable
                && now.saturating_sub(pair.since) < settings.recovery_period
        })
    }
}
