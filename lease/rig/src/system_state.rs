//! State of a model: its processes, the active fault, and the messages that are kept for later steps.

use crate::fault::LastingFault;
use flaxhead_lease::{Application, Effect, Machine, MemberStatus, Message, Name, Presence};
use std::collections::BTreeMap;

/// Message in transit between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Envelope<A: Application> {
    /// Index of the sending node.
    pub from: usize,
    /// Index of the receiving node.
    pub to: usize,
    /// Message of the lease protocol.
    pub message: Message<A>,
}

/// Message to the frozen node, which is delivered when the node resumes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueuedMessage<A: Application> {
    /// Index of the sending node.
    pub from: usize,
    /// Message of the lease protocol.
    pub message: Message<A>,
}

/// Lasting fault in progress at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ActiveFault {
    /// Index of the faulty node in [`SystemState::nodes`].
    pub node: usize,
    /// Kind of the fault: the messages that it affects, and whether it pauses the process.
    pub kind: LastingFault,
    /// Number of steps until the fault ends. The start of each step decrements it, and 0 ends the fault.
    pub steps_left: u8,
}

/// State of a model between two steps. `M` is the type of the model's own data about the surroundings of the
/// processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState<A: Application, M> {
    /// Number of steps executed so far.
    pub step: u8,
    /// Lease machines by node index; those of the voters come first.
    pub nodes: Vec<Machine<A>>,
    /// Lasting fault in progress; `None`: none is.
    pub active_fault: Option<ActiveFault>,
    /// Messages to the frozen node, in the order of their arrival.
    pub queued: Vec<QueuedMessage<A>>,
    /// Copy of a message that [`crate::Fault::Duplicate`] kept, to be delivered again.
    pub duplicate: Option<Envelope<A>>,
    /// Number of faults injected so far.
    pub faults: u8,
    /// Number of processes started so far, from which models derive incarnations.
    pub process_starts: u64,
    /// Name of the first invariant that was violated; `None`: none was.
    pub violation: Option<&'static str>,
    /// Model's own data about the surroundings of the processes, such as calls in flight or the contents of
    /// disks.
    pub environment: M,
}

impl<A: Application, M> SystemState<A, M> {
    /// Creates the state before the first step, without nodes, faults and messages.
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

    /// Returns whether the active fault is at `node` and one of `kinds`.
    fn has_fault(&self, node: usize, kinds: &[LastingFault]) -> bool {
        self.active_fault.is_some_and(|fault| fault.node == node && kinds.contains(&fault.kind))
    }

    /// Returns whether messages to the node are delivered, or queued while it is frozen.
    pub fn can_receive(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::InboundBlocked])
    }

    /// Returns whether messages from the node are delivered.
    pub fn can_send(&self, node: usize) -> bool {
        !self.has_fault(node, &[LastingFault::Partitioned, LastingFault::OutboundBlocked])
    }

    /// Returns whether the process of the node is frozen: it is paused, keeps its memory, and messages to it
    /// are queued.
    pub fn is_frozen(&self, node: usize) -> bool {
        self.has_fault(node, &[LastingFault::Frozen])
    }

    /// Returns whether node `of` currently hears nothing from `node` in the membership, because the active
    /// fault is at one of the two.
    pub fn is_unheard(&self, of: usize, node: usize) -> bool {
        self.active_fault.is_some_and(|fault| fault.node == node || fault.node == of)
    }

    /// Returns the members other than node `of`, as its lease machine sees them. `presence` gives the
    /// presence of each by node index.
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

    /// Returns the messages among `effects`, which the node `from` has produced. Messages to unknown names
    /// are dropped.
    pub fn sent_messages(&self, from: usize, effects: Vec<Effect<A>>) -> Vec<Envelope<A>> {
        let node_of = |name: &Name| (0..self.nodes.len()).find(|node| self.nodes[*node].me().name == *name);
        let envelope = |effect| match effect {
            Effect::Send { to, message } => Some(Envelope { from, to: node_of(&to)?, message }),
            _ => None,
        };
        effects.into_iter().filter_map(envelope).collect()
    }
}
