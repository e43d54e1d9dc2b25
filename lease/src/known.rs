//! What a voter that has no disk knows.

use serde::{Deserialize, Serialize};

/// What a voter that has no disk knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Known {
    /// It was started lately: a lease that it granted before may still run.
    Silent,
    /// No such lease runs; it asks the others what it has forgotten.
    Recalling,
    /// Too many have forgotten at once: nobody knows for sure.
    Cold,
    /// It remembers.
    Sure,
}
