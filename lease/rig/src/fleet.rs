//! A step of a model, and the faults that may occur in it.

use crate::fault::{Fault, LastingFault};
use crate::world::{ActiveFault, Envelope, QueuedMessage, World};
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
    pub is_fine: bool,
    /// The nodes that faults strike.
    pub nodes: &'a [usize],
    /// The kinds of lasting faults.
    pub lasting_kinds: &'a [LastingFault],
    /// How many steps they last: longer than a lease, and than the quarantine of a restarted voter.
    pub lasting_steps: u8,
    /// What processes that all restart may find.
    pub found: &'a [R],
    /// Steps in which faults may begin.
    pub faulty_steps: u8,
    /// Steps after which the history ends.
    pub steps: u8,
}

/// What a step led to.
pub struct StepOutcome<A: Application, M> {
    /// The state after the step.
    pub world: World<A, M>,
    /// How many messages there were in it.
    pub messages: usize,
}

/// Processes that share an application, and the world around them.
pub trait Fleet {
    /// The application.
    type Application: Application + Clone + std::fmt::Debug;
    /// What the model has beside the processes.
    type Model: Clone;
    /// What processes that all restart find.
    type Found: Copy + PartialEq;

    /// What may go wrong.
    fn bounds(&self) -> Bounds<'_, Self::Found>;

    /// A message comes to a node, or its time does.
    fn react(
        &self,
        world: &mut World<Self::Application, Self::Model>,
        node: usize,
        message: Option<(usize, Message<Self::Application>)>,
    ) -> Vec<Envelope<Self::Application>>;

    /// A node's process is gone, and another is started.
    fn crash(&self, world: &mut World<Self::Application, Self::Model>, node: usize);

    /// All processes are gone at once, and started.
    fn restart_all(&self, world: &mut World<Self::Application, Self::Model>, found: Self::Found);

    /// A frozen process goes on where it was, before any timer of its own, and before anything that it receives.
    fn resume(&self, world: &mut World<Self::Application, Self::Model>, node: usize);

    /// The step begins.
    fn begin_step(&self, _: &mut World<Self::Application, Self::Model>) {}

    /// What a node does by itself in a step, whatever it receives.
    fn act(
        &self,
        world: &mut World<Self::Application, Self::Model>,
        node: usize,
    ) -> Vec<Envelope<Self::Application>> {
        self.react(world, node, None)
    }

    /// All nodes have acted, and nothing was received yet.
    fn after_acting(&self, _: &mut World<Self::Application, Self::Model>) {}

    /// Whether anybody receives what a node sends.
    fn is_received(&self, world: &World<Self::Application, Self::Model>, node: usize) -> bool {
        world.is_received(node)
    }

    /// Runs a step.
    fn run(
        &self,
        world: &World<Self::Application, Self::Model>,
        fault: Fault<Self::Found>,
    ) -> StepOutcome<Self::Application, Self::Model> {
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
                on_the_way.extend(self.act(&mut world, node));
            }
        }
        self.after_acting(&mut world);
        let mut place = 0;
        while let Some(envelope) = on_the_way.pop_front() {
            self.strike(&mut world, fault, place, &envelope);
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
        world: &mut World<Self::Application, Self::Model>,
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
    fn strike(
        &self,
        world: &mut World<Self::Application, Self::Model>,
        fault: Fault<Self::Found>,
        at: usize,
        next: &Envelope<Self::Application>,
    ) {
        match fault {
            Fault::Crash { node, place } if place == at => self.crash(world, node),
            Fault::RestartAll { found, place } if place == at => self.restart_all(world, found),
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
        world: &mut World<Self::Application, Self::Model>,
        envelope: Envelope<Self::Application>,
    ) -> Vec<Envelope<Self::Application>> {
        let Envelope { from, to, message } = envelope;
        if !world.receives(to) || !self.is_received(world, from) {
            return Vec::new();
        }
        if world.is_frozen(to) {
            world.queued.push(QueuedMessage { from, message });
            return Vec::new();
        }
        self.react(world, to, Some((from, message)))
    }

    /// Lists all faults that may occur in the next step, none among them.
    fn faults(&self, world: &World<Self::Application, Self::Model>, faults: &mut Vec<Fault<Self::Found>>) {
        let bounds = self.bounds();
        if world.violation.is_some() || world.step >= bounds.first_step + bounds.steps {
            return;
        }
        faults.push(Fault::Nothing);
        let faulty_until = bounds.first_step + bounds.faulty_steps;
        if world.step >= faulty_until + 2 * bounds.lasting_steps {
            return;
        }
        if world.duplicate.is_some() {
            faults.push(Fault::DeliverDuplicate);
        }
        if world.faults >= bounds.max_faults || world.step >= faulty_until {
            return;
        }
        let messages = self.run(world, Fault::Nothing).messages;
        let places = if bounds.is_fine { messages } else { messages.min(1) };
        for place in 0..places {
            list_faults_at(place, world, &bounds, faults);
        }
    }
}

/// Lists the faults that may occur before the message at this place.
fn list_faults_at<A: Application, M, R: Copy>(
    place: usize,
    world: &World<A, M>,
    bounds: &Bounds<'_, R>,
    faults: &mut Vec<Fault<R>>,
) {
    let may_last = world.active_fault.is_none();
    if may_last {
        faults.extend(bounds.found.iter().map(|found| Fault::RestartAll { found: *found, place }));
    }
    if bounds.is_fine {
        faults.push(Fault::Lose(place));
        if world.duplicate.is_none() {
            faults.push(Fault::Duplicate(place));
        }
    }
    for &node in bounds.nodes {
        faults.push(Fault::Crash { node, place });
        if may_last {
            let begin = |kind: &LastingFault| Fault::Begin { node, kind: *kind, place };
            faults.extend(bounds.lasting_kinds.iter().map(begin));
        }
    }
}
