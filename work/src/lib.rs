//! The driver of the turns in which hosts are taken out for work: it owns the timers, puts messages into bytes, gathers
//! what the process knows of members and hosts, and has [`flaxhead_accord::Machine`] decide everything. It rides on the
//! sockets of [`flaxhead_peers`], on the thread of the engine.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod driver;
mod members;

pub use driver::{Hosts, Settings, Work};
