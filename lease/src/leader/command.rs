//! Commands that the leader has executed, before and after their effect is committed.

use crate::types::ApplicationTypes;
use flaxhead_membership::Name;

/// Command that the leader has executed and whose effect is not committed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UncommittedCommand<T: ApplicationTypes> {
    /// Process to which the command was submitted.
    pub(super) from: Name,
    pub(super) id: u64,
    /// Sequence number of the first state that contains the command's effect.
    pub(super) state_seq: u64,
    pub(super) response: T::Response,
}

/// Response to a command whose effect is committed, ready to be sent.
pub(crate) struct CommittedResponse<T: ApplicationTypes> {
    /// Process to which the command was submitted.
    pub to: Name,
    /// Id of the command at that process.
    pub id: u64,
    /// Response that the application returned on execution.
    pub response: T::Response,
}
