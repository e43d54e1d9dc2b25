//! Where a turn stands, and how it ends.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Where an open turn stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It waits for its place.
    Asked,
    /// It is next. A proxy sends to the host only as long as its permission lasts.
    Settled,
    /// Nothing new is sent there; what runs there ends by itself.
    Draining,
    /// Nothing runs there.
    Out,
    /// It takes calls again, and counts as out until it is warm.
    Back,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Asked => "asked",
            Stage::Settled => "settled",
            Stage::Draining => "draining",
            Stage::Out => "out",
            Stage::Back => "back",
        })
    }
}

/// How a turn ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The work was done and the host serves.
    Done,
    /// Somebody withdrew it.
    Withdrawn {
        /// Who.
        by: String,
    },
    /// Its time was past before it could begin.
    Expired {
        /// What it waited for last.
        why: String,
    },
    /// It could not be carried through; the host serves.
    Failed {
        /// Why.
        why: String,
    },
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Done => f.write_str("done"),
            End::Withdrawn { by } => write!(f, "withdrawn by {by}"),
            End::Expired { why } => write!(f, "expired: {why}"),
            End::Failed { why } => write!(f, "failed: {why}"),
        }
    }
}
