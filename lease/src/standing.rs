//! What operators are shown of who settles.

use serde::{Deserialize, Serialize};

/// How one process stands to what is settled in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Its name.
    pub me: String,
    /// Who settles, as far as it knows.
    pub holder: Option<String>,
    /// Under which number.
    pub fence: Option<String>,
    /// It is this process.
    pub holds: bool,
    /// The holder does not know what is settled, and settles nothing new.
    pub forgotten: bool,
    /// Whether this process was let in.
    pub serving: String,
    /// Why: what it waits for, or by what it serves.
    pub reason: String,
    /// For how long it still has leave, in milliseconds.
    pub permitted_ms: u64,
    /// The slate that it goes by.
    pub version: String,
    /// As a voter, what it knows; `None`: it is none.
    pub voter: Option<crate::known::Known>,
}
