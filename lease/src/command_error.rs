//! Errors of operators' commands that the protocol reports, not the application.

use serde::{Deserialize, Serialize};

/// Error of an operator's command that the protocol reports, not the application.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// No leader was reachable until the command's deadline, or the process that received the command is not
    /// the leader.
    #[error("no leader is reachable from this process; retry once a majority of the voters is running")]
    NoLeader,
    /// No response arrived before the command's deadline; it may have been executed.
    #[error("the command was not confirmed in time and may have been executed; retry it")]
    TimedOut,
    /// The process has this number of commands without a response, the maximum, and accepts no more.
    #[error("{0} commands are already pending at this process; retry after they have completed")]
    TooManyPending(usize),
}
