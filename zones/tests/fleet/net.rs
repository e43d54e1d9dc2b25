//! The network between the processes, and what each process knows of the others.

use super::{process_address, process_name, Fleet, SimulatedEvent, SimulatedProcess, SECOND};
use flaxhead_lease::{MemberStatus, Presence};
use flaxhead_zones::{Context, Effect, Facts, Machine, Message};
use rand_core::RngCore;

impl Fleet {
    pub(super) fn deliver(&mut self, to: usize, message_id: u64) {
        let Some((from, message)) = self.messages.remove(&message_id) else { return };
        if self.processes[to].is_paused {
            // Messages to a paused process wait in its socket.
            self.messages.insert(message_id, (from, message));
            return self.schedule(SECOND / 4, SimulatedEvent::Arrive { to, message_id });
        }
        if self.processes[to].is_cut_off {
            return;
        }
        let from = process_name(from);
        self.run_machine(to, |machine, context, effects| machine.receive(context, &from, message, effects));
    }

    /// Runs a process's machine and carries out the effects.
    pub(super) fn run_machine(
        &mut self,
        process: usize,
        run: impl FnOnce(&mut Machine, &mut Context<'_>, &mut Vec<Effect>),
    ) {
        let local_time = self.local_time(process);
        let Some(mut machine) = self.processes[process].machine.take() else { return };
        // Only voters use the facts, so the other processes get none, to save time.
        let facts = if process < 5 { self.facts_for(process) } else { Facts::default() };
        let mut effects = Vec::new();
        machine.application_mut().update_early_renewal(local_time);
        let mut context = Context { now: local_time, facts: &facts, random: &mut self.random };
        run(&mut machine, &mut context, &mut effects);
        self.processes[process].machine = Some(machine);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(process, &to, message),
                Effect::Event(event) => self.stats.record_event(self.now, event),
                Effect::CommandCompleted { id, result } => {
                    self.stats.command_results.insert(id, result);
                }
                Effect::LeadershipChanged(_) => {}
            }
        }
        self.schedule_wake(process);
    }

    fn send(&mut self, from: usize, to: &flaxhead_zones::Name, message: Message) {
        let Some(to) = self.process_by_name.get(to).copied() else { return };
        if let Message::Renew(renewal) = &message {
            self.stats.report_count += 1;
            if self.stats.report_count.is_multiple_of(50) {
                let bytes = postcard::to_stdvec(&renewal.report).expect("a report").len();
                self.stats.max_report_bytes = self.stats.max_report_bytes.max(bytes);
            }
        }
        let is_lost = (self.random.next_u32() as f64) < self.config.message_loss * f64::from(u32::MAX);
        if is_lost || self.processes[from].is_cut_off || self.processes[to].is_cut_off {
            return;
        }
        let delay = 500 + self.random_below(4_000);
        self.sequence += 1;
        let message_id = self.sequence;
        self.messages.insert(message_id, (from, message));
        self.schedule(delay, SimulatedEvent::Arrive { to, message_id });
    }

    pub(super) fn schedule_wake(&mut self, process: usize) {
        let local_time = self.local_time(process);
        let Some(machine) = &self.processes[process].machine else { return };
        let delay = machine.next_wake().saturating_sub(local_time).max(1_000);
        let at = self.now + delay;
        self.processes[process].wake_at = at;
        self.schedule(delay, SimulatedEvent::Wake(process, at));
    }

    /// The facts that a process has from membership and discovery, up to 200 ms old.
    fn facts_for(&mut self, process: usize) -> Facts {
        let cached = self.cached_facts.as_ref().filter(|(at, _)| self.now < at + SECOND / 5);
        let mut facts = match cached {
            Some((_, facts)) => facts.clone(),
            None => {
                let facts = self.current_facts();
                self.cached_facts = Some((self.now, facts.clone()));
                facts
            }
        };
        facts.members.remove(&process_name(process));
        facts.participates = !self.processes[process].is_cut_off
            || self.now.saturating_sub(self.processes[process].state_since) < 3 * SECOND;
        facts
    }

    fn current_facts(&self) -> Facts {
        let member = |process: usize| {
            let SimulatedProcess { incarnation, state_since, is_paused, is_cut_off, machine, .. } =
                &self.processes[process];
            let state_age = self.now.saturating_sub(*state_since);
            let presence = match (machine.is_none(), *is_paused || *is_cut_off) {
                (true, _) if state_age > 2 * SECOND => Presence::Exited,
                (_, true) if state_age > 10 * SECOND => Presence::Unreachable,
                (_, true) if state_age > 3 * SECOND => Presence::Suspected,
                _ => Presence::Alive,
            };
            (
                process_name(process),
                MemberStatus {
                    incarnation: *incarnation,
                    address: process_address(process),
                    presence,
                    since: 0,
                },
            )
        };
        let members = (0..self.processes.len()).map(member).collect();
        Facts { application: self.hosts.list(), members, participates: true }
    }
}
