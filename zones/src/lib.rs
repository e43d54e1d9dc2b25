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

mod application;
mod desk;
mod facts;
pub mod fill;
mod judge;
mod map;
mod order;
mod pace;
mod plan;
pub mod steps;
mod tally;
mod view;
mod word;
mod zones;

pub use desk::Desk;
pub use facts::{rooms, Host};
pub use judge::{Judge, Opinions, Stand, Steady, Turned};
pub use map::{Map, MapError, MapTerms};
pub use order::{Done, Order, Refusal};
pub use pace::Pace;
pub use plan::{Pair, Plan, PlanError, Room, Row, Standing};
pub use tally::Tally;
pub use view::{Allow, Here, Lapse, Narrowed};
pub use word::{Doubt, Sight, Toward, Word, CLASSES};
pub use zones::{Noted, Zones};

pub use flaxhead_lease::{Ballot, Micros, Name, Process};

/// One process's part in the plan.
pub type Machine = flaxhead_lease::Machine<Zones>;
/// What one process says to another.
pub type Message = flaxhead_lease::Message<Zones>;
/// What is to be done.
pub type Effect = flaxhead_lease::Effect<Zones>;
/// What a process knows from elsewhere.
pub type Facts = flaxhead_lease::Facts<Vec<Host>>;
/// What a process is given with everything that happens.
pub type Around<'a> = flaxhead_lease::Context<'a, Vec<Host>>;
