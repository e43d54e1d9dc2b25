//! The part of every process: to which hosts it may send.

use crate::application_types::Maintenance;
use crate::stage::Stage;
use flaxhead_lease::{AdmissionStatus, LocalReplica, Machine, Micros};
use std::collections::BTreeSet;

/// A host that nothing new is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedHost {
    /// Its name.
    pub host: String,
    /// From when on; 0: now.
    pub from: Micros,
}

/// From when on nothing new is sent to a host; `None`: it is not excluded.
pub(crate) fn excluded_from(member: &LocalReplica<Maintenance>, host: &str) -> Option<Micros> {
    let drains = &member.state().state.drains;
    let stages = drains.iter().filter(|drain| drain.request.host == host).map(|drain| drain.stage);
    match stages.max()? {
        Stage::Requested | Stage::Recovering => None,
        // A process that is not admitted confirms nothing, so nobody waits for it.
        Stage::Scheduled => Some(if member.is_admitted() { member.lease_expiry() } else { 0 }),
        Stage::Draining | Stage::OutOfService => Some(0),
    }
}

/// The hosts that are excluded, now or from a moment on.
pub fn excluded_hosts(machine: &Machine<Maintenance>) -> Vec<ExcludedHost> {
    let member = machine.local_replica();
    let drains = &member.state().state.drains;
    let hosts: BTreeSet<&str> = drains.iter().map(|drain| drain.request.host.as_str()).collect();
    let excluded = |host: &str| {
        let from = excluded_from(member, host)?;
        Some(ExcludedHost { host: host.to_owned(), from })
    };
    hosts.into_iter().filter_map(excluded).collect()
}

/// Whether something new may be sent to a host.
pub fn may_send(machine: &Machine<Maintenance>, now: Micros, host: &str) -> bool {
    machine.admission_status() != AdmissionStatus::Pending
        && excluded_from(machine.local_replica(), host).is_none_or(|from| now < from)
}
