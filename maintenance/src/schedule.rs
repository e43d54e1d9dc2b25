//! The drains, as every process has them.

use crate::request::DrainRequest;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Micros, ReplicatedState};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// An open drain. Its times are spans up to now: they mean the same by every clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Drain {
    /// Its number; an older drain has a lower one.
    pub id: u64,
    /// What was requested. Its times are counted down.
    pub request: DrainRequest,
    /// How far it has come.
    pub stage: Stage,
    /// The leader's count of the schedule with which it came to this stage.
    pub stage_seq: u64,
    /// How long it has been at this stage.
    pub stage_age: Micros,
    /// It is committed that the host is out of service, so the work may begin: whoever leads next knows it.
    pub is_free: bool,
    /// What it waits for; empty: nothing.
    pub waits_for: String,
}

/// A drain that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CompletedDrain {
    /// Its number.
    pub id: u64,
    /// Its host.
    pub host: String,
    /// Who requested it.
    pub by: String,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: Outcome,
}

/// All drains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainSchedule {
    /// The number of the latest drain.
    pub last_id: u64,
    /// The open ones, the oldest first.
    pub drains: Vec<Drain>,
    /// The last that have ended, the latest last.
    pub completed: VecDeque<CompletedDrain>,
}

impl DrainSchedule {
    /// An open drain, by its number.
    pub fn drain(&self, id: u64) -> Option<&Drain> {
        self.drains.iter().find(|drain| drain.id == id)
    }

    pub(crate) fn drain_mut(&mut self, id: u64) -> Option<&mut Drain> {
        self.drains.iter_mut().find(|drain| drain.id == id)
    }

    /// The open drain of a host.
    pub fn of_host(&self, host: &str) -> Option<&Drain> {
        self.drains.iter().find(|drain| drain.request.host == host)
    }

    /// A drain that has ended, if it is still remembered.
    pub fn completed(&self, id: u64) -> Option<&CompletedDrain> {
        self.completed.iter().rev().find(|drain| drain.id == id)
    }

    /// Opens a drain. Returns its number.
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

    /// Ends a drain. Of those that have ended, `max_completed` are remembered.
    pub(crate) fn complete(&mut self, id: u64, outcome: Outcome, max_completed: usize) {
        let Some(place) = self.drains.iter().position(|drain| drain.id == id) else { return };
        let DrainRequest { host, by, .. } = self.drains.remove(place).request;
        self.completed.push_back(CompletedDrain { id, host, by, outcome });
        while self.completed.len() > max_completed {
            self.completed.pop_front();
        }
    }

    /// Takes over a drain of another schedule. Returns whether that was new.
    fn absorb_drain(&mut self, other: &Drain) -> bool {
        match self.drains.iter_mut().find(|own| own.request.host == other.request.host) {
            Some(own) if own.stage >= other.stage => false,
            Some(own) => {
                own.stage = other.stage;
                own.stage_age = other.stage_age;
                true
            }
            None => {
                let is_taken = self.drains.iter().any(|own| own.id == other.id);
                self.last_id = self.last_id.max(other.id) + u64::from(is_taken);
                let id = if is_taken { self.last_id } else { other.id };
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

    /// Takes over what another schedule has announced.
    fn merge(&mut self, other: &DrainSchedule) -> bool {
        let mut is_changed = false;
        for drain in other.drains.iter().filter(|drain| drain.stage >= Stage::Scheduled) {
            is_changed |= self.absorb_drain(drain);
        }
        is_changed
    }
}
