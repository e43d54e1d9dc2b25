//! What operators ask for.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// A host that shall be worked at.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Which, by its name in discovery.
    pub host: String,
    /// The kind of work, in the operators' words.
    pub kind: String,
    /// Who asks.
    pub by: String,
    /// How long the work takes.
    pub lasts: Micros,
    /// Not before this time from now.
    pub not_before: Micros,
    /// Not begun after this time from now; `None`: whenever it may.
    pub not_after: Option<Micros>,
    /// It is out already, as after all proxies have forgotten.
    pub already_out: bool,
}
