//! How a drain progresses.

use super::state::Scheduler;
use crate::application_types::Maintenance;
use crate::schedule::Drain;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Config, PeerState, Process};

/// What a drain does now.
enum Progress {
    /// It moves to the next stage.
    Move { to: Stage, change: &'static str, reason: String },
    /// Operators may begin the work.
    Free,
    /// It ends.
    End { outcome: Outcome, change: &'static str, reason: String },
    /// It waits for this; empty: for the operators.
    Wait(String),
    /// It waits to be selected, which tells what keeps it waiting.
    AwaitSelection,
}

impl Progress {
    fn moves(to: Stage, change: &'static str, reason: &str) -> Progress {
        Progress::Move { to, change, reason: reason.to_owned() }
    }

    fn waits(reason: &str) -> Progress {
        Progress::Wait(reason.to_owned())
    }
}

impl Scheduler<'_, '_> {
    /// Does what can be done.
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

    /// Moves a drain on, if it can be. Returns whether the schedule has changed by that.
    fn step_drain(&mut self, id: u64) -> bool {
        let Some(drain) = self.schedule().drain(id) else { return false };
        match self.progress(drain) {
            Progress::Move { to, change, reason } => {
                self.record(id, change, reason);
                self.move_to(id, to);
                true
            }
            Progress::Free => {
                self.record(id, "free", "a majority of voters knows that it is out".to_owned());
                if let Some(drain) = self.schedule_mut().drain_mut(id) {
                    drain.is_free = true;
                }
                true
            }
            Progress::End { outcome, change, reason } => {
                self.record(id, change, reason);
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
        let is_late = drain.request.not_after == Some(0);
        match drain.stage {
            Stage::Requested | Stage::Scheduled if is_late => {
                let reason = drain.waits_for.clone();
                let outcome = Outcome::Expired { reason: reason.clone() };
                Progress::End { outcome, change: "expired", reason }
            }
            Stage::Requested => Progress::AwaitSelection,
            Stage::Scheduled => self.progress_of_scheduled(drain),
            Stage::Draining => self.progress_of_draining(drain),
            Stage::OutOfService => self.progress_of_out_of_service(drain),
            Stage::Recovering => self.progress_of_recovering(drain),
        }
    }

    /// A scheduled drain waits until every process knows that it is next.
    fn progress_of_scheduled(&self, drain: &Drain) -> Progress {
        match self.not_announced_to(drain.stage_seq) {
            None => Progress::moves(Stage::Draining, "draining", "all know that it is next"),
            Some(process) => Progress::Wait(format!("{} has not confirmed that it is next", process.name)),
        }
    }

    /// A process that has not applied the schedule of this count.
    fn not_announced_to(&self, seq: u64) -> Option<&Process> {
        let mut processes = self.leader.processes();
        let process = processes.find(|(_, peer)| !self.leader.has_applied(peer, seq));
        process.map(|(process, _)| process)
    }

    fn progress_of_draining(&self, drain: &Drain) -> Progress {
        match self.not_drained(drain) {
            None => {
                Progress::moves(Stage::OutOfService, "out", "nothing is sent there and nothing runs there")
            }
            Some(reason) if drain.stage_age >= self.config.max_drain_time => {
                let outcome = Outcome::Failed { reason: reason.clone() };
                Progress::End { outcome, change: "failed", reason }
            }
            Some(reason) => Progress::Wait(reason),
        }
    }

    /// What a draining host waits for; `None`: it is drained.
    fn not_drained(&self, drain: &Drain) -> Option<String> {
        let mut processes = self.leader.processes();
        processes.find_map(|(process, peer)| self.not_drained_by(drain, process, peer))
    }

    /// A process is done with a host once it has stopped sending and has no call in flight there, or its lease has
    /// expired, and with it all calls that it can have had in flight.
    fn not_drained_by(
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
            Progress::waits("it is overdue: it should be back")
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
            return Progress::waits("it is not warm yet");
        };
        Progress::End { outcome: Outcome::Completed, change: "done", reason: reason.to_owned() }
    }
}
