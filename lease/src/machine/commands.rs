//! The leader's steps, and the commands of operators.

use super::pending_command::PendingCommand;
use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::command_error::CommandError;
use crate::leader::{Audience, CommittedResponse};
use crate::message::Message;
use flaxhead_membership::{Micros, Name};

/// Maximum number of commands that wait at one process to be forwarded, or for their response.
const MAX_PENDING_COMMANDS: usize = 64;

impl<A: Application> Machine<A> {
    /// An operator submits a command here; an [`Effect::CommandCompleted`] follows within `timeout`.
    pub fn submit(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        id: u64,
        command: A::Command,
        timeout: Micros,
        effects: &mut Vec<Effect<A>>,
    ) {
        if self.pending_commands.len() >= MAX_PENDING_COMMANDS {
            let result = Err(CommandError::TooManyPending(MAX_PENDING_COMMANDS).into());
            return effects.push(Effect::CommandCompleted { id, result });
        }
        let (deadline, resend_at) = (context.now + timeout, context.now);
        self.pending_commands.push_back(PendingCommand { id, command, deadline, resend_at });
        self.tick(context, effects);
    }

    /// When a pending command is next sent or fails.
    pub(super) fn next_command_wake(&self) -> Micros {
        let wakes = self.pending_commands.iter().map(|pending| pending.resend_at.min(pending.deadline));
        wakes.min().unwrap_or(Micros::MAX)
    }

    /// As the leader: does what can be done, and sends out what has changed.
    pub(super) fn lead(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        let Some((leader, environment)) = self.leader_with_environment(now, context.facts) else { return };
        let has_changed = leader.step(&environment);
        effects.extend(leader.state.take_events().into_iter().map(Effect::Event));
        let state = leader.state.state.clone();
        if has_changed || state.version > self.member.state.version {
            self.apply(now, state);
            self.disseminate(now, Audience::Everyone, effects);
            // Its own confirmation is one of those that the state waits for.
            return self.renew(context, effects);
        }
        self.disseminate(now, Audience::Unconfirmed, effects);
        self.send_committed_responses(now, effects);
    }

    fn send_committed_responses(&mut self, now: Micros, effects: &mut Vec<Effect<A>>) {
        let Some(leader) = self.leader.as_mut() else { return };
        let committed = leader.state.take_committed(now, &self.config, &self.voters);
        for CommittedResponse { to, id, response } in committed {
            if to == self.me.name {
                self.complete_command(id, Ok(response), effects);
            } else {
                self.send(&to, Message::CommandResponse { id, result: Ok(response) }, effects);
            }
        }
    }

    /// A command that was submitted at another process comes to this one as the leader.
    pub(super) fn handle_command(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        id: u64,
        command: A::Command,
        effects: &mut Vec<Effect<A>>,
    ) {
        let executed = self.execute_command(context, from, id, command);
        if let Err(rejection) = executed {
            self.send(from, Message::CommandResponse { id, result: Err(rejection) }, effects);
        }
        self.lead(context, effects);
    }

    fn execute_command(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        id: u64,
        command: A::Command,
    ) -> Result<(), A::Rejection> {
        let now = context.now;
        if self.leading_ballot(now).is_none() {
            return Err(CommandError::NoLeader.into());
        }
        match self.leader_with_environment(now, context.facts) {
            Some((leader, environment)) => leader.execute(&environment, from.clone(), id, command),
            None => Err(CommandError::NoLeader.into()),
        }
    }

    /// Sends the commands that were submitted here to the leader, again and again until they are answered.
    pub(super) fn forward_commands(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let leader = self.current_leader(now);
        let error = if leader.is_some() { CommandError::TimedOut } else { CommandError::NoLeader };
        self.fail_overdue_commands(now, error, effects);
        let Some(leader) = leader else {
            let earliest = now + self.config.renewal_interval() / 4 + 1;
            for pending in &mut self.pending_commands {
                pending.resend_at = pending.resend_at.max(earliest);
            }
            return;
        };
        let resend_at = now + self.config.renewal_interval();
        let mut due = Vec::new();
        for pending in self.pending_commands.iter_mut().filter(|pending| now >= pending.resend_at) {
            pending.resend_at = resend_at;
            due.push((pending.id, pending.command.clone()));
        }
        for (id, command) in due {
            if leader == self.me.name {
                self.execute_own_command(context, id, command, effects);
            } else {
                self.send(&leader, Message::Command { id, command }, effects);
            }
        }
    }

    fn fail_overdue_commands(&mut self, now: Micros, error: CommandError, effects: &mut Vec<Effect<A>>) {
        let is_overdue = |pending: &PendingCommand<A::Command>| now >= pending.deadline;
        let overdue = self.pending_commands.iter().filter(|pending| is_overdue(pending));
        effects.extend(
            overdue.map(|pending| Effect::CommandCompleted { id: pending.id, result: Err(error.into()) }),
        );
        self.pending_commands.retain(|pending| !is_overdue(pending));
    }

    /// Executes a command that was submitted at the leader itself.
    fn execute_own_command(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        id: u64,
        command: A::Command,
        effects: &mut Vec<Effect<A>>,
    ) {
        let me = self.me.name.clone();
        match self.execute_command(context, &me, id, command) {
            Err(rejection) if rejection != CommandError::NoLeader.into() => {
                self.complete_command(id, Err(rejection), effects);
            }
            Ok(()) | Err(_) => self.lead(context, effects),
        }
    }

    /// Gives the operator the result of a command that was submitted here. Where there was no leader, the command stays
    /// pending: another process may lead by now, and is asked next.
    pub(super) fn complete_command(
        &mut self,
        id: u64,
        result: Result<A::Response, A::Rejection>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if result == Err(CommandError::NoLeader.into()) {
            return;
        }
        let before = self.pending_commands.len();
        self.pending_commands.retain(|pending| pending.id != id);
        if self.pending_commands.len() != before {
            effects.push(Effect::CommandCompleted { id, result });
        }
    }
}
