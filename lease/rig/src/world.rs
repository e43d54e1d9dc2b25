//! A state of a model: the processes, what is on its way between them, and what is wrong.

use crate::fault::LastingFault;
use flaxhead_lease::{Application, Effect, Machine, MemberStatus, Message, Name, Presence};
use std::collections::BTreeMap;

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope<A: Application> {
    /// The sending node.
    pub from: usize,
    /// The receiving node.
    pub to: usize,
    /// The message.
    pub message: Message<A>,
}

/// A message that waits for a frozen node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedMessage<A: Application> {
    /// The sending node.
    pub from: usize,
    /// The message.
    pub message: Message<A>,
}

/// A lasting fault that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ActiveFault {
    /// The node that it strikes.
    pub node: usize,
    /// Its kind.
    pub kind: LastingFault,
    /// For how many steps more.
    pub steps_left: u8,
}

/// A state. `M`: what the model of an application has beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState<A: Application, M> {
    /// Steps so far.
    pub step: u8,
    /// The processes; the voters come first.
    pub nodes: Vec<Machine<A>>,
    /// The lasting fault, from the beginning of the step or from one of its messages on.
    pub active_fault: Option<ActiveFault>,
    /// What waits for a frozen node.
    pub queued: Vec<QueuedMessage<A>>,
    /// The copy of a message that may be delivered again.
    pub duplicate: Option<Envelope<A>>,
    /// Faults so far.
    pub faults: u8,
    /// Starts of processes so far.
    pub process_starts: u64,
    /// The first rule that was seen broken.
    pub violation: Option<&'static str>,
    /// What the application's model has.
    pub environment: M,
}

impl<A: Application, M> SystemState<A, M> {
    /// Before any process starts.
    pub fn new(environment: M) -> SystemState<A, M> {
        SystemState {
            step: 0,
            nodes: Vec::new(),
            active_fault: None,
            queued: Vec::new(),
            duplicate: None,
            faults: 0,
            process_starts: 0,
            violation: None,
            environment,
        }
    }

    fn has_fault(&self, node: usize, kinds: &[LastingFault]) -> bool {
        self.active_fault.is_some_and(|fault| fault.node == node && kinds.contains(&fault.kind))
    }

    /// Whether a node can_receive anything.
    pub fn can_receive(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::InboundBlocked])
    }

    /// Whether anybody can_receive what a node sends.
    pub fn can_send(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::OutboundBlocked])
    }

    /// Whether a node is stopped.
    pub fn is_frozen(&self, node: usize) -> bool {
        self.has_fault(node, &[LastingFault::Frozen])
    }

    /// Whether one node's membership has not heard of another recently.
    pub fn is_unheard(&self, of: usize, node: usize) -> bool {
        self.active_fault.is_some_and(|fault| fault.node == node || fault.node == of)
    }

    /// What one node's membership says of all others.
    pub fn member_statuses(
        &self,
        of: usize,
        presence: impl Fn(usize) -> Presence,
    ) -> BTreeMap<Name, MemberStatus> {
        let member = |node: usize| {
            let me = self.nodes[node].me();
            let status = MemberStatus {
                incarnation: me.incarnation,
                address: me.address,
                presence: presence(node),
                since: 0,
            };
            (me.name.clone(), status)
        };
        (0..self.nodes.len()).filter(|node| *node != of).map(member).collect()
    }

    /// The messages among a node's effects.
    pub fn sent_messages(&self, from: usize, effects: Vec<Effect<A>>) -> Vec<Envelope<A>> {
        let node_of = |name: &Name| (0..self.nodes.len()).find(|node| self.nodes[*node].me().name == *name);
        let envelope = |effect| match effect {
            Effect::Send { to, message } => Some(Envelope { from, to: node_of(&to)?, message }),
            _ => None,
        };
        effects.into_iter().filter_map(envelope).collect()
    }
}
