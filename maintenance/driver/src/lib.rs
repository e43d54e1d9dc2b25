//! The turns in which hosts are taken out for work, at one process: what it tells of its hosts, and which of them it
//! leaves alone. Timers and messages are [`flaxhead_coordination`]'s, on the thread of the engine.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod driver;
mod side;

pub use driver::{Settings, Work};
pub use flaxhead_coordination::{OpenedStore, StateStore};
pub use side::Hosts;
