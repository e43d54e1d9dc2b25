//! Operators' requests to drain a host.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// Request to drain a host for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Name of the host in discovery's list.
    pub host: String,
    /// Kind of maintenance, as the operator names it.
    pub kind: String,
    /// Operator who requests the drain.
    pub by: String,
    /// Expected duration of the maintenance.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// Time that must pass before the drain may be scheduled; 0: it may be scheduled at once.
    pub not_before: Micros,
    /// Time after which the drain expires unless draining has begun; `None`: it never expires.
    pub not_after: Option<Micros>,
    /// The host is out of service already and needs no draining. Operators set this to enter such a host
    /// again after the processes have lost the schedule.
    pub already_out: bool,
}
