//! Whether a member's process runs, and what a suspicion rests on.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Whether a member's process runs, by any member's word. Later ones go before earlier ones where the stamp is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Alive,
    /// Some member receives it while others suspect it; never stored, only announced.
    #[serde(rename = "heard")]
    Vouched,
    /// Some member has not received it for too long.
    Suspect,
    /// No member has received it for too long, or its machine reports that it does not run.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// What a suspicion rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It did not answer, directly or through others.
    Silent,
    /// Its machine accepts connections for it and it does not answer: it is stopped or busy.
    Stalled,
    /// Its machine reports that nothing listens there.
    Refused,
}

/// A member's suspicion of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// The member that suspects.
    pub by: Name,
    /// Why.
    pub cause: Cause,
}
