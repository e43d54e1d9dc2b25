//! A command that waits at the process to which it was submitted.

use flaxhead_membership::Micros;

/// A command that was submitted here and has no response yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCommand<C> {
    pub(super) id: u64,
    pub(super) command: C,
    /// When it fails if no response has come.
    pub(super) deadline: Micros,
    /// When it is sent to the leader again.
    pub(super) resend_at: Micros,
}
