//! Faults that a model injects.

/// Fault that lasts for several steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastingFault {
    /// The process is stopped; messages to it are queued.
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

/// Fault of one step. Places are indices into the messages of the step. `R` is the state that processes find
/// when all of them restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault<R> {
    /// No fault.
    Nothing,
    /// Loses the message at this place.
    Lose(usize),
    /// Delivers the message at this place and keeps a copy.
    Duplicate(usize),
    /// Delivers the copy that was kept.
    DeliverDuplicate,
    /// Crashes and restarts one process.
    Crash {
        /// Index of the process.
        node: usize,
        /// Place of the message before which the fault occurs.
        place: usize,
    },
    /// Begins a lasting fault.
    Begin {
        /// Index of the faulty process.
        node: usize,
        /// Kind of the fault.
        kind: LastingFault,
        /// Place of the message before which the fault begins.
        place: usize,
    },
    /// Crashes and restarts all processes.
    RestartAll {
        /// State that the processes find.
        restart_state: R,
        /// Place of the message before which the fault occurs.
        place: usize,
    },
}
