//! Execution of one step of a model, and enumeration of the faults that may occur in it.

use crate::fault::{Fault, LastingFault};
use crate::system_state::{ActiveFault, Envelope, QueuedMessage, SystemState};
use flaxhead_lease::{Application, Message};
use std::collections::VecDeque;

/// Maximum number of messages in a step; more indicate an endless exchange of messages.
const MAX_MESSAGES_PER_STEP: usize = 2_000;

/// Limits on the faults and the length of a history, which is a sequence of steps.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a, R> {
    /// Step at which the history begins.
    pub first_step: u8,
    /// Maximum number of faults in a history.
    pub max_faults: u8,
    /// True if faults occur between any two messages; otherwise they occur only between steps.
    pub faults_between_messages: bool,
    /// Indices of the nodes that may become faulty.
    pub faulty_nodes: &'a [usize],
    /// Lasting faults that may occur; empty: none.
    pub lasting_kinds: &'a [LastingFault],
    /// Duration of a lasting fault in steps. It must exceed a lease and the quarantine of a restarted voter.
    pub lasting_steps: u8,
    /// States that processes may find when all of them restart.
    pub restart_states: &'a [R],
    /// Number of steps in which faults may begin.
    pub fault_steps: u8,
    /// Number of steps after which the history ends.
    pub steps: u8,
}

/// Result of a step.
pub struct StepOutcome<A: Application, M> {
    /// State after the step.
    pub state: SystemState<A, M>,
    /// Number of messages that were sent in the step.
    pub messages: usize,
}

/// Model of several processes that run one application, as input of a model checker.
pub trait SystemModel {
    /// Lease application that all processes of the model run.
    type Application: Application + Clone + std::fmt::Debug;
    /// Model data outside the processes, such as calls in flight or the contents of disks.
    type Environment: Clone;
    /// Description of what the processes find on disk when all of them restart; only a model defines its
    /// meaning.
    type RestartState: Copy + PartialEq;

    /// Returns the limits on the faults and the length of each history.
    fn bounds(&self) -> Bounds<'_, Self::RestartState>;

    /// Delivers a message to a node, or with `None` runs its timers. Returns the messages that the node
    /// sends.
    fn handle_event(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
        message: Option<(usize, Message<Self::Application>)>,
    ) -> Vec<Envelope<Self::Application>>;

    /// Replaces the process of a node by a restarted one.
    fn crash(&self, state: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// Replaces the processes of all nodes by restarted ones.
    fn restart_all(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        restart_state: Self::RestartState,
    );

    /// Called when a node is no longer frozen, before its timers run and before the queued messages are
    /// delivered.
    fn resume(&self, state: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// Called at the beginning of each step.
    fn begin_step(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// Runs the timers of a node, once in each step. Returns the messages that the node sends.
    fn tick(
        &self,
        state: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
    ) -> Vec<Envelope<Self::Application>> {
        self.handle_event(state, node, None)
    }

    /// Called after the timers of all nodes have run, before any message is delivered.
    fn after_ticks(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// Returns whether the messages of a node reach the others.
    fn can_send(&self, state: &SystemState<Self::Application, Self::Environment>, node: usize) -> bool {
        state.can_send(node)
    }

    /// Executes a step with this fault.
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
            // A crash loses only the messages that the process has not sent yet.
            if fault != Fault::Lose(place) {
                in_transit.extend(self.deliver(&mut state, envelope));
            }
            place += 1;
        }
        StepOutcome { state, messages: place }
    }

    /// Counts down the lasting fault. Returns the queued messages of a node that is no longer frozen.
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

    /// Applies the fault of the step if its place is `at`.
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

    /// Delivers a message unless a lasting fault prevents it. Returns the messages that the receiver sends.
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

    /// Appends all faults that may occur in the next step, including [`Fault::Nothing`].
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

/// Appends the faults that may occur before the message at this place.
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
