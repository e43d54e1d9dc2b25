//! How the commands of operators are executed.

use super::state::Scheduler;
use crate::command::{Command, CommandResponse, Rejection};
use crate::request::DrainRequest;
use crate::schedule::Drain;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{Presence, Process};

/// The drain in events that are of none.
const NO_DRAIN: u64 = 0;

impl Scheduler<'_, '_> {
    /// Executes a command; the response counts once its effect is committed.
    pub(crate) fn execute(&mut self, command: Command) -> Result<CommandResponse, Rejection> {
        match command {
            Command::Request(request) => self.request(request),
            Command::Withdraw { drain, by } => self.withdraw(drain, by),
            Command::Complete { drain, by } => self.finish_work(drain, &by),
            Command::RemoveProcess { name, by } => self.remove_process(&name, &by),
            Command::DeclareRecovered { by } => {
                if self.leader.declare_recovered() {
                    let reason = format!("all that is out is on the board, by the word of {by}");
                    self.record(NO_DRAIN, "known", reason);
                }
                Ok(CommandResponse::Done)
            }
        }
    }

    /// An open drain.
    fn open_drain(&self, id: u64) -> Result<&Drain, Rejection> {
        if let Some(drain) = self.schedule().drain(id) {
            return Ok(drain);
        }
        Err(match self.schedule().completed_drain(id) {
            Some(completed) => Rejection::Ended { drain: id, outcome: completed.outcome.clone() },
            None => Rejection::UnknownDrain(id),
        })
    }

    /// Opens a drain. Requested twice, it is one.
    fn request(&mut self, request: DrainRequest) -> Result<CommandResponse, Rejection> {
        request.check(self.config.limits.max_duration)?;
        let open = self.schedule().drain_for_host(&request.host);
        if let Some(drain) = open.filter(|drain| drain.stage != Stage::Recovering) {
            return Ok(CommandResponse::Drain { id: drain.id, stage: drain.stage });
        }
        if self.schedule().drains.len() >= self.config.max_open {
            return Err(Rejection::TooMany(self.config.max_open));
        }
        let reason = format!("{}, by {}", request.kind, request.by);
        if request.already_out {
            // That is so whatever the limits say; by them it keeps the others waiting.
            return Ok(self.open(
                request,
                Stage::OutOfService,
                "out",
                format!("{reason}: it was out already"),
            ));
        }
        self.check_possible(&request)?;
        Ok(self.open(request, Stage::Requested, "asked", reason))
    }

    /// Whether a drain of the host could ever begin.
    fn check_possible(&self, request: &DrainRequest) -> Result<(), Rejection> {
        if let Some(limit) = self.config.limits.forbidding() {
            return Err(Rejection::Impossible(format!("the limit {limit} is 0")));
        }
        // Before the leader has a list itself it can say nothing of hosts.
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
        self.record(id, change, reason);
        self.leader.publish();
        if stage == Stage::OutOfService {
            self.move_to(id, stage);
        }
        CommandResponse::Drain { id, stage }
    }

    /// Withdraws a request. Withdrawn twice by one operator, as where the first response was lost, it is withdrawn.
    fn withdraw(&mut self, id: u64, by: String) -> Result<CommandResponse, Rejection> {
        let stage = match self.open_drain(id) {
            Err(Rejection::Ended { outcome: Outcome::Withdrawn { by: before }, .. }) if before == by => {
                return Ok(CommandResponse::Done);
            }
            open => open?.stage,
        };
        if stage >= Stage::OutOfService {
            return Err(Rejection::WrongStage { drain: id, stage });
        }
        self.record(id, "withdrawn", format!("by {by}"));
        self.complete(id, Outcome::Withdrawn { by });
        self.leader.publish();
        Ok(CommandResponse::Done)
    }

    /// The work is done: the host is back in service.
    fn finish_work(&mut self, id: u64, by: &str) -> Result<CommandResponse, Rejection> {
        let drain = self.open_drain(id)?;
        let (stage, owner) = (drain.stage, drain.request.by.clone());
        match stage {
            Stage::Recovering => {}
            Stage::OutOfService if owner != by => return Err(Rejection::NotOwner { drain: id, owner }),
            Stage::OutOfService => {
                self.record(id, "back", format!("done by {by}"));
                self.move_to(id, Stage::Recovering);
                self.leader.publish();
            }
            stage => return Err(Rejection::WrongStage { drain: id, stage }),
        }
        Ok(CommandResponse::Drain { id, stage: Stage::Recovering })
    }

    /// Removes the processes of a name that are not heard and, by the operators' word, do not run.
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
        self.record(NO_DRAIN, "gone", reason);
        Ok(CommandResponse::Done)
    }

    /// Whether a process runs, according to the membership.
    fn is_running(&self, process: &Process) -> bool {
        let member = self.leader.facts.members.get(&process.name);
        member.is_some_and(|member| {
            member.incarnation == process.incarnation && member.presence == Presence::Alive
        })
    }
}
