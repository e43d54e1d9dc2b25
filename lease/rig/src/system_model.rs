//! Execution of one step of a model, and enumeration of the faults that may occur in it.

use crate::fault::{Fault, LastingFault};
use crate::system_state::{ActiveFault, Envelope, QueuedMessage, SystemState};
use flaxhead_lease::{Application, Message};
use std::collections::VecDeque;

/// Maximum number of messages in a step; more indicate that processes respond to each other endlessly.
const MAX_MESSAGES_PER_STEP: usize = 2_000;

/// Limits on the faults in a history and on its length. A history is a sequence of steps. `R` is the model's
/// [`SystemModel::RestartState`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a, R> {
    /// [`SystemState::step`] of the state from which the history begins. Not 0 if the model starts from a
    /// state that is already some steps old, for example with an elected leader.
    pub first_step: u8,
    /// Maximum number of faults in a history, without deliveries of message copies.
    pub max_faults: u8,
    /// True if a fault may occur before any message of a step; otherwise only before the first one, and
    /// messages are neither lost nor duplicated.
    pub faults_between_messages: bool,
    /// Indices of the nodes at which crashes and lasting faults may occur.
    pub faulty_nodes: &'a [usize],
    /// Kinds of lasting faults that may occur; empty: none.
    pub lasting_kinds: &'a [LastingFault],
    /// Duration of a lasting fault, in steps. It must exceed a lease and the quarantine of a restarted voter,
    /// so that leases expire and voters recover during the fault.
    pub lasting_steps: u8,
    /// Disk contents that the processes may find when all of them restart; empty: they do not restart
    /// together.
    pub restart_states: &'a [R],
    /// Number of steps, from the beginning of the history, in which faults may begin.
    pub fault_steps: u8,
    /// Number of steps of a history. The last ones have no new faults, so that the processes can recover.
    pub steps: u8,
}

/// Result of executing one step.
pub struct StepOutcome<A: Application, M> {
    /// State of the model after the step.
    pub state: SystemState<A, M>,
    /// Number of messages in the step, whether delivered or lost.
    pub messages: usize,
}

/// Model of several nodes whose processes run one lease application, as input of a model checker.
pub trait SystemModel {
    /// Lease application that the processes of all nodes run.
    type Application: Application + Clone + std::fmt::Debug;
    /// Model's own data about the surroundings of the processes, such as calls in flight or the contents of
    /// disks.
    type Environment: Clone;
    /// Description of the disk contents that processes find when all of them restart. Only the model
    /// interprets it.
    type RestartState: Copy + PartialEq;

    /// Returns the limits on the faults in each history and on its length.
    fn bounds(&self) -> Bounds<'_, Self::RestartState>;

    /// Calls the lease machine of a node: with `Some`, to receive a message from the node with that index;
    /// with `None`, to run its timers. Returns the messages that the node sends.
    fn handle_event(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
        message: Option<(usize, Message<Self::Application>)>,
    ) -> Vec<Envelope<Self::Application>>;

    /// Replaces the process of a node by a restarted one. The model decides what it finds on disk.
    fn crash(&self, state: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// Replaces the processes of all nodes by restarted ones, which find `restart_state` on disk.
    fn restart_all(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        restart_state: Self::RestartState,
    );

    /// Called when a node is no longer frozen, before its timers run and before it receives the messages that
    /// were queued.
    fn resume(&self, state: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// Called at the beginning of each step, before any other action.
    fn begin_step(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// Runs the timers of a node, once in each step unless it is frozen. A model may override this to do
    /// more, such as writing the node's data to disk. Returns the messages that the node sends.
    fn tick(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
    ) -> Vec<Envelope<Self::Application>> {
        self.handle_event(state, node, None)
    }

    /// Called in each step after the timers of all nodes have run, before any message is delivered.
    fn after_ticks(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// Returns whether messages from a node are delivered. A model may override this to silence a node
    /// permanently.
    fn can_send(&self, state: &SystemState<Self::Application, Self::Environment>, node: usize) -> bool {
        state.can_send(node)
    }

    /// Executes one step from `state`, in which `fault` occurs.
    fn run_step(
        &self,
        state: &SystemState<Self::Application, Self::Environment>,
        fault: Fault<Self::RestartState>,
    ) -> StepOutcome<Self::Application, Self::Environment> {
        let mut state = state.clone();
        state.step += 1;
        self.begin_step(&mut state);
        let mut in_transit = self.end_lasting_fault(&mut state);
        if fault == Fault::DeliverDuplicate {
            in_transit.extend(state.duplicate.take());
        }
        if !matches!(fault, Fault::Nothing | Fault::DeliverDuplicate) {
            state.faults += 1;
        }
        for node in 0..state.nodes.len() {
            if !state.is_frozen(node) {
                in_transit.extend(self.tick(&mut state, node));
            }
        }
        self.after_ticks(&mut state);
        let mut place = 0;
        while let Some(envelope) = in_transit.pop_front() {
            self.inject_fault(&mut state, fault, place, &envelope);
            assert!(
                place + 1 < MAX_MESSAGES_PER_STEP,
                "too many messages in one step; the last one is {:?}",
                envelope.message
            );
            // A crash of the sender before this delivery does not lose the message, which was sent before.
            if fault != Fault::Lose(place) {
                in_transit.extend(self.deliver(&mut state, envelope));
            }
            place += 1;
        }
        StepOutcome { state, messages: place }
    }

    /// Shortens the active lasting fault by one step, and ends it when its time is over. Returns the messages
    /// that were queued if the node was frozen until now.
    fn end_lasting_fault(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
    ) -> VecDeque<Envelope<Self::Application>> {
        let Some(fault) = &mut state.active_fault else { return VecDeque::new() };
        fault.steps_left -= 1;
        let ActiveFault { node, kind, steps_left } = *fault;
        if steps_left > 0 {
            return VecDeque::new();
        }
        state.active_fault = None;
        let queued = std::mem::take(&mut state.queued);
        if kind != LastingFault::Frozen {
            return VecDeque::new();
        }
        self.resume(state, node);
        let envelope = |QueuedMessage { from, message }| Envelope { from, to: node, message };
        queued.into_iter().map(envelope).collect()
    }

    /// Applies `fault` if it occurs before the message with the index `at`. `next` is that message.
    fn inject_fault(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        fault: Fault<Self::RestartState>,
        at: usize,
        next: &Envelope<Self::Application>,
    ) {
        match fault {
            Fault::Crash { node, place } if place == at => self.crash(state, node),
            Fault::RestartAll { restart_state, place } if place == at => {
                self.restart_all(state, restart_state)
            }
            Fault::Begin { node, kind, place } if place == at => {
                let steps_left = self.bounds().lasting_steps;
                state.active_fault = Some(ActiveFault { node, kind, steps_left });
            }
            Fault::Duplicate(place) if place == at => state.duplicate = Some(next.clone()),
            _ => {}
        }
    }

    /// Delivers a message, loses it to the active fault, or queues it for a frozen node. Returns the messages
    /// that the receiver sends.
    fn deliver(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        envelope: Envelope<Self::Application>,
    ) -> Vec<Envelope<Self::Application>> {
        let Envelope { from, to, message } = envelope;
        if !state.can_receive(to) || !self.can_send(state, from) {
            return Vec::new();
        }
        if state.is_frozen(to) {
            state.queued.push(QueuedMessage { from, message });
            return Vec::new();
        }
        self.handle_event(state, to, Some((from, message)))
    }

    /// Appends all faults that may occur in the next step after `state`, including [`Fault::Nothing`];
    /// nothing if the history ends here.
    fn list_faults(
        &self,
        state: &SystemState<Self::Application, Self::Environment>,
        faults: &mut Vec<Fault<Self::RestartState>>,
    ) {
        let bounds = self.bounds();
        if state.violation.is_some() || state.step >= bounds.first_step + bounds.steps {
            return;
        }
        faults.push(Fault::Nothing);
        let faulty_until = bounds.first_step + bounds.fault_steps;
        if state.step >= faulty_until + 2 * bounds.lasting_steps {
            return;
        }
        if state.duplicate.is_some() {
            faults.push(Fault::DeliverDuplicate);
        }
        if state.faults >= bounds.max_faults || state.step >= faulty_until {
            return;
        }
        let messages = self.run_step(state, Fault::Nothing).messages;
        let places = if bounds.faults_between_messages { messages } else { messages.min(1) };
        for place in 0..places {
            list_faults_at(place, state, &bounds, faults);
        }
    }
}

/// Appends the faults that may occur before the message with the index `place`.
fn list_faults_at<A: Application, M, R: Copy>(
    place: usize,
    state: &SystemState<A, M>,
    bounds: &Bounds<'_, R>,
    faults: &mut Vec<Fault<R>>,
) {
    let may_begin_lasting_fault = state.active_fault.is_none();
    if may_begin_lasting_fault {
        faults.extend(
            bounds.restart_states.iter().map(|state| Fault::RestartAll { restart_state: *state, place }),
        );
    }
    if bounds.faults_between_messages {
        faults.push(Fault::Lose(place));
        if state.duplicate.is_none() {
            faults.push(Fault::Duplicate(place));
        }
    }
    for &node in bounds.faulty_nodes {
        faults.push(Fault::Crash { node, place });
        if may_begin_lasting_fault {
            let begin = |kind: &LastingFault| Fault::Begin { node, kind: *kind, place };
            faults.extend(bounds.lasting_kinds.iter().map(begin));
        }
    }
}
