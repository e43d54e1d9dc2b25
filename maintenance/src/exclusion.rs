//! Hosts that a process sends no new calls to, according to its copy of the schedule.

use crate::application_types::Maintenance;
use crate::stage::Stage;
use flaxhead_lease::{AdmissionStatus, LocalReplica, Machine, Micros};
use std::collections::BTreeSet;

/// Host that this process sends no new calls to, from a given time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedHost {
    /// Name of the host in discovery's list.
    pub host: String,
    /// Time from which no new call is sent to the host, by the clock of this process; 0: at once.
    pub from: Micros,
}

/// Returns the time, by this process's clock, from which it sends no new call to a host; 0: at once; `None`:
/// the host is not excluded.
pub(crate) fn excluded_from(replica: &LocalReplica<Maintenance>, host: &str) -> Option<Micros> {
    let drains = &replica.state().state.drains;
    let stages = drains.iter().filter(|drain| drain.request.host == host).map(|drain| drain.stage);
    match stages.max()? {
        Stage::Requested | Stage::Recovering => None,
        // An admitted process goes on sending calls to a scheduled host until its own lease expires, for
        // which the leader waits. The leader does not wait for a process that it has not admitted, so such a
        // process excludes the host at once.
        Stage::Scheduled => Some(if replica.is_admitted() { replica.lease_expiry() } else { 0 }),
        Stage::Draining | Stage::OutOfService => Some(0),
    }
}

/// Returns the hosts that this process excludes from new calls, now or from a later time, in the order of
/// their names.
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

/// Returns whether this process may send a new call to a host at the time `now` of its own clock. Until it
/// has been admitted or serves without admission, it may send none.
pub fn may_send(machine: &Machine<Maintenance>, now: Micros, host: &str) -> bool {
    machine.admission_status() != AdmissionStatus::Pending
        && excluded_from(machine.local_replica(), host).is_none_or(|from| now < from)
}
