//! Why a command failed before its application saw it.

use serde::{Deserialize, Serialize};

/// Why a command failed before its application saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum CommandError {
    /// No leader could be reached.
    #[error("no leader is reachable from here: retry once a majority of the voters runs")]
    NoLeader,
    /// The command was not committed in time; it may have been executed.
    #[error("it was not confirmed in time; ask again")]
    TimedOut,
    /// So many commands are pending at this process already.
    #[error("{0} commands are pending here already; retry once they are answered")]
    TooManyPending(usize),
}
