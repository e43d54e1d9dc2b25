//! Command that waits at the process to which it was submitted.

use flaxhead_membership::Micros;

/// Submitted command without a response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCommand<C> {
    pub(super) id: u64,
    pub(super) command: C,
    /// Time at which the command times out.
    pub(super) deadline: Micros,
    /// Time at which the command is next sent to the leader.
    pub(super) resend_at: Micros,
}
