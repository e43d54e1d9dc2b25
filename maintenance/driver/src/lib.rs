//! Host maintenance at one process: reports on its hosts, and excludes those that the schedule names. Timers
//! and messages are those of [`flaxhead_coordination`].

mod participant;
mod service;

pub use flaxhead_coordination::{OpenedStore, StateStore};
pub use participant::{Hosts, TimedExclusion};
pub use service::{MaintenanceService, Settings};
