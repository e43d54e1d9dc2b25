//! The lease as operators see it.

use crate::recovery_state::RecoveryState;
use serde::{Deserialize, Serialize};

/// The lease from the point of view of one process. The names of its keys in JSON are those of the side port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The process's name.
    pub me: String,
    /// The leader, as far as the process knows; `None`: it knows of none.
    #[serde(rename = "holder")]
    pub leader: Option<String>,
    /// The highest ballot that it has heard of.
    #[serde(rename = "fence")]
    pub highest_ballot: Option<String>,
    /// Whether the process itself is the leader.
    #[serde(rename = "holds")]
    pub is_leader: bool,
    /// As the leader: the state is lost, and nothing new is decided.
    #[serde(rename = "forgotten")]
    pub is_state_lost: bool,
    /// Whether the process was admitted: `waits`, `admitted` or `alone`.
    #[serde(rename = "serving")]
    pub admission: String,
    /// What it waits for, or why it may serve.
    pub reason: String,
    /// For how long its lease still runs, in milliseconds.
    #[serde(rename = "permitted_ms")]
    pub lease_remaining_ms: u64,
    /// The version of the state that it has applied.
    pub version: String,
    /// As a voter, how far it has recovered; `None`: it is no voter.
    pub voter: Option<RecoveryState>,
}
