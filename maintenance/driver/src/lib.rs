//! Host maintenance at one process: what it reports of its hosts, and to which of them it sends nothing new. Timers and
//! messages are those of [`flaxhead_coordination`], on the thread of the engine.

mod participant;
mod service;

pub use flaxhead_coordination::{OpenedStore, StateStore};
pub use participant::{Hosts, TimedExclusion};
pub use service::{MaintenanceService, Settings};
