//! Scheduling of host maintenance among the client proxies, as an [`flaxhead_lease::Application`] without I/O
//! or clock.
//!
//! The [`DrainSchedule`] holds all drains and is replicated to every process. The leader ([`Maintenance`])
//! moves a drain through its stages: requested, scheduled, draining, out of service, recovering. Each process
//! sends no new calls to the hosts that its schedule excludes ([`excluded_hosts`], [`may_send`]). Operators
//! are told that a host is free only when no process can still have a call in flight there.

mod application;
mod application_types;
mod command;
mod config;
mod exclusion;
mod facts;
mod request;
mod schedule;
mod scheduler;
mod selection;
mod stage;
mod view;

pub use application_types::{DrainEvent, HostUsage, Maintenance, UsageReport};
pub use command::{Command, CommandResponse, Rejection};
pub use config::{Limits, SchedulerConfig};
pub use exclusion::{excluded_hosts, may_send, ExcludedHost};
pub use facts::{HostFacts, HostStatus};
pub use request::DrainRequest;
pub use schedule::{CompletedDrain, Drain, DrainSchedule};
pub use selection::BlockedReason;
pub use stage::{Outcome, Stage};
pub use view::{view, DrainView, MaintenanceView, ProcessView};

/// The protocol state of one process.
pub type Machine = flaxhead_lease::Machine<Maintenance>;
/// A message between two processes.
pub type Message = flaxhead_lease::Message<Maintenance>;
/// An action for the driver.
pub type Effect = flaxhead_lease::Effect<Maintenance>;
/// Facts that a process has from outside the protocol: hosts and the membership.
pub type Facts = flaxhead_lease::Facts<HostFacts>;
/// The time, facts and randomness that accompany each input.
pub type Context<'a> = flaxhead_lease::Context<'a, HostFacts>;
