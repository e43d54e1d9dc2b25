//! Requests of operators.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// Request to drain a host for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Host, by its name in discovery.
    pub host: String,
    /// Kind of maintenance, as the operator names it.
    pub kind: String,
    /// Operator who requests the drain.
    pub by: String,
    /// Expected duration of the maintenance.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// Time from now until the earliest start of the drain; 0: it may start at once.
    pub not_before: Micros,
    /// Time from now until the latest start of the drain; `None`: it may start at any time.
    pub not_after: Option<Micros>,
    /// The host is out of service already, so nothing needs to be drained: for use after the processes have
    /// lost the schedule.
    pub already_out: bool,
}
