//! Types of an application that messages contain, and their size limits.

use crate::command_error::CommandError;
use flaxhead_membership::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::hash::Hash;

/// Value that a message may contain.
pub trait Payload: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned {}

impl<T: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned> Payload for T {}

/// State that is replicated to every process. An application without a common state uses `()`.
pub trait ReplicatedState: Payload + Default {
    /// Advances the durations in the state by `elapsed` microseconds. The state contains durations instead of
    /// times, because the clocks of processes differ.
    fn advance(&mut self, elapsed: Micros) {
        let _ = elapsed;
    }

    /// Merges the contents of `other`, when neither of the two is known to be complete. Returns whether the
    /// state has changed.
    fn merge(&mut self, other: &Self) -> bool {
        let _ = other;
        false
    }
}

impl ReplicatedState for () {}

/// Command type without values, for applications without commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoCommand {}

/// Types of an application, and the maximum size of each in a message. The driver checks the sizes on sending
/// and receiving.
pub trait ApplicationTypes: Clone + Debug + Eq + Hash {
    /// State that the leader replicates to every process; `()` for none.
    type State: ReplicatedState;
    /// Report that a process sends to the leader with each request for lease renewal, such as its usage.
    type Report: Payload;
    /// Data that the leader grants to a process together with its lease, such as a number of permits; `()`
    /// for nothing.
    type Grant: Payload;
    /// Command of an operator; [`NoCommand`] if there are none.
    type Command: Payload;
    /// Response to a command, sent once its effect is committed.
    type Response: Payload;
    /// Reason for rejecting a command. [`CommandError::NoLeader`], returned by the application itself, causes
    /// the command to be submitted again.
    type Rejection: Payload + From<CommandError>;
    /// Data that the application uses for its decisions, other than the membership.
    type Facts;
    /// Event that the application records at the leader, for the audit trail and the log.
    type Event: Clone + Debug + Eq + Hash;

    /// Maximum encoded size of the state.
    const MAX_STATE_BYTES: usize;
    /// Maximum encoded size of a report.
    const MAX_REPORT_BYTES: usize;
    /// Maximum encoded size of a grant.
    const MAX_GRANT_BYTES: usize;
    /// Maximum encoded size of a command, a response or a rejection.
    const MAX_COMMAND_BYTES: usize;
}
