//! Faults that a model checker injects into the steps of a model.

/// Fault of one node that lasts for several steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastingFault {
    /// The process is paused and keeps its memory. Messages to it are queued until it resumes.
    Frozen,
    /// Messages from and to the process are lost.
    Partitioned,
    /// Messages to the process are lost, but its own are delivered.
    InboundBlocked,
    /// Messages from the process are lost, but it receives those of others.
    OutboundBlocked,
}

impl LastingFault {
    /// All variants, for models that inject every lasting fault.
    pub const ALL: &[LastingFault] = &[
        LastingFault::Frozen,
        LastingFault::Partitioned,
        LastingFault::InboundBlocked,
        LastingFault::OutboundBlocked,
    ];
}

/// Fault that occurs in one step. A `place` is the index of a message among all messages of the step, in the
/// order of their delivery. `R` describes what the processes find on disk when all of them restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault<R> {
    /// No fault occurs in the step.
    Nothing,
    /// Loses the message with this index.
    Lose(usize),
    /// Delivers the message with this index, and keeps a copy of it for [`Fault::DeliverDuplicate`] in a
    /// later step.
    Duplicate(usize),
    /// Delivers the message copy that [`Fault::Duplicate`] kept in an earlier step.
    DeliverDuplicate,
    /// Crashes the process of one node, which restarts at once.
    Crash {
        /// Index of the node whose process crashes.
        node: usize,
        /// Index of the message before whose delivery the fault occurs.
        place: usize,
    },
    /// Begins a lasting fault, which ends after [`crate::Bounds::lasting_steps`].
    Begin {
        /// Index of the node whose process becomes faulty.
        node: usize,
        /// Kind of the fault: the messages that it affects, and whether it pauses the process.
        kind: LastingFault,
        /// Index of the message before whose delivery the fault begins.
        place: usize,
    },
    /// Crashes the processes of all nodes, which restart at once.
    RestartAll {
        /// Disk contents that the processes find, as defined by the model.
        restart_state: R,
        /// Index of the message before whose delivery the fault occurs.
        place: usize,
    },
}
