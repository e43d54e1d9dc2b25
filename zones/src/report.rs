//! The report that a process sends with each renewal of its lease. It is encoded by position: the order of
//! fields is fixed.

use crate::topology::{is_valid_name, Topology, MAX_ZONE_COUNT};
use serde::{Deserialize, Serialize};

/// Maximum number of priority classes; class 0 has the highest priority.
pub const MAX_CLASS_COUNT: usize = 8;
/// Call rate above which a report is implausible.
const MAX_CALLS_PER_SECOND: u32 = 10_000_000;
/// Latency above which a report is implausible.
const MAX_LATENCY_MS: u32 = 600_000;

/// A process's calls to one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Name of the zone.
    pub zone: String,
    /// Calls in flight.
    pub in_flight: u32,
    /// Successful attempts per second.
    pub completed_per_second: u32,
    /// Failed attempts per second.
    pub failed_per_second: u32,
    /// Mean latency of successful attempts.
    pub latency_ms: u32,
    /// Whether no host of the zone can be reached.
    pub unreachable: bool,
}

/// Report of a process: the demand of its clients, and the state of the zones that it sends calls to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Name of the process's own zone.
    pub zone: String,
    /// Calls per second that clients request from this process, by priority class, rejected ones included.
    pub demand: Vec<u32>,
    /// Zones that the process sent calls to within the last second, still has calls in flight to, or cannot
    /// reach.
    pub observations: Vec<ZoneObservation>,
}

/// A reason why the leader rejects a report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ReportError {
    /// A zone that the leader's settings do not have.
    #[error("the report names zone {0:?}, which the settings here lack; give all proxies the same zones")]
    UnknownZone(String),
    /// Two observations of one zone.
    #[error("the report has two observations of zone {0}")]
    DuplicateZone(String),
    /// A call rate that no process can have.
    #[error("the report has an implausible rate of {0} calls per second")]
    ImplausibleRate(u64),
    /// A latency that no call can have.
    #[error("the report has an implausible latency of {0} ms")]
    ImplausibleLatency(u32),
    /// More priority classes than there are.
    #[error("the report has {0} priority classes; the maximum is {MAX_CLASS_COUNT}")]
    TooManyClasses(usize),
    /// A process that is probably cut off itself.
    #[error("the process reaches no zone, not even its own, and is probably cut off")]
    ReachesNoZone,
}

/// Health of a zone as seen from one process or one other zone, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ZoneHealth {
    /// Calls succeed within the latency limit.
    Healthy,
    /// The latency is above the limit for degraded zones, or the failure ratio has reached it.
    Degraded,
    /// No host of the zone is reachable, or the failure ratio has reached the limit for unavailable zones.
    Unavailable,
}

impl ZoneReport {
    /// Checks that the report is plausible for a fleet that handles `max_calls_per_second`. Returns the index
    /// of the process's own zone.
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
    /// Health of the zone by this observation; `None`: there were no attempts to judge it by.
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
