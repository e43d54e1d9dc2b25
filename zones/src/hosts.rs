//! What a process knows of hosts, from discovery and its own calls.
use crate::settings::{scale_per_mille, FailoverSettings};
use crate::topology::Topology;

/// A cold host does so much of what a warm one does, in thousandths: enough that it gets calls to warm up by.
const MIN_WARMTH_PER_MILLE: u32 = 100;

/// A host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// The place of its zone.
    pub zone: usize,

    /// Discovery lists it as ready.
    pub ready: bool,

    /// How warm it is, in thousandths.
    pub warmth_per_mille: u32,

    /// Its size beside the others', in thousandths.
    pub size_per_mille: u32,
}

/// What each zone's hosts should do now, and would if all were warm, in thousandths of a call a second, less the
/// margin.
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
