//! Stages and outcomes of a drain. The `serde` renames and `Display` keep the names that operators' scripts
//! use.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Stage of an open drain, in the order in which a drain passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The drain waits to be selected, because of limits or of drains that are selected first.
    #[serde(rename = "asked")]
    Requested,
    /// The drain was selected, and the leader waits until every process has confirmed that. Processes still
    /// send calls to the host, but a process whose own lease expires stops doing so.
    #[serde(rename = "settled")]
    Scheduled,
    /// Processes send no new calls to the host, and calls in flight there run to their end.
    #[serde(rename = "draining")]
    Draining,
    /// No process has a call in flight at the host, and maintenance may be under way.
    #[serde(rename = "out")]
    OutOfService,
    /// Maintenance is complete and the host receives calls again. It counts as out of service until it has
    /// warmed up or the configured recovery time has passed.
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

/// Way in which a drain ended.
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
    /// Draining had not begun at the latest start that the request allows.
    #[serde(rename = "expired")]
    Expired {
        /// Condition that the drain last waited for.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Draining took longer than the configured maximum; the host goes on serving calls.
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
