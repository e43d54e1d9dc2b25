//! Which client proxies run, and which paths between them work: a state machine without I/O or clock.
//!
//! Sources: SWIM (Das, Gupta, Motivala, DSN 2002) for probes in shuffled rounds, indirect probes, suspicion, refutation
//! and updates carried on probes; Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018) for the local health, suspicions that
//! confirmations shorten, and the suspect that is told first. What is added, and why, stands in
//! `docs/design/membership.md`.
//!
//! A [`Machine`] is given the time and what has come, and says what is to be sent. It keeps two things apart:
//!
//! - *liveness*: whether a member's process runs, by any member's word ([`State`]);
//! - *reachability*: which directions between two members work, by what they receive themselves ([`Reach`]).
//!
//! A member that receives but is not received, or the other way round, finds that out about itself ([`CutOff`]). It then
//! suspects no other member and takes part in no agreement.

mod health;
mod liveness;
mod machine;
mod name;
mod packet;
mod probe;
mod queue;
mod table;
mod view;

pub use health::CutOff;
pub use liveness::{Cause, State, SuspicionReport};
pub use machine::{Change, CheckResult, Config, Effect, Machine};
pub use name::{Name, NameError, Stamp};
pub use packet::{Kind, MemberRecord, Packet, Rejection, Update};
pub use table::{Member, MemberTable, MergeResult};
pub use view::{MemberView, MembershipView, Reach, SuspicionView};

/// A moment or a span, in microseconds. Moments count from any fixed point before the machine's start.
pub type Micros = u64;
