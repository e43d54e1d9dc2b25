//! Types that an application defines for its data in messages, and their size limits.

use crate::command_error::CommandError;
use flaxhead_membership::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;
use std::hash::Hash;

/// Value that can be sent in a message: it can be encoded, decoded, compared and copied.
pub trait Payload: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned {}

impl<T: Clone + Debug + Eq + Hash + Serialize + DeserializeOwned> Payload for T {}

/// State that is replicated to every process. An application without a common state uses `()`.
pub trait ReplicatedState: Payload + Default {
    /// Advances the durations in the state by `elapsed` microseconds. The state contains durations instead of
    /// times, because the clocks of processes differ. The default changes nothing.
    fn advance(&mut self, elapsed: Micros) {
        let _ = elapsed;
    }

    /// Merges the contents of `other`, when neither of the two states is known to be complete. Returns
    /// whether `self` has changed. The default ignores `other`.
    fn merge(&mut self, other: &Self) -> bool {
        let _ = other;
        false
    }
}

impl ReplicatedState for () {}

/// Command type without values, for applications without commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoCommand {}

/// Types that an application defines for its data, and the maximum encoded size of each in a message. The
/// driver (package `coordination`) checks the sizes on sending and receiving.
pub trait ApplicationTypes: Clone + Debug + Eq + Hash {
    /// State that the leader replicates to every process; `()` for none.
    type State: ReplicatedState;
    /// Data that a process sends to the leader with each request for a lease, such as its usage.
    type Report: Payload;
    /// Data that the leader sends to a process together with its lease, such as a number of permits; `()` for
    /// nothing.
    type Grant: Payload;
    /// Command of an operator; [`NoCommand`] if there are none.
    type Command: Payload;
    /// Response to a command, sent once the state that contains the command's effect is committed.
    type Response: Payload;
    /// Reason for rejecting a command. If the application itself returns [`CommandError::NoLeader`], the
    /// command stays pending and is sent again.
    type Rejection: Payload + From<CommandError>;
    /// Data from outside the protocol that the application uses for its decisions, besides the membership,
    /// such as host capacities; `()` for none.
    type Facts;
    /// Event that the application records while its process is the leader, for the audit trail and the log.
    type Event: Clone + Debug + Eq + Hash;

    /// Maximum encoded size of the state, in bytes.
    const MAX_STATE_BYTES: usize;
    /// Maximum encoded size of a report, in bytes.
    const MAX_REPORT_BYTES: usize;
    /// Maximum encoded size of a grant, in bytes.
    const MAX_GRANT_BYTES: usize;
    /// Maximum encoded size of a command, a response or a rejection, in bytes.
    const MAX_COMMAND_BYTES: usize;
}
