//! Leader leases among the client proxies: a state machine without I/O or clock.
//!
//! The package elects a leader, keeps the roster of admitted processes, and replicates the state of an [`Application`]
//! that it knows nothing of. Each application runs in a [`Machine`] of its own, with its own lease and roster.
//!
//! Three things are agreed upon, each by the weakest means that is sufficient:
//!
//! - *The leader*: one proxy at a time, under a [`Ballot`] that only grows, for a lease that a majority of the configured
//!   voters grants. Source: PaxosLease (Trencseni, Gazso, Reinhardt, arXiv 1209.4187). It needs no disk and no agreement
//!   of clocks, only a bound on their drift: a voter that restarts stays silent (is quarantined) for longer than any lease
//!   that it may have granted.
//! - *The participants*: the [`Roster`], stored by a majority of voters. A process is on the roster before it gets a lease
//!   of its own.
//! - *The state*: the application's replicated state, which **every** process on the roster receives and confirms. A new
//!   leader therefore needs no log: any process that was admitted all along has the whole state.
//!
//! What a proxy guarantees while it is alone, in a minority, paused or restarted stands in `docs/design/lease.md`.

mod admission;
mod application;
mod ballot;
mod command_error;
mod config;
mod facts;
mod leader;
mod machine;
mod message;
mod persistent_state;
mod recovery_state;
mod replica;
mod roster;
mod status;
mod types;
mod voter;
mod voters;

pub use admission::{AdmissionReason, RecoveryStatus};
pub use application::{Application, ReceivedGrant, ReceivedReport};
pub use ballot::{Ballot, Version, Versioned};
pub use command_error::CommandError;
pub use config::Config;
pub use facts::{Facts, MemberStatus, Presence};
pub use leader::{LeaderContext, LeaderState, PeerState};
pub use machine::{Context, Effect, Machine};
pub use message::{
    Acceptance, Denial, LeaseGrant, Message, Promise, Proposal, RecoveryQuery, RecoveryReply, Renewal,
    VoterRecoveryResponse,
};
pub use persistent_state::{PersistentState, PersistentStateVersion};
pub use recovery_state::RecoveryState;
pub use replica::{AdmissionStatus, LocalReplica};
pub use roster::{Process, Roster};
pub use status::LeaseStatus;
pub use types::{ApplicationTypes, NoCommand, Payload, ReplicatedState};
pub use voters::{VoterSetHashes, Voters, VotersError};

pub use flaxhead_membership::{Micros, Name};
