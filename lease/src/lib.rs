//! Who settles what the client proxies settle in common: a state machine without I/O or clock, which knows nothing of
//! what is settled. That is an [`Application`], over one narrow trait; each application has a lease of its own.
//!
//! Three things are settled, each by the weakest means that holds it:
//!
//! - *Who settles*: one proxy at a time, under a [`Ballot`] that only grows, for a lease that a majority of the named
//!   voters grants. Source: PaxosLease (Trencseni, Gazso, Reinhardt, arXiv 1209.4187): no disk, and no agreement of
//!   clocks, only a bound on their drift; a voter that restarts stays silent for longer than any lease that it may have
//!   granted.
//! - *Who takes part*: the [`Roster`], kept by a majority of voters. A proxy is on it before it gets leave.
//! - *What is settled*: the application's slate, which **every** process on the roster is told and confirms. What all have
//!   heard any one of them remembers: a new holder needs no log.
//!
//! What a proxy promises when it is alone, in a minority, paused or restarted stands in `docs/design/lease.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod application;
mod ballot;
mod config;
mod facts;
mod hold;
mod known;
mod machine;
mod member;
mod memory;
mod message;
mod roster;
mod standing;
mod terms;
mod voter;
mod voters;
mod waiting;

pub use application::{Application, Granted, Said};
pub use ballot::{Ballot, Told, Version};
pub use config::Config;
pub use facts::{Facts, MemberFact, Presence};
pub use hold::{Heard, Hold, Room};
pub use known::Known;
pub use machine::{Around, Effect, Machine};
pub use member::{Member, Serving};
pub use memory::{Mark, Memory};
pub use message::{Message, Promise, Renewal};
pub use roster::{Process, Roster};
pub use standing::Standing;
pub use terms::{Never, Payload, Slate, Terms, Unsettled};
pub use voters::{Voters, VotersError};
pub use waiting::{Reason, Word};

pub use flaxhead_membership::{Micros, Name};
