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
    /// Name of the operator.
    pub by: String,
    /// Expected duration of the maintenance.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// Earliest start, from now.
    pub not_before: Micros,
    /// Latest start, from now; `None`: no limit.
    pub not_after: Option<Micros>,
    /// The host is out of service already, as when the proxies have lost their state.
    pub already_out: bool,
}
