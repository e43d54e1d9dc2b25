//! What a process tells of the zones.
use crate::topology::{is_valid_name, Topology, MAX_ZONE_COUNT};
use serde::{Deserialize, Serialize};

/// Classes of worth at the most; class 0 is worth most.
pub const MAX_CLASS_COUNT: usize = 8;

/// No process asks for more a second, nor waits longer: whoever says so is wrong.
const MAX_CALLS_PER_SECOND: u32 = 10_000_000;

const MAX_LATENCY_MS: u32 = 600_000;

/// What a process finds of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Which.
    pub zone: String,

    /// Calls in hand there.
    pub in_flight: u32,

    /// Calls a second that it answers.
    pub completed_per_second: u32,

    /// Attempts a second that fail.
    pub failed_per_second: u32,

    /// How long an answer takes.
    pub latency_ms: u32,

    /// Nothing there is reached.
    pub unreachable: bool,
}

/// A process's word with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Its own zone.
    pub zone: String,

    /// Calls a second that are asked for here, by class of worth, those that are refused included.
    pub demand: Vec<u32>,

    /// Zones that it has tried lately.
    pub observations: Vec<ZoneObservation>,
}

/// Why a word is left out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ReportError {
    /// Its settings are others.
    #[error("it speaks of the zone {0:?}, which the settings here do not have; give both the same zones")]
    UnknownZone(String),

    /// Which of the two?
    #[error("it speaks of the zone {0} twice")]
    DuplicateZone(String),

    /// No process does that.
    #[error("it says {0} calls a second, which cannot be")]
    ImplausibleRate(u64),

    /// No call takes that long.
    #[error("it says {0} ms for an answer, which cannot be")]
    ImplausibleLatency(u32),

    /// More than there are.
    #[error("it has {0} classes of worth; there are {MAX_CLASS_COUNT}")]
    TooManyClasses(usize),

    /// It is cut off itself.
    #[error("it reaches no zone at all, not even its own: it is taken as cut off, and no witness")]
    ReachesNoZone,
}

/// How one process finds a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZoneHealth {
    /// It answers.
    Healthy,

    /// It answers late, or some fail.
    Degraded,

    /// It does not answer.
    Unavailable,
}

impl ZoneReport {
    /// The place of its own zone, if all that it says can be.
    pub fn check(&self, topology: &Topology, max_calls_per_second: u64) -> Result<usize, ReportError> {
        let max_calls_per_second = max_calls_per_second.min(u64::from(MAX_CALLS_PER_SECOND));
        let index_of = |zone: &str| {
            let printable = || if is_valid_name(zone) { zone.to_owned() } else { "?".to_owned() };
            topology.index(zone).ok_or_else(|| ReportError::UnknownZone(printable()))
        };
        let own_zone = index_of(&self.zone)?;
        if self.demand.len() > MAX_CLASS_COUNT {
            return Err(ReportError::TooManyClasses(self.demand.len()));
        }
        let mut seen = [false; MAX_ZONE_COUNT];
        for observation in &self.observations {
            let zone = index_of(&observation.zone)?;
            if std::mem::replace(&mut seen[zone], true) {
                return Err(ReportError::DuplicateZone(observation.zone.clone()));
            }
            if observation.latency_ms > MAX_LATENCY_MS {
                return Err(ReportError::ImplausibleLatency(observation.latency_ms));
            }
            let rate = u64::from(observation.completed_per_second) + u64::from(observation.failed_per_second);
            if rate > max_calls_per_second {
                return Err(ReportError::ImplausibleRate(rate));
            }
        }
        let demand = self.demand.iter().map(|demand| u64::from(*demand)).sum();
        if demand > max_calls_per_second {
            return Err(ReportError::ImplausibleRate(demand));
        }
        Ok(own_zone)
    }
}

impl ZoneObservation {
    /// How the process finds the zone; `None`: it has not tried it.
    pub fn health(&self, settings: &crate::settings::FailoverSettings) -> Option<ZoneHealth> {
        let (completed, failed) = (u64::from(self.completed_per_second), u64::from(self.failed_per_second));
        let total = completed + failed;
        let reaches = |per_mille: u32| failed * 1_000 >= total * u64::from(per_mille);
        match () {
            _ if self.unreachable => Some(ZoneHealth::Unavailable),
            _ if total == 0 => None,
            _ if failed > 0 && reaches(settings.unavailable_failure_per_mille) => {
                Some(ZoneHealth::Unavailable)
            }
            _ if failed > 0 && reaches(settings.degraded_failure_per_mille) => Some(ZoneHealth::Degraded),
            _ if self.latency_ms > settings.degraded_latency_ms => Some(ZoneHealth::Degraded),
            _ => Some(ZoneHealth::Healthy),
        }
    }
}
