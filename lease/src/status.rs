//! Status of a lease machine for operators.

use crate::recovery_state::RecoveryState;
use serde::{Deserialize, Serialize};

/// Status of the lease machine of one process, as shown on the status pages. The JSON keys must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Name of the process that reports this status.
    pub me: String,
    /// Name of the leader; `None`: no leader is known.
    #[serde(rename = "holder")]
    pub leader: Option<String>,
    /// Highest ballot that the process knows, as `round.name`; `None`: it knows none.
    #[serde(rename = "fence")]
    pub highest_ballot: Option<String>,
    /// True if the process holds the leader's lease.
    #[serde(rename = "holds")]
    pub is_leader: bool,
    /// True if the process is the leader and its state may lack committed changes. It then makes no new
    /// decisions.
    #[serde(rename = "forgotten")]
    pub is_state_lost: bool,
    /// Admission of the process: `waits` (does not serve yet), `admitted` (by a leader) or `alone` (serves
    /// without admission).
    #[serde(rename = "serving")]
    pub admission: String,
    /// Text of the [`crate::AdmissionReason`] for which the process waits or serves.
    pub reason: String,
    /// Remaining time of the lease that the leader granted to the process, in milliseconds; 0: none is valid.
    #[serde(rename = "permitted_ms")]
    pub lease_remaining_ms: u64,
    /// Version of the state that the process has applied, or `none`.
    pub version: String,
    /// Progress of the process's recovery as a voter; `None`: it is not a voter.
    pub voter: Option<RecoveryState>,
}
