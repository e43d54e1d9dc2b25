//! Which host is drained for maintenance next, as the client proxies agree upon it: an [`flaxhead_lease::Application`],
//! without I/O or clock.
//!
//! The [`DrainSchedule`] holds all drains. **Every** process on the roster has applied it before operators are told that a
//! host is free. A drain is requested, scheduled, draining, out of service and free, and recovering; the leader moves it on
//! ([`Maintenance`]), and each process sends nothing new to the hosts that its schedule excludes ([`excluded_hosts`],
//! [`may_send`]).

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

/// One process's part in the drains.
pub type Machine = flaxhead_lease::Machine<Maintenance>;
/// A message between two processes.
pub type Message = flaxhead_lease::Message<Maintenance>;
/// What the driver is to do.
pub type Effect = flaxhead_lease::Effect<Maintenance>;
/// What a process knows from outside the protocol.
pub type Facts = flaxhead_lease::Facts<HostFacts>;
/// What a process is given with everything that happens.
pub type Context<'a> = flaxhead_lease::Context<'a, HostFacts>;
