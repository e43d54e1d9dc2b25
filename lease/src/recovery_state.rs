//! Recovery of a voter after its restart.

use serde::{Deserialize, Serialize};

/// Progress of a voter's recovery after its restart. The order of the variants is that of the progress; the
/// voter may vote from [`RecoveryState::StateLost`] on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecoveryState {
    /// In quarantine after the start, without voting, because leader's leases that the voter granted before
    /// its restart may still be valid.
    #[serde(rename = "silent")]
    Quarantined,
    /// Past the quarantine, but not voting yet: the voter requests its lost promise, roster and state from
    /// other voters.
    #[serde(rename = "recalling")]
    Recovering,
    /// Voting, but without the data from before the restart, because too many voters have lost theirs at
    /// once.
    #[serde(rename = "cold")]
    StateLost,
    /// Voting, with every roster and state that a majority of voters stored.
    #[serde(rename = "sure")]
    Recovered,
}

impl RecoveryState {
    /// Returns whether a voter in this state may promise and accept ballots.
    pub(crate) fn may_vote(self) -> bool {
        self >= RecoveryState::StateLost
    }

    /// Returns whether the voter is past its quarantine, but does not know the data from before its restart.
    pub(crate) fn has_lost_data(self) -> bool {
        matches!(self, RecoveryState::Recovering | RecoveryState::StateLost)
    }
}
