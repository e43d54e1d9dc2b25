//! Units among those that want them.

mod fill;
mod settle;

pub use fill::{fill, spread, Want};
pub use settle::{settle, settle_tenants};
