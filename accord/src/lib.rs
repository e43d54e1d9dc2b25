//! Which host is taken out for work next, as the client proxies settle it among themselves: a state machine without
//! I/O or clock.
//!
//! Three things are settled, each by the weakest means that holds it:
//!
//! - *Who hands out turns*: one proxy at a time, under a [`Ballot`] that only grows, for a lease that a majority of the
//!   named voters grants. Source: PaxosLease (Trencseni, Gazso, Reinhardt, arXiv 1209.4187): no disk, and no agreement
//!   of clocks, only a bound on their drift; a voter that restarts stays silent for longer than any lease that it may
//!   have granted.
//! - *Who may send*: the [`Roster`], kept by a majority of voters. A proxy is on it before it sends anything.
//! - *What is left alone*: the [`Board`], which **every** process on the roster has heard before a host is told free.
//!   What all have heard any one of them remembers: a new holder needs no log.
//!
//! What a proxy promises when it is alone, in a minority, paused or restarted stands in `docs/design/accord.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ballot;
mod board;
mod config;
mod facts;
mod holder;
mod machine;
mod member;
mod message;
mod order;
mod plan;
mod view;
mod voter;
mod voters;

pub use ballot::{Ballot, Version};
pub use board::{Board, End, Past, Stage, Turn};
pub use config::Config;
pub use facts::{Facts, HostFact, MemberFact, Presence};
pub use machine::{Around, Effect, Machine, Step};
pub use member::{Serving, Usage};
pub use message::{Message, Process, Promise, Renewal, Roster};
pub use order::{Answer, Ask, Order, Refusal};
pub use plan::{Limits, Obstacle};
pub use view::{MemberRow, TurnRow, View};
pub use voter::Known;
pub use voters::{Voters, VotersError};

pub use flaxhead_membership::{Micros, Name};
