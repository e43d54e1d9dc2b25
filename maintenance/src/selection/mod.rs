//! Which drain is next, and what keeps the others waiting.

mod blocked;
mod context;

pub use blocked::BlockedReason;
pub(crate) use context::{SchedulingContext, Selection};
