//! Stages and outcomes of a drain. The `serde` renames and `Display` keep the names that operators' scripts
//! use.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Stage of an open drain, in the order in which a drain passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The drain was requested, and limits or other drains may keep it waiting.
    #[serde(rename = "asked")]
    Requested,
    /// The drain was selected as the next one. A process still sends calls to the host, but stops once its
    /// own lease expires without renewal.
    #[serde(rename = "settled")]
    Scheduled,
    /// Processes send no new calls to the host, and calls in flight there run to their end.
    #[serde(rename = "draining")]
    Draining,
    /// No process has a call in flight at the host, which may be under maintenance.
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

/// Outcome of a completed drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Maintenance was carried out and the host serves calls again.
    #[serde(rename = "done")]
    Succeeded,
    /// An operator withdrew the drain before its host was out of service.
    #[serde(rename = "withdrawn")]
    Withdrawn {
        /// Operator who withdrew the drain.
        by: String,
    },
    /// The drain was still waiting at the latest start that its request allows.
    #[serde(rename = "expired")]
    Expired {
        /// Condition that the drain last waited for.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The host could not be drained within the time limit, and goes on serving calls.
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
            Outcome::Succeeded => f.write_str("done"),
            Outcome::Withdrawn { by } => write!(f, "withdrawn by {by}"),
            Outcome::Expired { reason } => write!(f, "expired: {reason}"),
            Outcome::Failed { reason } => write!(f, "failed: {reason}"),
        }
    }
}
