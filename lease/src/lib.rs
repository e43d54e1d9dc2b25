//! Leader leases among the client proxies: a state machine without I/O and without a clock.
//!
//! The package elects a leader, keeps a roster of processes, and replicates the state of an [`Application`]
//! to them. Each application has its own [`Machine`] in each process, with a separate leader and roster.
//!
//! The processes agree on three things:
//!
//! - *Leader*: at most one process leads at a time, under a [`Ballot`] that only increases, for the duration
//!   of a lease that a majority of the configured voters grants (PaxosLease; Trencseni, Gazso, Reinhardt,
//!   arXiv 1209.4187). Leases need no disk and no synchronized clocks, only a bound on clock drift: a
//!   restarted voter is quarantined for longer than any lease that it may have granted.
//! - *Participants*: a majority of voters stores the [`Roster`]. The leader adds a process to the roster
//!   before it grants that process a lease.
//! - *State*: **every** process on the roster receives the replicated state and *confirms* it: its next
//!   [`Renewal`] names the version that it has applied. A new leader therefore needs no log, because any
//!   process that remained admitted has the complete state.
//!
//! Terms:
//!
//! - *Process*: one run of a proxy. A restart of the proxy creates a new process with the same name and
//!   another incarnation.
//! - *Voter*: process whose name is in the configured [`Voters`].
//! - *Leader's lease*: lease that a majority of voters grants to the leader. The leader extends it in
//!   *renewal rounds*, by proposals to all voters.
//! - *Lease of a process*: lease that the leader grants to each process, including itself. The process
//!   requests it in a [`Renewal`].
//! - *Report* and *grant*: data of the application in a [`Renewal`], and in the [`LeaseGrant`] that responds
//!   to it.
//! - *Committed*: a state that a majority of voters has applied, or a roster that a majority of voters
//!   stores.
//! - *Complete state*: state that contains every committed change. The state is *lost* if too many voters
//!   restarted without it.
//! - *Admission*: first lease of a process from a leader. Until then the process does not serve, unless it
//!   becomes *autonomous*: it serves without admission, because no leader can be expected
//!   ([`AdmissionReason`]).
//! - *Quarantine*: time after the start of a voter during which it neither promises nor accepts.
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
