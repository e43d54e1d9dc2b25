//! Work of the leader after each event, and forwarding of operators' commands to the leader.

use super::pending_command::PendingCommand;
use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::command_error::CommandError;
use crate::leader::{CommittedResponse, ReceiverSet};
use crate::message::Message;
use flaxhead_membership::{Micros, Name};

/// Maximum number of commands without a result that were submitted at one process.
const MAX_PENDING_COMMANDS: usize = 64;

impl<A: Application> Machine<A> {
    /// Submits an operator's command at this process. An [`Effect::CommandCompleted`] with `id` follows
    /// within `timeout` microseconds.
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

    /// Time at which the next pending command is sent again or times out; `Micros::MAX`: none is pending.
    pub(super) fn next_command_wake(&self) -> Micros {
        let wakes = self.pending_commands.iter().map(|pending| pending.resend_at.min(pending.deadline));
        wakes.min().unwrap_or(Micros::MAX)
    }

    /// Runs the application if this process is the leader, and sends a changed state to the other processes.
    pub(super) fn run_leader(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        let Some((leader, input)) = self.leader_with_input(now, context.facts) else { return };
        let has_changed = leader.step(&input);
        effects.extend(leader.state.take_events().into_iter().map(Effect::Event));
        let state = leader.state.state.clone();
        if has_changed || state.version > self.replica.state.version {
            self.apply(now, state);
            self.disseminate(now, ReceiverSet::All, effects);
            // The leader confirms the state to itself like any process, so that it counts in the majority.
            return self.renew(context, effects);
        }
        self.disseminate(now, ReceiverSet::Unconfirmed, effects);
        self.send_committed_responses(now, effects);
    }

    /// Sends the responses to commands whose effects are now committed.
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

    /// Executes a command that the process `from` forwarded to this leader. A rejection is sent at once, the
    /// response after the commit.
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
        self.run_leader(context, effects);
    }

    /// Passes a command to the application; an error if this process is not the leader or the application
    /// rejects it.
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
        match self.leader_with_input(now, context.facts) {
            Some((leader, input)) => leader.execute(&input, from.clone(), id, command),
            None => Err(CommandError::NoLeader.into()),
        }
    }

    /// Sends the pending commands of this process to the leader, again at intervals until they complete.
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

    /// Completes the pending commands past their deadline with `error`.
    fn fail_overdue_commands(&mut self, now: Micros, error: CommandError, effects: &mut Vec<Effect<A>>) {
        let is_overdue = |pending: &PendingCommand<A::Command>| now >= pending.deadline;
        let overdue = self.pending_commands.iter().filter(|pending| is_overdue(pending));
        effects.extend(
            overdue.map(|pending| Effect::CommandCompleted { id: pending.id, result: Err(error.into()) }),
        );
        self.pending_commands.retain(|pending| !is_overdue(pending));
    }

    /// Executes a command that was submitted at this process, which is the leader.
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
            Ok(()) | Err(_) => self.run_leader(context, effects),
        }
    }

    /// Reports the result of a command that was submitted at this process. If the process that received it
    /// was not the leader, the command stays pending and is sent to the next known leader.
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
