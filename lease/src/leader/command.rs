//! Executed commands, before and after their effect is committed.

use crate::types::ApplicationTypes;
use flaxhead_membership::Name;

/// Executed command whose effect is not committed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UncommittedCommand<T: ApplicationTypes> {
    pub(super) from: Name,
    pub(super) id: u64,
    /// Sequence number of the first state that contains the effect.
    pub(super) state_seq: u64,
    pub(super) response: T::Response,
}

/// Response to a command whose effect is committed.
pub(crate) struct CommittedResponse<T: ApplicationTypes> {
    /// Process to which the command was submitted.
    pub to: Name,
    /// Command id at that process.
    pub id: u64,
    /// Response of the application.
    pub response: T::Response,
}
