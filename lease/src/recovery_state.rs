//! Recovery of a voter after its restart.

use serde::{Deserialize, Serialize};

/// Progress of a voter's recovery after its restart, in ascending order. The voter may vote from
/// [`RecoveryState::StateLost`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecoveryState {
    /// Silent after the start, because leases that were granted before may still be valid.
    #[serde(rename = "silent")]
    Quarantined,
    /// Without valid leases from before; the voter requests the lost data from other voters.
    #[serde(rename = "recalling")]
    Recovering,
    /// Unable to recover, because too many voters have lost their data at once.
    #[serde(rename = "cold")]
    StateLost,
    /// In possession of everything that a majority of voters stored.
    #[serde(rename = "sure")]
    Recovered,
}

impl RecoveryState {
    /// Returns whether a voter in this state may vote.
    pub(crate) fn may_vote(self) -> bool {
        self >= RecoveryState::StateLost
    }

    /// Returns whether the quarantine is over, but the earlier data is not known.
    pub(crate) fn has_lost_data(self) -> bool {
        matches!(self, RecoveryState::Recovering | RecoveryState::StateLost)
    }
}
