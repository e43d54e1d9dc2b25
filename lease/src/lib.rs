//! Leader leases among the client proxies: a state machine without I/O and without a clock.
//!
//! The package elects a leader, keeps a roster of admitted processes, and replicates the state of an
//! [`Application`]. Each application has a [`Machine`] of its own, with a separate lease and roster.
//!
//! The processes agree on three things:
//!
//! - *Leader*: at most one proxy leads at a time, under a [`Ballot`] that only increases, for the duration of
//!   a lease that a majority of the configured voters grants (PaxosLease; Trencseni, Gazso, Reinhardt, arXiv
//!   1209.4187). Leases need no disk and no synchronized clocks, only a bound on clock drift: a restarted
//!   voter is quarantined for longer than any lease that it may have granted.
//! - *Participants*: the [`Roster`] is stored by a majority of voters. A process is on the roster before it
//!   gets a lease of its own.
//! - *State*: **every** process on the roster receives and confirms the replicated state. A new leader
//!   therefore needs no log, because any process that remained admitted has the complete state: the one that
//!   contains every committed change.
//!
//! The guarantees for a proxy that is isolated, in a minority, paused or restarted are described in
//! `docs/design/lease.md`.

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
