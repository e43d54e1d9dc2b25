//! How many hosts may be out of service, and how long drains may take.

use flaxhead_lease::Micros;

/// What may be out of service at once, as the operators configure it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum number of hosts in all.
    pub max_total: u32,
    /// Maximum number of hosts in a zone.
    pub max_per_zone: u32,
    /// Maximum number of hosts in a pod.
    pub max_per_pod: u32,
    /// Calls that a warm host of size 1 can have in flight, in thousandths; 0: not known, and the load is ignored.
    pub millicalls_per_host: u32,
    /// Capacity that must be left beside the load, in thousandths of the load.
    pub load_margin_per_mille: u32,
    /// The longest that a host may be out of service.
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
    /// The limit, by its name in the operators' file, that allows no drain at all; `None`: drains are possible.
    pub(crate) fn forbidding(&self) -> Option<&'static str> {
        let limits = [(self.max_total, "all"), (self.max_per_zone, "zone"), (self.max_per_pod, "pod")];
        limits.into_iter().find(|(limit, _)| *limit == 0).map(|(_, name)| name)
    }
}

/// The configuration of the drains, the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SchedulerConfig {
    /// How long a host may take to drain before its drain fails.
    pub max_drain_time: Micros,
    /// How long a host that is back in service counts as out, if it does not warm up.
    pub max_recovery_time: Micros,
    /// What may be out of service.
    pub limits: Limits,
    /// Maximum number of drains that are remembered after their end.
    pub max_completed: usize,
    /// Maximum number of open drains.
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
