//! Driver of the maintenance protocol at one process: reports the process's calls in flight to the leader,
//! sends no new calls to hosts that the schedule excludes, and submits the commands of operators.
//! [`flaxhead_coordination`] provides timers and messages.

mod participant;
mod service;

pub use flaxhead_coordination::{OpenedStore, StateStore};
pub use participant::{Hosts, TimedExclusion};
pub use service::{MaintenanceService, Settings};
