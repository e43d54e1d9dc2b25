//! Limits on repeats where several layers repeat: the application, its RPC library and the proxy. Two decisions, both
//! without I/O or a clock: how many repeats all calls together may cost ([`Budget`]), and what a call that comes again
//! may still do ([`Memory`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod memory;

pub use budget::{Budget, BudgetSpec};
pub use memory::{Allowed, Memory, MemorySpec, Refusal, Tries};
