//! Which host is taken out for work next, as the client proxies settle it among themselves: what is settled under a
//! lease of [`flaxhead_lease`], as its [`flaxhead_lease::Application`]; no I/O, no clock.
//!
//! The [`Board`] holds all turns. **Every** process on the roster has heard it before a host is told free. A turn is
//! settled, drains, is out and free, and comes back; the holder moves it on ([`Turns`]), and each process leaves alone
//! the hosts that its board says so of ([`spared`], [`may_send`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod application;
mod ask;
mod board;
mod desk;
mod facts;
mod limits;
mod order;
mod plan;
mod spare;
mod stage;
mod turns;
mod view;

pub use ask::Ask;
pub use board::{Board, Past, Turn};
pub use facts::{HostFact, HostFacts};
pub use limits::{Limits, Rules};
pub use order::{Answer, Order, Refusal};
pub use plan::Obstacle;
pub use spare::{may_send, spared};
pub use stage::{End, Stage};
pub use turns::{Step, Turns, Usage, Word};
pub use view::{view, MemberRow, TurnRow, View};

/// One process's part in the turns.
pub type Machine = flaxhead_lease::Machine<Turns>;
/// What one process says to another.
pub type Message = flaxhead_lease::Message<Turns>;
/// What is to be done.
pub type Effect = flaxhead_lease::Effect<Turns>;
/// What a process knows from elsewhere.
pub type Facts = flaxhead_lease::Facts<HostFacts>;
/// What a process is given with everything that happens.
pub type Around<'a> = flaxhead_lease::Context<'a, HostFacts>;
