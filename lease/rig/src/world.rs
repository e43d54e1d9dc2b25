//! The processes, what is on the way between them, and what is wrong.

use crate::act::Lasting;
use flaxhead_lease::{Application, Effect, Machine, MemberFact, Message, Name, Presence};
use std::collections::BTreeMap;

/// A message: from whom, to whom.
pub type Letter<T> = (usize, usize, Message<T>);

/// A state. `O`: what the model of an application keeps beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World<T: Application, O> {
    /// Steps so far.
    pub step: u8,
    /// The processes; the voters come first.
    pub nodes: Vec<Machine<T>>,
    /// Who is away, how, and for how many steps more: since the step's beginning, or from one of its messages on.
    pub lasting: Option<(usize, Lasting, u8)>,
    /// What waits for a frozen one, with its senders.
    pub waiting: Vec<(usize, Message<T>)>,
    /// A message that comes again.
    pub kept: Option<Letter<T>>,
    /// Faults so far.
    pub faults: u8,
    /// Starts so far.
    pub lives: u64,
    /// What was seen that must not be.
    pub wrong: Option<&'static str>,
    /// What the application's model keeps.
    pub own: O,
}

impl<T: Application, O> World<T, O> {
    /// Before anybody starts.
    pub fn new(own: O) -> World<T, O> {
        World {
            step: 0,
            nodes: Vec::new(),
            lasting: None,
            waiting: Vec::new(),
            kept: None,
            faults: 0,
            lives: 0,
            wrong: None,
            own,
        }
    }

    /// Whether it hears anybody.
    pub fn hears(&self, node: usize) -> bool {
        !matches!(self.lasting, Some((who, Lasting::Apart | Lasting::Deaf, _)) if who == node)
    }

    /// Whether anybody hears it.
    pub fn is_heard(&self, node: usize) -> bool {
        !matches!(self.lasting, Some((who, Lasting::Apart | Lasting::Mute, _)) if who == node)
    }

    /// Whether it is stopped.
    pub fn is_frozen(&self, node: usize) -> bool {
        matches!(self.lasting, Some((who, Lasting::Frozen, _)) if who == node)
    }

    /// Whether the membership of one has not heard of another lately.
    pub fn is_away(&self, of: usize, node: usize) -> bool {
        self.lasting.is_some_and(|(who, _, _)| who == node || who == of)
    }

    /// What the membership of one says of all others.
    pub fn members(&self, of: usize, presence: impl Fn(usize) -> Presence) -> BTreeMap<Name, MemberFact> {
        let member = |node: usize| {
            let me = self.nodes[node].me();
            let fact = MemberFact { life: me.life, at: me.at, presence: presence(node), since: 0 };
            (me.name.clone(), fact)
        };
        (0..self.nodes.len()).filter(|node| *node != of).map(member).collect()
    }

    /// What becomes of what a node said: who is sent what.
    pub fn sent(&self, node: usize, out: Vec<Effect<T>>) -> Vec<Letter<T>> {
        let to = |name: &Name| (0..self.nodes.len()).find(|n| self.nodes[*n].me().name == *name);
        out.into_iter()
            .filter_map(|effect| match effect {
                Effect::Send { to: name, message } => Some((node, to(&name)?, message)),
                _ => None,
            })
            .collect()
    }
}
