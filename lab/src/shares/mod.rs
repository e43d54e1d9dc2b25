//! Connection capacity that proxies share among tenants: what an experiment says of it, and the judge of it.

pub mod judge;
mod max_min;
pub mod report;
pub mod script;
mod spans;

pub use max_min::max_min;
