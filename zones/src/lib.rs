//! Which zones take whose traffic, as the client proxies settle it among themselves: what is settled under a lease of
//! [`flaxhead_lease`], as its [`flaxhead_lease::Application`]; no I/O, no clock.
//!
//! Each process tells what it asks for and how it finds each zone ([`Tally`], [`Word`]). Whoever holds the lease
//! judges zones by pairs of who looks and who is looked at ([`Judge`]), divides what is asked for over what can be
//! done ([`fill`]) and moves the [`Plan`] there by bounded steps ([`steps`]). The plan is told to all; a process goes
//! by it while its leave lasts, and only ever narrows its own choice by it ([`Zones::allow`]). Operators hold and
//! release the plan, and empty and return zones ([`Order`]).
//!
//! What is here decides only. Not plugged in yet: a driver on the peers' sockets, a section of the operators' file,
//! commands, and the module's event that takes the shares. Why it is as it is, and what it promises and what not,
//! stands in `docs/design/zones.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod allocation;
mod application;
mod application_types;
mod command;
mod health_matrix;
mod hosts;
mod local_stats;
mod plan;
mod planner;
mod report;
mod routing;
mod settings;
pub mod steps;
mod topology;

pub use application_types::{PlanEvent, ZoneApplication};
pub use command::{Command, CommandResponse, Rejection};
pub use health_matrix::{DampedHealth, HealthChange, HealthMatrix, HealthVotes, ZoneStatus};
pub use hosts::{zone_capacities, Host};
pub use local_stats::LocalStats;
pub use plan::{ActiveCommand, OriginSplit, PairHealth, Plan, PlanError, ZoneCapacity};
pub use planner::Planner;
pub use report::{ReportError, ZoneHealth, ZoneObservation, ZoneReport, MAX_CLASS_COUNT};
pub use routing::{FallbackReason, LocalHealth, PlannedSplit, Routing};
pub use settings::FailoverSettings;
pub use topology::{Topology, TopologyError, TopologySettings};

pub use flaxhead_lease::{Ballot, Micros, Name, Process};

/// One process's part in the plan.
pub type Machine = flaxhead_lease::Machine<ZoneApplication>;

/// What one process says to another.
pub type Message = flaxhead_lease::Message<ZoneApplication>;

/// What is to be done.
pub type Effect = flaxhead_lease::Effect<ZoneApplication>;

/// What a process knows from elsewhere.
pub type Facts = flaxhead_lease::Facts<Vec<Host>>;

/// What a process is given with everything that happens.
pub type Context<'a> = flaxhead_lease::Context<'a, Vec<Host>>;
