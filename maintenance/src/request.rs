//! What operators request.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// A request to drain a host for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainRequest {
    /// The host, by its name in discovery.
    pub host: String,
    /// The kind of work, in the operators' words.
    pub kind: String,
    /// Who requests it.
    pub by: String,
    /// How long the work takes.
    #[serde(rename = "lasts")]
    pub duration: Micros,
    /// The time from now before which it must not begin.
    pub not_before: Micros,
    /// The time from now after which it must not begin; `None`: it may begin at any time.
    pub not_after: Option<Micros>,
    /// The host is out of service already, as after all proxies have lost their state.
    pub already_out: bool,
}
