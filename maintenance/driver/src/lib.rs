//! Driver of host maintenance at one process: reports its calls to the leader, excludes hosts by the
//! schedule, and submits the commands of operators. [`flaxhead_coordination`] provides timers and messages.

mod participant;
mod service;

pub use flaxhead_coordination::{OpenedStore, StateStore};
pub use participant::{Hosts, TimedExclusion};
pub use service::{MaintenanceService, Settings};
