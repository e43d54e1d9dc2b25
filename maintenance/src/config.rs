//! Limits on the hosts out of service, and time limits of drains.

use flaxhead_lease::Micros;

/// Limits on the number of hosts out of service at the same time, on the capacity that must remain, and on
/// the duration of maintenance. A host counts as out of service from the time at which its drain is scheduled
/// until the drain is completed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of hosts out of service in total.
    pub max_total: u32,
    /// Maximum number of hosts out of service in one zone.
    pub max_per_zone: u32,
    /// Maximum number of hosts out of service in one pod.
    pub max_per_pod: u32,
    /// Number of concurrent calls that a host of weight 1 can serve once it has warmed up, in thousandths of
    /// a call; 0: unknown, so capacity is not checked.
    pub millicalls_per_host: u32,
    /// Capacity that the remaining hosts must have beyond the load of all processes, in thousandths of that
    /// load.
    pub load_margin_per_mille: u32,
    /// Maximum duration of maintenance that a request may state.
    pub max_duration: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_total: 1,
            max_per_zone: 1,
            max_per_pod: 1,
            millicalls_per_host: 0,
            load_margin_per_mille: 300,
            max_duration: 4 * 3_600_000_000,
        }
    }
}

impl Limits {
    /// Returns the name, for error messages, of a limit that is 0 and so forbids every drain; `None`: no
    /// limit is 0.
    pub(crate) fn zero_limit(&self) -> Option<&'static str> {
        let limits = [(self.max_total, "all"), (self.max_per_zone, "zone"), (self.max_per_pod, "pod")];
        limits.into_iter().find(|(limit, _)| *limit == 0).map(|(_, name)| name)
    }
}

/// Configuration of the scheduler, which must be the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SchedulerConfig {
    /// Maximum duration of stage `Draining`; a drain that takes longer fails, and its host stays in service.
    pub max_drain_time: Micros,
    /// Time after the end of maintenance from which a host no longer counts as out of service, even if it has
    /// not warmed up.
    pub max_recovery_time: Micros,
    /// Limits that every scheduled drain must respect.
    pub limits: Limits,
    /// Maximum number of completed drains that the schedule keeps.
    pub max_completed: usize,
    /// Maximum number of open drains that the schedule holds.
    pub max_open: usize,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        SchedulerConfig {
            max_drain_time: 600_000_000,
            max_recovery_time: 120_000_000,
            limits: Limits::default(),
            max_completed: 64,
            max_open: 256,
        }
    }
}
