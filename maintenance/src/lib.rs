//! Scheduling of host maintenance among the client proxies, as an [`flaxhead_lease::Application`] without I/O
//! or clock.
//!
//! - *Process*: one run of a client proxy. Processes send calls to *hosts*.
//! - *Drain*: the removal of one host from service for maintenance, from an operator's request until the host
//!   serves calls again. Its stages: requested, scheduled, draining, out of service, recovering.
//! - *Schedule* ([`DrainSchedule`]): all open drains and the latest completed ones. The leader changes it,
//!   and replicates it to every process on the roster.
//! - *Excluded host* ([`excluded_hosts`], [`may_send`]): a host that a process sends no new calls to, because
//!   its drain is scheduled, draining or out of service.
//! - *Free host*: a host whose maintenance may start, since no process can have a call in flight there.
//!   Operators are told only then.
//! - *Load*: the number of calls that processes have in flight, averaged over the last seconds.
//! - *Lost zone*: a zone in which some process reaches no host.
//! - *Lost schedule*: no process has a complete schedule, for example after all have restarted without stored
//!   state.
//!
//! [`flaxhead_lease`] defines the leader, the voters, the roster, the lease of a process and its admission.

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

/// Protocol state machine of one process: its lease, its copy of the schedule and, at the leader, the
/// scheduler.
pub type Machine = flaxhead_lease::Machine<Maintenance>;
/// Message between processes: election of the leader, renewal of leases, or replication of the schedule.
pub type Message = flaxhead_lease::Message<Maintenance>;
/// Action that the protocol asks of its driver, such as to send a message.
pub type Effect = flaxhead_lease::Effect<Maintenance>;
/// Input from outside the protocol: the state of the hosts, and the other processes as the membership lists
/// them.
pub type Facts = flaxhead_lease::Facts<HostFacts>;
/// Time, facts and source of randomness that the driver passes with each input of the protocol.
pub type Context<'a> = flaxhead_lease::Context<'a, HostFacts>;
