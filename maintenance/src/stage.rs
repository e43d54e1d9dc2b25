//! The stages of a drain, and how it ends. Their names in JSON and in the command's output are older than those here.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How far an open drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It waits to be scheduled.
    #[serde(rename = "asked")]
    Requested,
    /// It is next. A proxy sends to the host only as long as its lease lasts.
    #[serde(rename = "settled")]
    Scheduled,
    /// Nothing new is sent to the host; the calls in flight there end by themselves.
    #[serde(rename = "draining")]
    Draining,
    /// No call is in flight there.
    #[serde(rename = "out")]
    OutOfService,
    /// The host takes calls again, and counts as out until it has warmed up.
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

/// How a drain ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The work was done and the host serves.
    #[serde(rename = "done")]
    Completed,
    /// It was withdrawn.
    #[serde(rename = "withdrawn")]
    Withdrawn {
        /// By whom.
        by: String,
    },
    /// It could not begin in time.
    #[serde(rename = "expired")]
    Expired {
        /// What it last waited for.
        #[serde(rename = "why")]
        reason: String,
    },
    /// It could not be carried out; the host serves.
    #[serde(rename = "failed")]
    Failed {
        /// Why.
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
