//! Selection of the next drain to schedule, and the reasons that block requested drains.

mod blocked;
mod context;

pub use blocked::BlockedReason;
pub(crate) use context::{SchedulingContext, Selection};
