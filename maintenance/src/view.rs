//! Lease, drains and processes as the status page and the command line show them. The `serde` renames keep the
//! keys of the JSON.

use crate::application_types::Maintenance;
use crate::schedule::{CompletedDrain, Drain};
use crate::stage::Stage;
use flaxhead_lease::{LeaseStatus, Machine, Micros, PeerState, Process};
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: Micros = 1_000;
const MILLICALLS_PER_CALL: f64 = 1_000.0;

/// Open drain, as the status page shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainView {
    /// Unique number of the drain, by which operators' commands refer to it.
    pub id: u64,
    /// Name of the host in discovery's list.
    pub host: String,
    /// Kind of maintenance, as the operator named it.
    pub kind: String,
    /// Operator who requested the drain.
    pub by: String,
    /// Current stage of the drain.
    pub stage: Stage,
    /// Operators may start the maintenance: the host is out of service, and a majority of voters has applied
    /// the schedule that says so.
    #[serde(rename = "free")]
    pub is_free: bool,
    /// Time since the drain reached its stage, in milliseconds.
    #[serde(rename = "for_ms")]
    pub stage_age_ms: u64,
    /// Requested duration of the maintenance, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Condition that the drain waits for before its next stage; empty: none, or the end of the maintenance.
    pub waits_for: String,
}

impl From<&Drain> for DrainView {
    fn from(drain: &Drain) -> DrainView {
        DrainView {
            id: drain.id,
            host: drain.request.host.clone(),
            kind: drain.request.kind.clone(),
            by: drain.request.by.clone(),
            stage: drain.stage,
            is_free: drain.is_free,
            stage_age_ms: drain.stage_age / MICROS_PER_MILLI,
            duration_ms: drain.request.duration / MICROS_PER_MILLI,
            waits_for: drain.waits_for.clone(),
        }
    }
}

/// Process on the roster of admitted processes, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessView {
    /// Name of the process.
    pub name: String,
    /// Incarnation of the process, which differs at each start, in hexadecimal digits.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// Latest version of the schedule that the process has confirmed to the leader.
    #[serde(rename = "confirmed")]
    pub applied: String,
    /// Time since the process last reported to the current leader, in milliseconds; `None`: it has not
    /// reported to this leader.
    #[serde(rename = "heard_ms")]
    pub reported_ms: Option<u64>,
    /// Number of calls that the process has in flight, averaged over the last seconds.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
}

impl ProcessView {
    fn new(process: &Process, peer: &PeerState<Maintenance>, now: Micros) -> ProcessView {
        let load = peer.report().map_or(0, |report| report.load_millicalls);
        ProcessView {
            name: process.name.to_string(),
            incarnation: format!("{:016x}", process.incarnation),
            applied: peer.version().to_string(),
            reported_ms: peer.last_report_at().map(|at| now.saturating_sub(at) / MICROS_PER_MILLI),
            in_flight: f64::from(load) / MILLICALLS_PER_CALL,
        }
    }
}

/// Lease, drains and processes as one process knows them, for the status page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceView {
    /// Lease of this process, and the leader that it knows.
    #[serde(flatten)]
    pub lease: LeaseStatus,
    /// Open drains, the oldest first.
    #[serde(rename = "turns")]
    pub drains: Vec<DrainView>,
    /// Most recently completed drains, with any outcome, the latest last.
    #[serde(rename = "past")]
    pub completed: Vec<CompletedDrain>,
    /// Admitted processes; empty at processes other than the leader.
    #[serde(rename = "members")]
    pub processes: Vec<ProcessView>,
}

/// Returns the lease, the drains and, at the leader, the processes on the roster, as this process knows them.
pub fn view(machine: &Machine<Maintenance>, now: Micros) -> MaintenanceView {
    let leader = machine.leader_state(now);
    let mut schedule = machine.local_replica().current_state(now).state;
    if let Some(leader) = leader {
        // A change of `waits_for` alone is not replicated, so its latest text is only in the leader's own
        // schedule.
        for drain in &mut schedule.drains {
            let own = leader.state().state.drain(drain.id).map(|own| own.waits_for.clone());
            drain.waits_for = own.unwrap_or_default();
        }
    }
    let processes = leader.into_iter().flat_map(|leader| leader.processes());
    MaintenanceView {
        lease: machine.status(now),
        drains: schedule.drains.iter().map(Into::into).collect(),
        completed: schedule.completed.iter().cloned().collect(),
        processes: processes.map(|(process, peer)| ProcessView::new(process, peer, now)).collect(),
    }
}

#[cfg(test)]
mod tests;
