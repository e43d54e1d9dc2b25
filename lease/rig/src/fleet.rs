//! A step of a model, and the faults that may occur in it.

use crate::fault::{Fault, LastingFault};
use crate::world::{ActiveFault, Envelope, QueuedMessage, SystemState};
use flaxhead_lease::{Application, Message};
use std::collections::VecDeque;

/// Maximum number of messages in a step: beyond that it would never end.
const MAX_MESSAGES_PER_STEP: usize = 2_000;

/// What may go wrong in a history, and when.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a, R> {
    /// The step that the history begins with.
    pub first_step: u8,
    /// Maximum number of faults in one history.
    pub max_faults: u8,
    /// Faults occur between any two messages, not only between steps.
    pub faults_between_messages: bool,
    /// The nodes that faults inject_fault.
    pub faulty_nodes: &'a [usize],
    /// The kinds of lasting faults.
    pub lasting_kinds: &'a [LastingFault],
    /// How many steps they last: longer than a lease, and than the quarantine of a restarted voter.
    pub lasting_steps: u8,
    /// What processes that all restart may find.
    pub restart_states: &'a [R],
    /// Steps in which faults may begin.
    pub fault_steps: u8,
    /// Steps after which the history ends.
    pub steps: u8,
}

/// What a step led to.
pub struct StepOutcome<A: Application, M> {
    /// The state after the step.
    pub world: SystemState<A, M>,
    /// How many messages there were in it.
    pub messages: usize,
}

/// Processes that share an application, and the world around them.
pub trait SystemModel {
    /// The application.
    type Application: Application + Clone + std::fmt::Debug;
    /// What the model has beside the processes.
    type Environment: Clone;
    /// What processes that all restart find.
    type RestartState: Copy + PartialEq;

    /// What may go wrong.
    fn bounds(&self) -> Bounds<'_, Self::RestartState>;

    /// A message comes to a node, or its time does.
    fn handle_event(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
        message: Option<(usize, Message<Self::Application>)>,
    ) -> Vec<Envelope<Self::Application>>;

    /// A node's process is gone, and another is started.
    fn crash(&self, world: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// All processes are gone at once, and started.
    fn restart_all(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
        restart_state: Self::RestartState,
    );

    /// A frozen process goes on where it was, before any timer of its own, and before anything that it can_receive.
    fn resume(&self, world: &mut SystemState<Self::Application, Self::Environment>, node: usize);

    /// The step begins.
    fn begin_step(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// What a node does by itself in a step, whatever it can_receive.
    fn tick(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
        node: usize,
    ) -> Vec<Envelope<Self::Application>> {
        self.handle_event(world, node, None)
    }

    /// All nodes have acted, and nothing was received yet.
    fn after_ticks(&self, _: &mut SystemState<Self::Application, Self::Environment>) {}

    /// Whether anybody can_receive what a node sends.
    fn can_send(&self, world: &SystemState<Self::Application, Self::Environment>, node: usize) -> bool {
        world.can_send(node)
    }

    /// Runs a step.
    fn run_step(
        &self,
        world: &SystemState<Self::Application, Self::Environment>,
        fault: Fault<Self::RestartState>,
    ) -> StepOutcome<Self::Application, Self::Environment> {
        let mut world = world.clone();
        world.step += 1;
        self.begin_step(&mut world);
        let mut on_the_way = self.end_lasting_fault(&mut world);
        if fault == Fault::DeliverDuplicate {
            on_the_way.extend(world.duplicate.take());
        }
        if !matches!(fault, Fault::Nothing | Fault::DeliverDuplicate) {
            world.faults += 1;
        }
        for node in 0..world.nodes.len() {
            if !world.is_frozen(node) {
                on_the_way.extend(self.tick(&mut world, node));
            }
        }
        self.after_ticks(&mut world);
        let mut place = 0;
        while let Some(envelope) = on_the_way.pop_front() {
            self.inject_fault(&mut world, fault, place, &envelope);
            assert!(place + 1 < MAX_MESSAGES_PER_STEP, "a step without end: {:?}", envelope.message);
            // A process that is gone sends nothing more; what it sent before arrives.
            if fault != Fault::Lose(place) {
                on_the_way.extend(self.deliver(&mut world, envelope));
            }
            place += 1;
        }
        StepOutcome { world, messages: place }
    }

    /// Counts the lasting fault down. Where a node was frozen and is so no longer, the messages that waited for it.
    fn end_lasting_fault(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
    ) -> VecDeque<Envelope<Self::Application>> {
        let Some(fault) = &mut world.active_fault else { return VecDeque::new() };
        fault.steps_left -= 1;
        let ActiveFault { node, kind, steps_left } = *fault;
        if steps_left > 0 {
            return VecDeque::new();
        }
        world.active_fault = None;
        let queued = std::mem::take(&mut world.queued);
        if kind != LastingFault::Frozen {
            return VecDeque::new();
        }
        self.resume(world, node);
        let envelope = |QueuedMessage { from, message }| Envelope { from, to: node, message };
        queued.into_iter().map(envelope).collect()
    }

    /// The fault of the step, where it occurs before the message at this place.
    fn inject_fault(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
        fault: Fault<Self::RestartState>,
        at: usize,
        next: &Envelope<Self::Application>,
    ) {
        match fault {
            Fault::Crash { node, place } if place == at => self.crash(world, node),
            Fault::RestartAll { restart_state, place } if place == at => {
                self.restart_all(world, restart_state)
            }
            Fault::Begin { node, kind, place } if place == at => {
                let steps_left = self.bounds().lasting_steps;
                world.active_fault = Some(ActiveFault { node, kind, steps_left });
            }
            Fault::Duplicate(place) if place == at => world.duplicate = Some(next.clone()),
            _ => {}
        }
    }

    /// Delivers a message, if a fault does not keep it; what is sent by that.
    fn deliver(
        &self,
        world: &mut SystemState<Self::Application, Self::Environment>,
        envelope: Envelope<Self::Application>,
    ) -> Vec<Envelope<Self::Application>> {
        let Envelope { from, to, message } = envelope;
        if !world.can_receive(to) || !self.can_send(world, from) {
            return Vec::new();
        }
        if world.is_frozen(to) {
            world.queued.push(QueuedMessage { from, message });
            return Vec::new();
        }
        self.handle_event(world, to, Some((from, message)))
    }

    /// Lists all faults that may occur in the next step, none among them.
    fn list_faults(
        &self,
        world: &SystemState<Self::Application, Self::Environment>,
        faults: &mut Vec<Fault<Self::RestartState>>,
    ) {
        let bounds = self.bounds();
        if world.violation.is_some() || world.step >= bounds.first_step + bounds.steps {
            return;
        }
        faults.push(Fault::Nothing);
        let faulty_until = bounds.first_step + bounds.fault_steps;
        if world.step >= faulty_until + 2 * bounds.lasting_steps {
            return;
        }
        if world.duplicate.is_some() {
            faults.push(Fault::DeliverDuplicate);
        }
        if world.faults >= bounds.max_faults || world.step >= faulty_until {
            return;
        }
        let messages = self.run_step(world, Fault::Nothing).messages;
        let places = if bounds.faults_between_messages { messages } else { messages.min(1) };
        for place in 0..places {
            list_faults_at(place, world, &bounds, faults);
        }
    }
}

/// Lists the faults that may occur before the message at this place.
fn list_faults_at<A: Application, M, R: Copy>(
    place: usize,
    world: &SystemState<A, M>,
    bounds: &Bounds<'_, R>,
    faults: &mut Vec<Fault<R>>,
) {
    let may_last = world.active_fault.is_none();
    if may_last {
        faults.extend(
            bounds.restart_states.iter().map(|state| Fault::RestartAll { restart_state: *state, place }),
        );
    }
    if bounds.faults_between_messages {
        faults.push(Fault::Lose(place));
        if world.duplicate.is_none() {
            faults.push(Fault::Duplicate(place));
        }
    }
    for &node in bounds.faulty_nodes {
        faults.push(Fault::Crash { node, place });
        if may_last {
            let begin = |kind: &LastingFault| Fault::Begin { node, kind: *kind, place };
            faults.extend(bounds.lasting_kinds.iter().map(begin));
        }
    }
}
