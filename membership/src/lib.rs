//! Which client proxies live, and which ways between them work: a state machine without I/O or clock.
//!
//! Sources: SWIM (Das, Gupta, Motivala, DSN 2002) for probes in shuffled rounds, probes through others, suspicion,
//! refutation by incarnation and updates carried on probes; Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018) for the
//! health of oneself, suspicions that confirmations shorten, and the suspect told first. What is added, and why,
//! stands in `docs/design/membership.md`.
//!
//! A [`Machine`] is told the time and what has come, and says what is to be sent. It keeps two things apart:
//!
//! - *liveness*: whether a member's process runs, by anyone's word ([`State`]);
//! - *reach*: which directions between two members work, by their own ears ([`Reach`]).
//!
//! A member that hears but is not heard, or is heard but hears nobody, finds that out about itself ([`CutOff`]); it
//! then suspects nobody and takes no part in what is settled in common.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod health;
mod machine;
mod name;
mod packet;
mod probe;
mod queue;
mod table;
mod view;

pub use health::CutOff;
pub use machine::{Change, CheckResult, Config, Effect, Machine};
pub use name::{Name, NameError, Stamp};
pub use packet::{Kind, MemberRecord, Packet, Rejection, Update};
pub use table::{Cause, Member, MemberTable, MergeResult, State, SuspicionReport};
pub use view::{MemberView, MembershipView, Reach};

/// A moment or a span, in microseconds. Moments count from any fixed point before the machine's start.
pub type Micros = u64;
