//! The hosts of each zone, as discovery and a process's own calls show them, and the capacity that follows.

use crate::settings::{scale_per_mille, FailoverSettings};
use crate::topology::Topology;

/// Minimum warmth that a host counts with, so that a cold host gets the calls that warm it up.
const MIN_WARMTH_PER_MILLE: u32 = 100;

/// State of a host, from which the capacity of its zone is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Index of the host's zone.
    pub zone: usize,
    /// Whether discovery lists the host as ready.
    pub ready: bool,
    /// Ratio of the host's present capacity to that of a warm host, in thousandths.
    pub warmth_per_mille: u32,
    /// Size of the host relative to a host of size 1, in thousandths.
    pub size_per_mille: u32,
}

/// Capacity of each zone's ready hosts less the margin, in thousandths of a call per second: at their present
/// warmth, and once all are warm.
pub fn zone_capacities(
    hosts: &[Host],
    topology: &Topology,
    settings: &FailoverSettings,
) -> (Vec<u64>, Vec<u64>) {
    let (mut current, mut warm) = (vec![0; topology.count()], vec![0; topology.count()]);
    for host in hosts.iter().filter(|host| host.ready && host.zone < topology.count()) {
        let rate = u64::from(settings.host_calls_per_second) * u64::from(host.size_per_mille.min(1_000_000));
        let rate = scale_per_mille(rate, 1_000 - settings.margin_per_mille.min(1_000));
        warm[host.zone] += rate;
        current[host.zone] += scale_per_mille(rate, host.warmth_per_mille.clamp(MIN_WARMTH_PER_MILLE, 1_000));
    }
    (current, warm)
}
