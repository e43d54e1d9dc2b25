//! Status of a lease for operators.

use crate::recovery_state::RecoveryState;
use serde::{Deserialize, Serialize};

/// Status of a lease from the point of view of one process. The JSON keys are part of the status pages and
/// must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Name of the process.
    pub me: String,
    /// Name of the leader; `None`: no leader is known.
    #[serde(rename = "holder")]
    pub leader: Option<String>,
    /// Highest known ballot; `None`: none is known.
    #[serde(rename = "fence")]
    pub highest_ballot: Option<String>,
    /// True if the process is the leader.
    #[serde(rename = "holds")]
    pub is_leader: bool,
    /// True if the process is the leader and its state may lack committed changes, so that it makes no new
    /// decisions.
    #[serde(rename = "forgotten")]
    pub is_state_lost: bool,
    /// Admission status: `waits`, `admitted` or `alone`.
    #[serde(rename = "serving")]
    pub admission: String,
    /// Reason for waiting or serving, as text.
    pub reason: String,
    /// Remaining time of the process's lease in milliseconds; 0: no lease is held.
    #[serde(rename = "permitted_ms")]
    pub lease_remaining_ms: u64,
    /// Version of the applied state.
    pub version: String,
    /// Recovery state as a voter; `None`: not a voter.
    pub voter: Option<RecoveryState>,
}
