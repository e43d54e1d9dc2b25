//! The messages between processes. How they are encoded is up to the driver.
//!
//! The driver encodes by position: neither the order of variants nor that of fields may change.

use crate::admission::RecoveryStatus;
use crate::ballot::{Ballot, Version, Versioned};
use crate::recovery_state::RecoveryState;
use crate::roster::{Process, Roster};
use crate::types::ApplicationTypes;
use crate::voters::VoterSetHashes;
use flaxhead_membership::{Micros, Name};
use serde::{Deserialize, Serialize};

/// Maximum encoded size of a roster: some thousand processes.
const MAX_ROSTER_BYTES: usize = 1 << 17;
/// Maximum encoded size of everything else in a message: numbers, a process, two ballots.
const MAX_HEADER_BYTES: usize = 1 << 9;

/// A voter's promise to accept no lower ballot, with what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Promise<T: ApplicationTypes> {
    /// The candidate's ballot.
    pub ballot: Ballot,
    /// The voter's incarnation.
    pub incarnation: u64,
    /// How far the voter has recovered.
    pub recovery: RecoveryState,
    /// The roster that it stores.
    pub roster: Roster,
    /// The state that it has applied.
    pub state: Versioned<T::State>,
}

/// A voter's refusal to promise or to accept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Denial {
    /// The ballot that is denied.
    pub ballot: Ballot,
    /// The highest ballot that the voter has promised.
    pub promised: Option<Ballot>,
    /// For how long another's lease still runs at this voter.
    pub lease_left: Micros,
}

/// The request to a voter that has promised: grant the lease, or prolong it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The candidate's or leader's ballot.
    pub ballot: Ballot,
    /// The renewal round that it belongs to.
    pub round: u64,
    /// The incarnation of the voter that promised: another one knows nothing of that.
    pub incarnation: u64,
    /// The leader knows for certain who may hold a lease.
    pub is_recovered: bool,
    /// The processes that may hold a lease.
    pub roster: Roster,
}

/// A voter's acceptance of a [`Proposal`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptance {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// The round that is accepted.
    pub round: u64,
    /// The voter's incarnation.
    pub incarnation: u64,
    /// The version of the roster that it stores.
    pub roster: Version,
}

/// What a voter tells another that has lost its memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct VoterRecoveryResponse<T: ApplicationTypes> {
    /// That of the request.
    pub nonce: u64,
    /// How far this voter has recovered itself.
    pub recovery: RecoveryState,
    /// The highest ballot that it has promised.
    pub promised: Option<Ballot>,
    /// For how long a lease that it has granted still runs.
    pub lease_left: Micros,
    /// The roster that it stores.
    pub roster: Roster,
    /// The state that it has applied.
    pub state: Versioned<T::State>,
}

/// A process's request for a lease of its own, or for more of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Renewal<T: ApplicationTypes> {
    /// The process.
    pub process: Process,
    /// When it asks, by its own clock: the lease counts from there.
    pub sent_at: Micros,
    /// Its state is complete.
    pub has_complete_state: bool,
    /// The version of the state that it has applied: it has what a leader replicated if that is of the leader's ballot.
    pub version: Version,
    /// The highest ballot that it has heard of.
    pub highest_ballot: Option<Ballot>,
    /// The application's report.
    pub report: T::Report,
}

/// A lease for one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct LeaseGrant<T: ApplicationTypes> {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// The incarnation of the process that it is granted to.
    pub incarnation: u64,
    /// When that process asked, by its own clock: the lease counts from there.
    pub requested_at: Micros,
    /// The leader knows the complete state, itself or from a process that was admitted all along.
    pub is_recovered: bool,
    /// The application's grant.
    pub grant: T::Grant,
}

/// The question of a process that waits for admission: what another one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryQuery {
    /// The incarnation of the process that asks.
    pub incarnation: u64,
    /// When it asks, by its own clock.
    pub sent_at: Micros,
    /// It wants the state as well.
    pub wants_state: bool,
}

/// The reply to a [`RecoveryQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct RecoveryReply<T: ApplicationTypes> {
    /// The incarnation of the process that asked.
    pub incarnation: u64,
    /// When it asked, by its own clock.
    pub requested_at: Micros,
    /// What the replying process knows.
    pub status: RecoveryStatus,
    /// Its state, if that was asked for and is complete.
    pub state: Option<Versioned<T::State>>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Message<T: ApplicationTypes> {
    /// A candidate asks a voter to promise to accept no lower ballot.
    Prepare {
        /// The candidate's ballot.
        ballot: Ballot,
        /// The voters that the candidate is configured with.
        voter_sets: VoterSetHashes,
    },
    /// The answer to `Prepare`.
    Promised(Box<Promise<T>>),
    /// The answer to `Prepare` or `Propose` of a voter that declines.
    Denied(Denial),
    /// A candidate or leader asks a voter that has promised for the lease.
    Propose(Proposal),
    /// The answer to `Propose`: the lease is granted, and the roster stored.
    Accepted(Acceptance),
    /// A restarted voter asks another what it has forgotten.
    VoterRecoveryRequest {
        /// Comes back with the response.
        nonce: u64,
        /// The voters that the sender is configured with.
        voter_sets: VoterSetHashes,
    },
    /// The answer to `VoterRecoveryRequest`.
    VoterRecoveryResponse(Box<VoterRecoveryResponse<T>>),
    /// The leader replicates the state.
    StateUpdate {
        /// The state.
        state: Versioned<T::State>,
    },
    /// A process asks the leader for a lease, and reports.
    Renew(Box<Renewal<T>>),
    /// A leader that lacks the complete state asks a process for its own.
    StateRequest {
        /// The leader's ballot.
        ballot: Ballot,
    },
    /// The answer to `StateRequest`.
    StateResponse {
        /// That of the request.
        ballot: Ballot,
        /// The state that the process has applied.
        state: Versioned<T::State>,
        /// The process was admitted all along, so its state is complete.
        is_complete: bool,
    },
    /// The answer to `Renew`: the process holds a lease.
    Granted(Box<LeaseGrant<T>>),
    /// A process that waits for admission asks what another knows.
    RecoveryQuery(RecoveryQuery),
    /// The answer to `RecoveryQuery`.
    RecoveryReply(Box<RecoveryReply<T>>),
    /// The answer to `Renew`, `StateUpdate` or `Command` of a process that is not the leader, or has a later one.
    NotLeader {
        /// The leader, as far as the sender knows.
        leader: Option<Name>,
        /// The highest ballot that the sender has heard of.
        highest_ballot: Option<Ballot>,
    },
    /// An operator's command, forwarded to the leader.
    Command {
        /// Comes back with the response.
        id: u64,
        /// The command.
        command: T::Command,
    },
    /// The answer to `Command`.
    CommandResponse {
        /// That of the command.
        id: u64,
        /// What it led to.
        result: Result<T::Response, T::Rejection>,
    },
}

impl<T: ApplicationTypes> Message<T> {
    /// Maximum encoded size of any message.
    pub const MAX_BYTES: usize = MAX_HEADER_BYTES
        + MAX_ROSTER_BYTES
        + T::MAX_STATE_BYTES
        + T::MAX_REPORT_BYTES
        + T::MAX_GRANT_BYTES
        + T::MAX_COMMAND_BYTES;

    /// Maximum encoded size of this message. Sender and receiver both drop a longer one: it is none of this application's.
    pub fn max_len(&self) -> usize {
        MAX_HEADER_BYTES + self.max_payload_len()
    }

    fn max_payload_len(&self) -> usize {
        match self {
            Message::Promised(_) | Message::VoterRecoveryResponse(_) => MAX_ROSTER_BYTES + T::MAX_STATE_BYTES,
            Message::Propose(_) => MAX_ROSTER_BYTES,
            Message::StateUpdate { .. } | Message::StateResponse { .. } | Message::RecoveryReply(_) => {
                T::MAX_STATE_BYTES
            }
            Message::Renew(_) => T::MAX_REPORT_BYTES,
            Message::Granted(_) => T::MAX_GRANT_BYTES,
            Message::Command { .. } | Message::CommandResponse { .. } => T::MAX_COMMAND_BYTES,
            Message::Prepare { .. }
            | Message::Denied(_)
            | Message::Accepted(_)
            | Message::VoterRecoveryRequest { .. }
            | Message::StateRequest { .. }
            | Message::RecoveryQuery(_)
            | Message::NotLeader { .. } => 0,
        }
    }
}
