//! Operator's command that waits for its result at the process where it was submitted.

use flaxhead_membership::Micros;

/// Command that was submitted at this process and has no result yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCommand<C> {
    pub(super) id: u64,
    pub(super) command: C,
    /// Time at which the command fails, by the local clock.
    pub(super) deadline: Micros,
    /// Time at which the command is next sent to the leader, by the local clock.
    pub(super) resend_at: Micros,
}
