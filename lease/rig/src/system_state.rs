//! State of a model: processes, faults, and messages that are kept for later.

use crate::fault::LastingFault;
use flaxhead_lease::{Application, Effect, Machine, MemberStatus, Message, Name, Presence};
use std::collections::BTreeMap;

/// Message in transit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope<A: Application> {
    /// Index of the sending node.
    pub from: usize,
    /// Index of the receiving node.
    pub to: usize,
    /// Message that one process sent to another.
    pub message: Message<A>,
}

/// Message that is queued for a frozen node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedMessage<A: Application> {
    /// Index of the sending node.
    pub from: usize,
    /// Message that one process sent to another.
    pub message: Message<A>,
}

/// Lasting fault in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ActiveFault {
    /// Index of the faulty node in [`SystemState::nodes`].
    pub node: usize,
    /// Effect of the fault on the process and its messages.
    pub kind: LastingFault,
    /// Remaining duration in steps.
    pub steps_left: u8,
}

/// State of a model between two steps. `M` is the type of the model data outside the processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState<A: Application, M> {
    /// Number of executed steps.
    pub step: u8,
    /// Processes by node index; the voters come first.
    pub nodes: Vec<Machine<A>>,
    /// Lasting fault in progress, if any.
    pub active_fault: Option<ActiveFault>,
    /// Messages that are queued for the frozen node.
    pub queued: Vec<QueuedMessage<A>>,
    /// Copy of a message that may be delivered again.
    pub duplicate: Option<Envelope<A>>,
    /// Number of faults so far.
    pub faults: u8,
    /// Number of process starts so far, from which models derive incarnations.
    pub process_starts: u64,
    /// First violated invariant; `None`: none was violated.
    pub violation: Option<&'static str>,
    /// Model data outside the processes, such as calls in flight or the contents of disks.
    pub environment: M,
}

impl<A: Application, M> SystemState<A, M> {
    /// Creates a state without processes.
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

    /// Returns whether messages to a node are delivered.
    pub fn can_receive(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::InboundBlocked])
    }

    /// Returns whether the messages of a node are delivered.
    pub fn can_send(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::OutboundBlocked])
    }

    /// Returns whether the process of a node is frozen: it is paused, keeps its memory, and messages to it
    /// are queued.
    pub fn is_frozen(&self, node: usize) -> bool {
        self.has_fault(node, &[LastingFault::Frozen])
    }

    /// Returns whether the membership of node `of` currently receives nothing from `node`, because one of
    /// them is faulty.
    pub fn is_unheard(&self, of: usize, node: usize) -> bool {
        self.active_fault.is_some_and(|fault| fault.node == node || fault.node == of)
    }

    /// Returns the member list of node `of`, with the presence that `presence` gives for each other node.
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

    /// Extracts the messages from a node's effects.
    pub fn sent_messages(&self, from: usize, effects: Vec<Effect<A>>) -> Vec<Envelope<A>> {
        let node_of = |name: &Name| (0..self.nodes.len()).find(|node| self.nodes[*node].me().name == *name);
        let envelope = |effect| match effect {
            Effect::Send { to, message } => Some(Envelope { from, to: node_of(&to)?, message }),
            _ => None,
        };
        effects.into_iter().filter_map(envelope).collect()
    }
}
