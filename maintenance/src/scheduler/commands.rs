//! Execution of operators' commands at the leader.

use super::state::Scheduler;
use crate::command::{Command, CommandResponse, Rejection};
use crate::request::DrainRequest;
use crate::schedule::Drain;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Presence, Process};

/// Identifier in events that concern no particular drain.
const NO_DRAIN: u64 = 0;

impl Scheduler<'_, '_> {
    /// Executes an operator's command. The response holds only once a majority of voters has applied the
    /// changed schedule.
    pub(crate) fn execute(&mut self, command: Command) -> Result<CommandResponse, Rejection> {
        match command {
            Command::Request(request) => self.request(request),
            Command::Withdraw { drain, by } => self.withdraw(drain, by),
            Command::Complete { drain, by } => self.complete_maintenance(drain, &by),
            Command::RemoveProcess { name, by } => self.remove_process(&name, &by),
            Command::DeclareRecovered { by } => {
                if self.leader.declare_recovered() {
                    let reason = format!("all that is out is on the board, by the word of {by}");
                    self.record_event(NO_DRAIN, "known", reason);
                }
                Ok(CommandResponse::Done)
            }
        }
    }

    /// Returns the open drain of this identifier.
    ///
    /// # Errors
    ///
    /// The drain is completed, or the schedule has no drain of this identifier.
    fn find_open_drain(&self, id: u64) -> Result<&Drain, Rejection> {
        if let Some(drain) = self.schedule().drain(id) {
            return Ok(drain);
        }
        Err(match self.schedule().completed_drain(id) {
            Some(completed) => Rejection::Ended { drain: id, outcome: completed.outcome.clone() },
            None => Rejection::UnknownDrain(id),
        })
    }

    /// Opens the requested drain. If the host already has an open drain that is not yet recovering, returns
    /// that drain.
    fn request(&mut self, request: DrainRequest) -> Result<CommandResponse, Rejection> {
        request.check(self.config.limits.max_duration)?;
        let existing = self.schedule().drain_for_host(&request.host);
        if let Some(drain) = existing.filter(|drain| drain.stage != Stage::Recovering) {
            return Ok(CommandResponse::Drain { id: drain.id, stage: drain.stage });
        }
        if self.schedule().drains.len() >= self.config.max_open {
            return Err(Rejection::TooMany(self.config.max_open));
        }
        let reason = format!("{}, by {}", request.kind, request.by);
        if request.already_out {
            // The limits are not checked, since the host is out of service already; it counts towards the
            // limits of other drains.
            return Ok(self.open(
                request,
                Stage::OutOfService,
                "out",
                format!("{reason}: it was out already"),
            ));
        }
        self.check_feasible(&request)?;
        Ok(self.open(request, Stage::Requested, "asked", reason))
    }

    /// Rejects a drain that could never start, because a limit is 0 or discovery does not list the host.
    fn check_feasible(&self, request: &DrainRequest) -> Result<(), Rejection> {
        if let Some(limit) = self.config.limits.zero_limit() {
            return Err(Rejection::Impossible(format!("the limit {limit} is 0")));
        }
        // Without a list of hosts from discovery, the leader cannot tell whether the host exists.
        let hosts = &self.leader.facts.application.hosts;
        if hosts.is_empty() {
            return Err(Rejection::NoLeader);
        }
        if !hosts.contains_key(&request.host) {
            return Err(Rejection::UnknownHost(request.host.clone()));
        }
        Ok(())
    }

    fn open(&mut self, request: DrainRequest, stage: Stage, change: &str, reason: String) -> CommandResponse {
        let id = self.schedule_mut().open(request, stage);
        self.record_event(id, change, reason);
        self.leader.publish();
        if stage == Stage::OutOfService {
            self.move_to_stage(id, stage);
        }
        CommandResponse::Drain { id, stage }
    }

    /// Withdraws a drain. Succeeds again if the same operator repeats the command, since the first response
    /// may have been lost.
    fn withdraw(&mut self, id: u64, by: String) -> Result<CommandResponse, Rejection> {
        let stage = match self.find_open_drain(id) {
            Err(Rejection::Ended { outcome: Outcome::Withdrawn { by: earlier }, .. }) if earlier == by => {
                return Ok(CommandResponse::Done);
            }
            found => found?.stage,
        };
        if stage >= Stage::OutOfService {
            return Err(Rejection::WrongStage { drain: id, stage });
        }
        self.record_event(id, "withdrawn", format!("by {by}"));
        self.complete(id, Outcome::Withdrawn { by });
        self.leader.publish();
        Ok(CommandResponse::Done)
    }

    /// Moves a drain whose maintenance is complete to recovery, so that its host receives calls again.
    fn complete_maintenance(&mut self, id: u64, by: &str) -> Result<CommandResponse, Rejection> {
        let drain = self.find_open_drain(id)?;
        let (stage, owner) = (drain.stage, drain.request.by.clone());
        match stage {
            Stage::Recovering => {}
            Stage::OutOfService if owner != by => return Err(Rejection::NotOwner { drain: id, owner }),
            Stage::OutOfService => {
                self.record_event(id, "back", format!("done by {by}"));
                self.move_to_stage(id, Stage::Recovering);
                self.leader.publish();
            }
            stage => return Err(Rejection::WrongStage { drain: id, stage }),
        }
        Ok(CommandResponse::Drain { id, stage: Stage::Recovering })
    }

    /// Removes from the roster each process of this name that is not alive according to the membership and
    /// has not reported to the leader recently.
    fn remove_process(&mut self, name: &str, by: &str) -> Result<CommandResponse, Rejection> {
        let has_name = |process: &Process| process.name.as_str() == name;
        if !self.leader.processes().any(|(process, _)| has_name(process)) {
            return Err(Rejection::UnknownProcess(name.to_owned()));
        }
        let named = self.leader.processes().filter(|(process, _)| has_name(process));
        let silent =
            named.filter(|(process, peer)| !self.is_running(process) && !self.leader.heard_recently(peer));
        let silent: Vec<Process> = silent.map(|(process, _)| process.clone()).collect();
        if silent.is_empty() {
            return Err(Rejection::ProcessRuns(name.to_owned()));
        }
        silent.iter().for_each(|process| self.leader.remove_process(process));
        let reason = format!("{name} does not run any more, by the word of {by}");
        self.record_event(NO_DRAIN, "gone", reason);
        Ok(CommandResponse::Done)
    }

    /// Returns whether the membership lists this process, by its name and its incarnation, as alive.
    fn is_running(&self, process: &Process) -> bool {
        let member = self.leader.facts.members.get(&process.name);
        member.is_some_and(|member| {
            member.incarnation == process.incarnation && member.presence == Presence::Alive
        })
    }
}
