//! Weighted max-min fair allocation of permits to claimants, which are tenants or processes.

mod progressive_filling;
mod reallocation;

pub use progressive_filling::{allocate_by_weight, allocate_max_min, Demand};
pub use reallocation::{reallocate, reallocate_tenants};
