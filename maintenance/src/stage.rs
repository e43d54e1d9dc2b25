//! Stages and outcomes of a drain. `serde` renames and `Display` keep the names of JSON and of the command
//! line.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Stage of an open drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The drain waits to be scheduled.
    #[serde(rename = "asked")]
    Requested,
    /// The drain was selected; a proxy sends to the host only while its lease lasts.
    #[serde(rename = "settled")]
    Scheduled,
    /// Proxies send no new calls to the host; calls in flight run to their end.
    #[serde(rename = "draining")]
    Draining,
    /// No call is in flight at the host.
    #[serde(rename = "out")]
    OutOfService,
    /// The host receives calls again, and counts as out of service until it has warmed up.
    #[serde(rename = "back")]
    Recovering,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Requested => "asked",
            Stage::Scheduled => "settled",
            Stage::Draining => "draining",
            Stage::OutOfService => "out",
            Stage::Recovering => "back",
        })
    }
}

/// Outcome of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Maintenance was completed and the host serves.
    #[serde(rename = "done")]
    Completed,
    /// An operator withdrew the drain.
    #[serde(rename = "withdrawn")]
    Withdrawn {
        /// Name of the operator.
        by: String,
    },
    /// The drain did not start before its latest start.
    #[serde(rename = "expired")]
    Expired {
        /// Condition that the drain last waited for.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The host could not be drained in time and serves on.
    #[serde(rename = "failed")]
    Failed {
        /// Condition that the drain last waited for.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Completed => f.write_str("done"),
            Outcome::Withdrawn { by } => write!(f, "withdrawn by {by}"),
            Outcome::Expired { reason } => write!(f, "expired: {reason}"),
            Outcome::Failed { reason } => write!(f, "failed: {reason}"),
        }
    }
}
