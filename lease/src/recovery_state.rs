//! What a voter knows after its restart.

use serde::{Deserialize, Serialize};

/// How far a voter has recovered what it knew before its restart, in ascending order. It may vote from
/// [`RecoveryState::StateLost`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecoveryState {
    /// It started recently: a lease that it granted before may still run, so it is silent.
    #[serde(rename = "silent")]
    Quarantined,
    /// No such lease runs any more; it asks the other voters what it has forgotten.
    #[serde(rename = "recalling")]
    Recovering,
    /// Too many voters have forgotten at once: nobody knows for certain.
    #[serde(rename = "cold")]
    StateLost,
    /// It knows what a majority of voters knew.
    #[serde(rename = "sure")]
    Recovered,
}

impl RecoveryState {
    /// Whether a voter in this state may vote.
    pub(crate) fn may_vote(self) -> bool {
        self >= RecoveryState::StateLost
    }

    /// Whether such a voter is out of its quarantine and does not know what there was before.
    pub(crate) fn has_forgotten(self) -> bool {
        matches!(self, RecoveryState::Recovering | RecoveryState::StateLost)
    }
}
