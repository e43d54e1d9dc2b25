//! Access of the scheduler to the schedule, the configuration and the leader.

use crate::application_types::{DrainEvent, Maintenance};
use crate::config::SchedulerConfig;
use crate::schedule::DrainSchedule;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::LeaderContext;

/// Scheduler that the leader creates for one step or for one command.
pub(crate) struct Scheduler<'a, 'b> {
    pub(super) config: &'a SchedulerConfig,
    pub(super) leader: &'a mut LeaderContext<'b, Maintenance>,
}

impl<'a, 'b> Scheduler<'a, 'b> {
    pub(crate) fn new(config: &'a SchedulerConfig, leader: &'a mut LeaderContext<'b, Maintenance>) -> Self {
        Scheduler { config, leader }
    }

    pub(super) fn schedule(&self) -> &DrainSchedule {
        self.leader.state()
    }

    pub(super) fn schedule_mut(&mut self) -> &mut DrainSchedule {
        self.leader.state_mut()
    }

    pub(super) fn record_event(&mut self, drain: u64, change: &str, reason: String) {
        let host = self.schedule().drain(drain).map(|drain| drain.request.host.clone());
        let host = host.unwrap_or_default();
        self.leader.record_event(DrainEvent { drain, host, change: change.to_owned(), reason });
    }

    /// Moves a drain to a stage in the next version of the schedule. The caller replicates that version.
    pub(super) fn move_to_stage(&mut self, id: u64, stage: Stage) {
        let stage_seq = self.leader.state_seq() + 1;
        if let Some(drain) = self.schedule_mut().drain_mut(id) {
            drain.stage = stage;
            drain.stage_seq = stage_seq;
            drain.stage_age = 0;
            drain.is_free = false;
            drain.waits_for.clear();
        }
    }

    pub(super) fn complete(&mut self, id: u64, outcome: Outcome) {
        let max_completed = self.config.max_completed;
        self.schedule_mut().complete(id, outcome, max_completed);
    }

    /// Sets the condition that a drain waits for, as a text for operators. The text alone causes no
    /// replication: it is replicated with the next change of the schedule.
    pub(super) fn set_waits_for(&mut self, id: u64, reason: String) {
        if let Some(drain) = self.schedule_mut().drain_mut(id) {
            drain.waits_for = reason;
        }
    }
}
