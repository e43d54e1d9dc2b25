//! The replicated schedule of drains.

use crate::request::DrainRequest;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Micros, ReplicatedState};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Drain that has not been completed. Times count from or to the present, so that they do not depend on the
/// clock of any process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Identifier of the drain; a later drain has a higher identifier.
    pub id: u64,
    /// Request of the operator. Its times until the earliest and the latest start count down.
    pub request: DrainRequest,
    /// Current stage of the drain.
    pub stage: Stage,
    /// Sequence number of the version of the schedule in which the drain reached its stage, as the current
    /// leader counts versions.
    pub stage_seq: u64,
    /// Time since the drain reached its stage.
    pub stage_age: Micros,
    /// Operators may start the maintenance: the host is out of service, and a majority of voters has applied
    /// the schedule that says so.
    pub is_free: bool,
    /// Condition that the drain waits for before its next stage, as a text for operators; empty: none, or the
    /// end of the maintenance.
    pub waits_for: String,
}

/// Drain that has ended, whether maintenance was carried out or not.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CompletedDrain {
    /// Identifier of the drain.
    pub id: u64,
    /// Name of the host in discovery's list.
    pub host: String,
    /// Operator who requested the drain.
    pub by: String,
    /// Whether maintenance was carried out and, if not, why the drain ended.
    #[serde(rename = "end")]
    pub outcome: Outcome,
}

/// All open drains and the latest completed ones, replicated from the leader to every process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainSchedule {
    /// Identifier of the drain that was opened last; 0: none has been opened.
    pub last_id: u64,
    /// Open drains, the oldest first.
    pub drains: Vec<Drain>,
    /// Most recently completed drains, the latest last.
    pub completed: VecDeque<CompletedDrain>,
}

impl DrainSchedule {
    /// Returns the open drain of this identifier.
    pub fn drain(&self, id: u64) -> Option<&Drain> {
        self.drains.iter().find(|drain| drain.id == id)
    }

    pub(crate) fn drain_mut(&mut self, id: u64) -> Option<&mut Drain> {
        self.drains.iter_mut().find(|drain| drain.id == id)
    }

    /// Returns the open drain of the host of this name.
    pub fn drain_for_host(&self, host: &str) -> Option<&Drain> {
        self.drains.iter().find(|drain| drain.request.host == host)
    }

    /// Returns the completed drain of this identifier, if the schedule still keeps it.
    pub fn completed_drain(&self, id: u64) -> Option<&CompletedDrain> {
        self.completed.iter().rev().find(|drain| drain.id == id)
    }

    /// Adds a new drain that is at the given stage, and returns its identifier.
    pub(crate) fn open(&mut self, request: DrainRequest, stage: Stage) -> u64 {
        self.last_id += 1;
        self.drains.push(Drain {
            id: self.last_id,
            request,
            stage,
            stage_seq: 0,
            stage_age: 0,
            is_free: false,
            waits_for: String::new(),
        });
        self.last_id
    }

    /// Removes an open drain and records it, with its outcome, among the completed drains. Keeps only the
    /// latest `max_completed` of those.
    pub(crate) fn complete(&mut self, id: u64, outcome: Outcome, max_completed: usize) {
        let Some(index) = self.drains.iter().position(|drain| drain.id == id) else { return };
        let DrainRequest { host, by, .. } = self.drains.remove(index).request;
        self.completed.push_back(CompletedDrain { id, host, by, outcome });
        while self.completed.len() > max_completed {
            self.completed.pop_front();
        }
    }

    /// Merges an open drain from the schedule of a different process. If this schedule has a drain of the
    /// same host, that drain takes the later of the two stages. Returns whether this schedule changed.
    fn merge_drain(&mut self, other: &Drain) -> bool {
        match self.drains.iter_mut().find(|own| own.request.host == other.request.host) {
            Some(own) if own.stage >= other.stage => false,
            Some(own) => {
                own.stage = other.stage;
                own.stage_age = other.stage_age;
                true
            }
            None => {
                // A drain of a different host may have the identifier; the merged drain then gets a new one.
                let is_id_taken = self.drains.iter().any(|own| own.id == other.id);
                self.last_id = self.last_id.max(other.id) + u64::from(is_id_taken);
                let id = if is_id_taken { self.last_id } else { other.id };
                self.drains.push(Drain { id, ..other.clone() });
                self.drains.sort_by_key(|drain| drain.id);
                true
            }
        }
    }
}

impl ReplicatedState for DrainSchedule {
    fn advance(&mut self, elapsed: Micros) {
        for drain in &mut self.drains {
            drain.stage_age = drain.stage_age.saturating_add(elapsed);
            let request = &mut drain.request;
            request.not_before = request.not_before.saturating_sub(elapsed);
            request.not_after = request.not_after.map(|after| after.saturating_sub(elapsed));
        }
    }

    /// Merges the open drains of a different process's schedule, except those at stage `Requested`: they take
    /// no host out of service, and operators can request them again.
    fn merge(&mut self, other: &DrainSchedule) -> bool {
        let mut is_changed = false;
        for drain in other.drains.iter().filter(|drain| drain.stage >= Stage::Scheduled) {
            is_changed |= self.merge_drain(drain);
        }
        is_changed
    }
}
