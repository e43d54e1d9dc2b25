//! Distribution of traffic over zones, as the client proxies agree on it: an [`flaxhead_lease::Application`]
//! under a leader lease of [`flaxhead_lease`], without I/O or clock.
//!
//! Each running proxy, here called a process, reports its demand and the health of each zone as its own calls
//! show it ([`LocalStats`], [`ZoneReport`]). The leader assesses the health of every pair of an observing and
//! an observed zone ([`HealthMatrix`]), allocates the demand to the capacity ([`allocation`]) and moves the
//! [`Plan`] towards that allocation in bounded steps ([`steps`]). For every zone as *origin*, the zone of the
//! process that receives a call from its client, the plan has the weight of each zone as *target*, the zone
//! that the call is sent to. The plan is replicated to all processes. A process follows it while its lease
//! lasts, and the plan only ever removes zones from the process's own choice ([`ZoneApplication::routing`]).
//! Operators put the plan on hold and release it, and evacuate and restore zones ([`Command`]).
//!
//! The package only decides. No driver, configuration section or operator command uses it yet. The design and
//! its guarantees are described in `docs/design/zones.md`.
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

/// State machine of the lease protocol in one process.
pub type Machine = flaxhead_lease::Machine<ZoneApplication>;
/// A message between two processes.
pub type Message = flaxhead_lease::Message<ZoneApplication>;
/// An action that the driver carries out.
pub type Effect = flaxhead_lease::Effect<ZoneApplication>;
/// The membership and the hosts, as a process knows them from other sources than the lease protocol.
pub type Facts = flaxhead_lease::Facts<Vec<Host>>;
/// The time, facts and random numbers that accompany every input.
pub type Context<'a> = flaxhead_lease::Context<'a, Vec<Host>>;
