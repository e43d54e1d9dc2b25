//! A step of a model, and the acts that there are in it.

use crate::act::{Act, Lasting};
use crate::world::{Letter, World};
use flaxhead_lease::{Application, Message};
use std::collections::VecDeque;

/// Most messages of a step: beyond that it would never end.
const STORM: usize = 2_000;

/// What may go wrong in a history, and when.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a, F> {
    /// The step that the history begins with.
    pub first: u8,
    /// Faults in one history.
    pub faults: u8,
    /// They fall between any two messages, not only between steps.
    pub fine: bool,
    /// Nodes that they befall.
    pub hit: &'a [usize],
    /// Those that last, and for how many steps: longer than a lease, and than the silence of a restarted voter.
    pub kinds: &'a [Lasting],
    /// See `kinds`.
    pub lasts: u8,
    /// What processes that all start again may find.
    pub found: &'a [F],
    /// Steps in which faults may begin, and those after which the history ends.
    pub faulty: u8,
    /// See `faulty`.
    pub ends: u8,
}

/// Processes that settle an application, and the world around them.
pub trait Fleet {
    /// The application.
    type Application: Application + Clone + std::fmt::Debug;
    /// What the model keeps beside the processes.
    type Own: Clone;
    /// What processes that all start again find.
    type Found: Copy + PartialEq;

    /// What may go wrong.
    fn bounds(&self) -> Bounds<'_, Self::Found>;

    /// A message comes to a node, or its time does.
    fn react(
        &self,
        world: &mut World<Self::Application, Self::Own>,
        node: usize,
        message: Option<(usize, Message<Self::Application>)>,
    ) -> Vec<Letter<Self::Application>>;

    /// A node's process is gone, and another is started.
    fn crash(&self, world: &mut World<Self::Application, Self::Own>, node: usize);

    /// All are gone at once, and started.
    fn restart(&self, world: &mut World<Self::Application, Self::Own>, found: Self::Found);

    /// A frozen one goes on where it was, before any timer of its own, and before anything that it hears.
    fn woken(&self, world: &mut World<Self::Application, Self::Own>, node: usize);

    /// The step begins.
    fn begins(&self, _: &mut World<Self::Application, Self::Own>) {}

    /// A node's part in a step, whatever comes.
    fn turn(
        &self,
        world: &mut World<Self::Application, Self::Own>,
        node: usize,
    ) -> Vec<Letter<Self::Application>> {
        self.react(world, node, None)
    }

    /// All had their part, and nothing has come yet.
    fn between(&self, _: &mut World<Self::Application, Self::Own>) {}

    /// Whether anybody hears a node.
    fn is_heard(&self, world: &World<Self::Application, Self::Own>, node: usize) -> bool {
        world.is_heard(node)
    }

    /// A step, and how many messages there were in it.
    fn run(
        &self,
        world: &World<Self::Application, Self::Own>,
        act: Act<Self::Found>,
    ) -> (World<Self::Application, Self::Own>, usize) {
        let mut world = world.clone();
        world.step += 1;
        self.begins(&mut world);
        let mut on_the_way = VecDeque::new();
        if let Some((_, _, left)) = &mut world.lasting {
            *left -= 1;
            if *left == 0 {
                let woken = world.lasting.take();
                let waiting = std::mem::take(&mut world.waiting);
                if let Some((node, Lasting::Frozen, _)) = woken {
                    self.woken(&mut world, node);
                    on_the_way.extend(waiting.into_iter().map(|(from, message)| (from, node, message)));
                }
            }
        }
        if act == Act::Again {
            on_the_way.extend(world.kept.take());
        }
        if !matches!(act, Act::Nothing | Act::Again) {
            world.faults += 1;
        }
        for node in 0..world.nodes.len() {
            if !world.is_frozen(node) {
                on_the_way.extend(self.turn(&mut world, node));
            }
        }
        self.between(&mut world);
        let lasts = self.bounds().lasts;
        let mut place = 0;
        while let Some((from, to, message)) = on_the_way.pop_front() {
            match act {
                Act::Crash(node, when) if when == place => self.crash(&mut world, node),
                Act::Restart(found, when) if when == place => self.restart(&mut world, found),
                Act::Begin(node, how, when) if when == place => world.lasting = Some((node, how, lasts)),
                Act::Keep(which) if which == place => world.kept = Some((from, to, message.clone())),
                _ => {}
            }
            place += 1;
            assert!(place < STORM, "a storm: {message:?}");
            if act == Act::Lose(place - 1) || !world.hears(to) || !self.is_heard(&world, from) {
                continue;
            }
            if world.is_frozen(to) {
                world.waiting.push((from, message));
                continue;
            }
            // A process that has gone says nothing more; what it said before arrives.
            on_the_way.extend(self.react(&mut world, to, Some((from, message))));
        }
        (world, place)
    }

    /// All that may befall the next step.
    fn acts(&self, world: &World<Self::Application, Self::Own>, acts: &mut Vec<Act<Self::Found>>) {
        let bounds = self.bounds();
        if world.wrong.is_some() || world.step >= bounds.first + bounds.ends {
            return;
        }
        acts.push(Act::Nothing);
        if world.step >= bounds.first + bounds.faulty + 2 * bounds.lasts {
            return;
        }
        if world.kept.is_some() {
            acts.push(Act::Again);
        }
        if world.faults >= bounds.faults || world.step >= bounds.first + bounds.faulty {
            return;
        }
        let places = self.run(world, Act::Nothing).1;
        let places = if bounds.fine { 0..places } else { 0..places.min(1) };
        let free = world.lasting.is_none();
        for place in places {
            if free {
                acts.extend(bounds.found.iter().map(|found| Act::Restart(*found, place)));
            }
            if bounds.fine {
                acts.push(Act::Lose(place));
                if world.kept.is_none() {
                    acts.push(Act::Keep(place));
                }
            }
            for &node in bounds.hit {
                acts.push(Act::Crash(node, place));
                if free {
                    acts.extend(bounds.kinds.iter().map(|kind| Act::Begin(node, *kind, place)));
                }
            }
        }
    }
}
