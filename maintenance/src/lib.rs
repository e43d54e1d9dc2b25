//! Scheduling of host maintenance among the client proxies, which are the processes of [`flaxhead_lease`], as
//! an [`flaxhead_lease::Application`] without I/O or clock.
//!
//! A *drain* takes a host out of service for maintenance. The [`DrainSchedule`] holds all drains; it is the
//! state that [`flaxhead_lease`] replicates to every process. The leader ([`Maintenance`]) moves a drain
//! through its stages: requested, scheduled, draining, out of service, recovering. Each process sends no new
//! calls to the hosts that its schedule excludes ([`excluded_hosts`], [`may_send`]). Operators are told that
//! a host is free for maintenance only when no process can still have a call in flight there.

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

/// State of the protocol at one process: its lease, its copy of the schedule and, at the leader, the
/// scheduler.
pub type Machine = flaxhead_lease::Machine<Maintenance>;
/// Message between two processes.
pub type Message = flaxhead_lease::Message<Maintenance>;
/// Action that the protocol asks of its driver, such as to send a message.
pub type Effect = flaxhead_lease::Effect<Maintenance>;
/// Facts from outside the protocol: the state of hosts and of the other processes.
pub type Facts = flaxhead_lease::Facts<HostFacts>;
/// Time, facts and source of randomness that the driver passes with each input of the protocol.
pub type Context<'a> = flaxhead_lease::Context<'a, HostFacts>;
