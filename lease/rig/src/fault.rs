//! Faults that a model injects.

/// Fault that lasts for several steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastingFault {
    /// The process is paused and keeps its memory; messages to it are queued until it resumes.
    Frozen,
    /// The process neither receives messages nor is received from.
    Partitioned,
    /// The process receives no messages, but its own are delivered.
    InboundBlocked,
    /// The messages of the process are lost, but it receives those of others.
    OutboundBlocked,
}

impl LastingFault {
    /// All kinds of lasting faults.
    pub const ALL: &[LastingFault] = &[
        LastingFault::Frozen,
        LastingFault::Partitioned,
        LastingFault::InboundBlocked,
        LastingFault::OutboundBlocked,
    ];
}

/// Fault of one step. A `place` is an index into the messages of the step, in the order of their delivery.
/// `R` describes what processes find on disk when all of them restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault<R> {
    /// The step has no fault.
    Nothing,
    /// Loses the message at this place.
    Lose(usize),
    /// Delivers the message at this place and keeps a copy.
    Duplicate(usize),
    /// Delivers the copy that was kept.
    DeliverDuplicate,
    /// Crashes and restarts one process.
    Crash {
        /// Index of the node whose process crashes.
        node: usize,
        /// Place of the message before which the fault occurs.
        place: usize,
    },
    /// Begins a lasting fault.
    Begin {
        /// Index of the node whose process becomes faulty.
        node: usize,
        /// Effect of the fault on the process and its messages.
        kind: LastingFault,
        /// Place of the message before which the fault begins.
        place: usize,
    },
    /// Crashes and restarts all processes.
    RestartAll {
        /// Description of what the processes find on disk.
        restart_state: R,
        /// Place of the message before which the fault occurs.
        place: usize,
    },
}
