//! What operators see. The names of the keys in JSON are those of the side port.

use crate::application_types::Maintenance;
use crate::schedule::{CompletedDrain, Drain};
use crate::stage::Stage;
use flaxhead_lease::{LeaseStatus, Machine, Micros, PeerState, Process};
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: Micros = 1_000;
const THOUSANDTHS: f64 = 1_000.0;

/// An open drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DrainView {
    /// Its number.
    pub id: u64,
    /// Its host.
    pub host: String,
    /// The kind of work.
    pub kind: String,
    /// Who requested it.
    pub by: String,
    /// How far it has come.
    pub stage: Stage,
    /// The work may begin.
    #[serde(rename = "free")]
    pub is_free: bool,
    /// How long it has been at its stage, in milliseconds.
    #[serde(rename = "for_ms")]
    pub stage_age_ms: u64,
    /// How long the work takes, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub duration_ms: u64,
    /// What it waits for; empty: nothing.
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

/// A process on the roster, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessView {
    /// Its name.
    pub name: String,
    /// Its incarnation, in hexadecimal digits.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// The version of the schedule that it has applied.
    #[serde(rename = "confirmed")]
    pub applied: String,
    /// How long ago it last reported, in milliseconds; `None`: it has not reported to this leader.
    #[serde(rename = "heard_ms")]
    pub reported_ms: Option<u64>,
    /// Calls in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: f64,
}

impl ProcessView {
    fn new(process: &Process, peer: &PeerState<Maintenance>, now: Micros) -> ProcessView {
        let load = peer.report().map_or(0, |report| report.load);
        ProcessView {
            name: process.name.to_string(),
            incarnation: format!("{:016x}", process.incarnation),
            applied: peer.version().to_string(),
            reported_ms: peer.last_report_at().map(|at| now.saturating_sub(at) / MICROS_PER_MILLI),
            in_flight: f64::from(load) / THOUSANDTHS,
        }
    }
}

/// All that a process knows of the drains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceView {
    /// Its lease, and who leads.
    #[serde(flatten)]
    pub lease: LeaseStatus,
    /// The open drains.
    #[serde(rename = "turns")]
    pub drains: Vec<DrainView>,
    /// The last that have ended.
    #[serde(rename = "past")]
    pub completed: Vec<CompletedDrain>,
    /// At the leader: the processes on the roster.
    #[serde(rename = "members")]
    pub processes: Vec<ProcessView>,
}

/// What a process knows of the drains.
pub fn view(machine: &Machine<Maintenance>, now: Micros) -> MaintenanceView {
    let leader = machine.leader_state(now);
    let mut schedule = machine.local_replica().current_state(now).state;
    if let Some(leader) = leader {
        // What its drains wait for is replicated with the next change only.
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
