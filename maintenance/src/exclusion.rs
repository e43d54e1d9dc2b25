//! Exclusion of hosts from new calls, by the schedule as this process has it.

use crate::application_types::Maintenance;
use crate::stage::Stage;
use flaxhead_lease::{AdmissionStatus, LocalReplica, Machine, Micros};
use std::collections::BTreeSet;

/// Host that this process sends no new calls to, now or from a later time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedHost {
    /// Name of the host in discovery.
    pub host: String,
    /// Time from which no new call is sent to the host, by the clock of this process; 0: at once.
    pub from: Micros,
}

/// Returns the time from which no new call is sent to a host; `None`: the host is not excluded.
pub(crate) fn excluded_from(replica: &LocalReplica<Maintenance>, host: &str) -> Option<Micros> {
    let drains = &replica.state().state.drains;
    let stages = drains.iter().filter(|drain| drain.request.host == host).map(|drain| drain.stage);
    match stages.max()? {
        Stage::Requested | Stage::Recovering => None,
        // The leader waits only for admitted processes to confirm the drain, so a process without admission
        // excludes the host at once.
        Stage::Scheduled => Some(if replica.is_admitted() { replica.lease_expiry() } else { 0 }),
        Stage::Draining | Stage::OutOfService => Some(0),
    }
}

/// Returns the hosts that are excluded, now or from a later time.
pub fn excluded_hosts(machine: &Machine<Maintenance>) -> Vec<ExcludedHost> {
    let replica = machine.local_replica();
    let drains = &replica.state().state.drains;
    let hosts: BTreeSet<&str> = drains.iter().map(|drain| drain.request.host.as_str()).collect();
    let excluded = |host: &str| {
        let from = excluded_from(replica, host)?;
        Some(ExcludedHost { host: host.to_owned(), from })
    };
    hosts.into_iter().filter_map(excluded).collect()
}

/// Returns whether this process may start a call to the host at time `now`: it no longer waits for admission,
/// and the schedule does not exclude the host.
pub fn may_send(machine: &Machine<Maintenance>, now: Micros, host: &str) -> bool {
    machine.admission_status() != AdmissionStatus::Pending
        && excluded_from(machine.local_replica(), host).is_none_or(|from| now < from)
}
