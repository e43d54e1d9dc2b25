//! The types that an application puts into messages, and the size limit of each.

use crate::command_error::CommandError;
use flaxhead_membership::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::hash::Hash;

/// A value that can stand in a message.
pub trait Payload: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned {}

impl<T: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned> Payload for T {}

/// State that every process has a copy of. An application that sends each process something of its own uses `()`.
pub trait ReplicatedState: Payload + Default {
    /// Advances the time spans in the state by `elapsed`. The state holds spans rather than moments, so that they mean the
    /// same by every clock.
    fn advance(&mut self, elapsed: Micros) {
        let _ = elapsed;
    }

    /// Merges what `other` holds and this state does not, while it is not known which of the two is complete. Returns
    /// whether anything was new.
    fn merge(&mut self, other: &Self) -> bool {
        let _ = other;
        false
    }
}

impl ReplicatedState for () {}

/// A type without values: the command type of an application that takes no commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoCommand {}

/// The types of an application, and how many bytes each may take in a message. The driver enforces the limits when it
/// sends as well as when it receives.
pub trait ApplicationTypes: Clone + Debug + Eq + Hash {
    /// What is replicated to every process.
    type State: ReplicatedState;
    /// What a process reports with each renewal of its lease.
    type Report: Payload;
    /// What the leader grants to one process along with its lease.
    type Grant: Payload;
    /// What operators may command; [`NoCommand`] for nothing.
    type Command: Payload;
    /// The result of a command, once it is committed.
    type Response: Payload;
    /// Why a command changed nothing. [`CommandError::NoLeader`], returned as the application's own rejection, has the
    /// command submitted again.
    type Rejection: Payload + From<CommandError>;
    /// Input beside the membership that the application decides by.
    type Facts;
    /// Something that happened at the leader, for the audit trail and the log.
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
