//! Errors of commands that did not reach their application.

use serde::{Deserialize, Serialize};

/// Error of a command that did not reach its application.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// No leader is reachable.
    #[error("no leader is reachable from this process; retry once a majority of the voters is running")]
    NoLeader,
    /// The command was not committed in time; it may have been executed.
    #[error("the command was not confirmed in time and may have been executed; retry it")]
    TimedOut,
    /// This number of commands, the maximum, is pending at this process.
    #[error("{0} commands are already pending at this process; retry after they have completed")]
    TooManyPending(usize),
}
