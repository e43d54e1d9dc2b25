//! A command that was executed, before and after its effect is committed.

use crate::types::ApplicationTypes;
use flaxhead_membership::Name;

/// An executed command whose effect is not committed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UncommittedCommand<T: ApplicationTypes> {
    pub(super) from: Name,
    pub(super) id: u64,
    /// The count of the state with its effect.
    pub(super) state_seq: u64,
    pub(super) response: T::Response,
}

/// The response to a command whose effect is committed.
pub(crate) struct CommittedResponse<T: ApplicationTypes> {
    /// The process at which the command was submitted.
    pub to: Name,
    /// The command's number there.
    pub id: u64,
    /// The response.
    pub response: T::Response,
}
