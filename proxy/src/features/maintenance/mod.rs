//! Maintenance: hosts are drained in an order that the proxies agree upon. Off where proxies may not talk to each other.

mod engine_hosts;
mod gated_source;
mod settings;

pub use engine_hosts::EngineHosts;
pub use gated_source::GatedSource;
pub use settings::read;

#[cfg(test)]
mod tests;
