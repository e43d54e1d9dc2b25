//! Weighted max-min fair division of permits.

mod fill;
mod settle;

pub use fill::{fill, spread, Demand};
pub use settle::{settle, settle_tenants};
