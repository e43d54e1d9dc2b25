//! What goes wrong in a step.

/// A fault that lasts for several steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LastingFault {
    /// The process is stopped; all that is sent to it waits.
    Frozen,
    /// The process neither can_receive nor is received from.
    Partitioned,
    /// The process can_receive nothing.
    InboundBlocked,
    /// Nobody can_receive what the process sends.
    OutboundBlocked,
}

impl LastingFault {
    /// All kinds.
    pub const ALL: &[LastingFault] = &[
        LastingFault::Frozen,
        LastingFault::Partitioned,
        LastingFault::InboundBlocked,
        LastingFault::OutboundBlocked,
    ];
}

/// What goes wrong in one step. Places count the messages of the step. `R`: what a restart of all processes finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault<R> {
    /// Nothing goes wrong.
    Nothing,
    /// The message at this place is lost.
    Lose(usize),
    /// The message at this place is delivered, and a copy is kept.
    Duplicate(usize),
    /// The copy that was kept is delivered.
    DeliverDuplicate,
    /// A process crashes and restarts.
    Crash {
        /// The process.
        node: usize,
        /// Before the message at this place.
        place: usize,
    },
    /// A lasting fault begins.
    Begin {
        /// The process that it strikes.
        node: usize,
        /// Its kind.
        kind: LastingFault,
        /// Before the message at this place.
        place: usize,
    },
    /// All processes crash and restart.
    RestartAll {
        /// What they find.
        restart_state: R,
        /// Before the message at this place.
        place: usize,
    },
}
