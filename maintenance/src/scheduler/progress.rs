//! Progress of drains from stage to stage, as the leader decides it.

use super::state::Scheduler;
use crate::application_types::Maintenance;
use crate::schedule::Drain;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Config, PeerState, Process};

/// Decision of the leader about one open drain in one step.
enum Progress {
    /// Moves the drain to the next stage.
    Move { to: Stage, change: &'static str, reason: String },
    /// Marks the host as free, so that operators may start the maintenance.
    Free,
    /// Completes the drain with an outcome.
    Complete { outcome: Outcome, change: &'static str, reason: String },
    /// Leaves the drain at its stage. The text tells operators which condition the drain waits for; empty:
    /// the end of the maintenance.
    Wait(String),
    /// Leaves a requested drain to `schedule_next`, which either schedules it or sets the condition that it
    /// waits for.
    AwaitSelection,
}

impl Progress {
    fn move_to(to: Stage, change: &'static str, reason: &str) -> Progress {
        Progress::Move { to, change, reason: reason.to_owned() }
    }

    fn wait_for(reason: &str) -> Progress {
        Progress::Wait(reason.to_owned())
    }
}

impl Scheduler<'_, '_> {
    /// Moves each drain to its next stage if possible, then schedules at most one requested drain.
    pub(crate) fn step(&mut self) {
        let ids: Vec<u64> = self.schedule().drains.iter().map(|drain| drain.id).collect();
        let mut has_changed = false;
        for id in ids {
            has_changed |= self.step_drain(id);
        }
        has_changed |= self.schedule_next();
        if has_changed {
            self.leader.publish();
        }
    }

    /// Moves a drain to its next stage if possible. Returns whether the schedule has changed and must be
    /// replicated.
    fn step_drain(&mut self, id: u64) -> bool {
        let Some(drain) = self.schedule().drain(id) else { return false };
        match self.progress(drain) {
            Progress::Move { to, change, reason } => {
                self.record_event(id, change, reason);
                self.move_to_stage(id, to);
                true
            }
            Progress::Free => {
                self.record_event(id, "free", "a majority of voters knows that it is out".to_owned());
                if let Some(drain) = self.schedule_mut().drain_mut(id) {
                    drain.is_free = true;
                }
                true
            }
            Progress::Complete { outcome, change, reason } => {
                self.record_event(id, change, reason);
                self.complete(id, outcome);
                true
            }
            Progress::Wait(reason) => {
                self.set_waits_for(id, reason);
                false
            }
            Progress::AwaitSelection => false,
        }
    }

    fn progress(&self, drain: &Drain) -> Progress {
        let is_past_latest_start = drain.request.not_after == Some(0);
        match drain.stage {
            Stage::Requested | Stage::Scheduled if is_past_latest_start => {
                let reason = drain.waits_for.clone();
                let outcome = Outcome::Expired { reason: reason.clone() };
                Progress::Complete { outcome, change: "expired", reason }
            }
            Stage::Requested => Progress::AwaitSelection,
            Stage::Scheduled => self.progress_of_scheduled(drain),
            Stage::Draining => self.progress_of_draining(drain),
            Stage::OutOfService => self.progress_of_out_of_service(drain),
            Stage::Recovering => self.progress_of_recovering(drain),
        }
    }

    /// Moves a scheduled drain to draining once every process on the roster has confirmed that it is
    /// scheduled.
    fn progress_of_scheduled(&self, drain: &Drain) -> Progress {
        match self.unconfirmed_process(drain.stage_seq) {
            None => Progress::move_to(Stage::Draining, "draining", "all know that it is next"),
            Some(process) => Progress::Wait(format!("{} has not confirmed that it is next", process.name)),
        }
    }

    /// Returns a process on the roster that has not confirmed the schedule of this sequence number or a later
    /// one; `None`: all have.
    fn unconfirmed_process(&self, seq: u64) -> Option<&Process> {
        let mut processes = self.leader.processes();
        let process = processes.find(|(_, peer)| !self.leader.has_applied(peer, seq));
        process.map(|(process, _)| process)
    }

    fn progress_of_draining(&self, drain: &Drain) -> Progress {
        match self.drain_blocker(drain) {
            None => {
                Progress::move_to(Stage::OutOfService, "out", "nothing is sent there and nothing runs there")
            }
            Some(reason) if drain.stage_age >= self.config.max_drain_time => {
                let outcome = Outcome::Failed { reason: reason.clone() };
                Progress::Complete { outcome, change: "failed", reason }
            }
            Some(reason) => Progress::Wait(reason),
        }
    }

    /// Returns the condition that keeps a host from being drained, as a text for operators; `None`: it is
    /// drained.
    fn drain_blocker(&self, drain: &Drain) -> Option<String> {
        let mut processes = self.leader.processes();
        processes.find_map(|(process, peer)| self.drain_blocker_at(drain, process, peer))
    }

    /// Returns the condition at one process that keeps a host from being drained; `None`: there is none. The
    /// process must have confirmed the drain and have no call in flight at the host, or its lease must have
    /// expired longer ago than the maximum duration of a call.
    fn drain_blocker_at(
        &self,
        drain: &Drain,
        process: &Process,
        peer: &PeerState<Maintenance>,
    ) -> Option<String> {
        let name = &process.name;
        if self.leader.has_applied(peer, drain.stage_seq) {
            let busy = peer.report().and_then(|report| report.busy.get(&drain.request.host));
            return match busy.copied().unwrap_or(0) {
                0 => None,
                calls => Some(format!("{name} has {calls} calls in hand there")),
            };
        }
        let max_call_duration = Config::with_max_drift(self.leader.config.max_call_duration);
        let has_expired = self.leader.now >= peer.lease_expiry() + max_call_duration;
        (!has_expired)
            .then(|| format!("{name} has not confirmed, and may send until its permission runs out"))
    }

    fn progress_of_out_of_service(&self, drain: &Drain) -> Progress {
        let is_overdue = drain.stage_age > drain.request.duration;
        if !drain.is_free && self.leader.is_committed(drain.stage_seq) {
            Progress::Free
        } else if is_overdue {
            Progress::wait_for("it is overdue: it should be back")
        } else {
            Progress::Wait(String::new())
        }
    }

    fn progress_of_recovering(&self, drain: &Drain) -> Progress {
        let fact = self.leader.facts.application.hosts.get(&drain.request.host);
        let is_warm = fact.is_some_and(|fact| fact.ready && fact.is_warm() && !fact.failing);
        let reason = if is_warm {
            "it is warm"
        } else if drain.stage_age >= self.config.max_recovery_time {
            "it has not shown itself warm in time"
        } else {
            return Progress::wait_for("it is not warm yet");
        };
        Progress::Complete { outcome: Outcome::Succeeded, change: "done", reason: reason.to_owned() }
    }
}
