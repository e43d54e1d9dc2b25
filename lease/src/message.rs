//! Messages between processes.
//!
//! The driver encodes them by position, so the order of variants and fields must not change.

use crate::admission::RecoveryStatus;
use crate::ballot::{Ballot, Version, Versioned};
use crate::recovery_state::RecoveryState;
use crate::roster::{Process, Roster};
use crate::types::ApplicationTypes;
use crate::voters::VoterSetHashes;
use flaxhead_membership::{Micros, Name};
use serde::{Deserialize, Serialize};

/// Maximum encoded size of a roster, in bytes; enough for several thousand processes.
const MAX_ROSTER_BYTES: usize = 1 << 17;
/// Maximum encoded size of the other parts of a message, in bytes: numbers, a process, two ballots.
const MAX_HEADER_BYTES: usize = 1 << 9;

/// Promise of a voter to accept no lower ballot, with the data that it stores.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Promise<T: ApplicationTypes> {
    /// Ballot of the candidate.
    pub ballot: Ballot,
    /// Incarnation of the voter.
    pub incarnation: u64,
    /// Recovery state of the voter.
    pub recovery: RecoveryState,
    /// Roster that the voter stores.
    pub roster: Roster,
    /// State that the voter has applied.
    pub state: Versioned<T::State>,
}

/// Refusal of a voter to promise or to accept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Denial {
    /// Ballot that is denied.
    pub ballot: Ballot,
    /// Highest ballot that the voter has promised.
    pub promised: Option<Ballot>,
    /// Remaining time of another leader's lease at this voter, in microseconds; 0: none.
    pub lease_left: Micros,
}

/// Request to a voter that has promised: to grant the lease, or to extend it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Ballot of the candidate or leader.
    pub ballot: Ballot,
    /// Renewal round.
    pub round: u64,
    /// Incarnation of the voter that promised; a restarted voter has lost the promise.
    pub incarnation: u64,
    /// True if the leader's roster contains every process that may hold a lease, and its state is complete.
    pub is_recovered: bool,
    /// Processes that may hold a lease.
    pub roster: Roster,
}

/// Acceptance of a [`Proposal`] by a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptance {
    /// Ballot of the leader.
    pub ballot: Ballot,
    /// Renewal round that is accepted.
    pub round: u64,
    /// Incarnation of the voter.
    pub incarnation: u64,
    /// Version of the roster that the voter stores.
    pub roster: Version,
}

/// Response of a voter to another that has restarted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct VoterRecoveryResponse<T: ApplicationTypes> {
    /// Nonce of the request.
    pub nonce: u64,
    /// Recovery state of the responding voter.
    pub recovery: RecoveryState,
    /// Highest ballot that the voter has promised.
    pub promised: Option<Ballot>,
    /// Remaining time of the lease that the voter has granted, in microseconds; 0: none.
    pub lease_left: Micros,
    /// Roster that the voter stores.
    pub roster: Roster,
    /// State that the voter has applied.
    pub state: Versioned<T::State>,
}

/// Request of a process for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Renewal<T: ApplicationTypes> {
    /// Requesting process.
    pub process: Process,
    /// Time of the request, by the clock of the process. The lease is counted from it.
    pub sent_at: Micros,
    /// True if the state of the process contains every committed change.
    pub has_complete_state: bool,
    /// Version of the state that the process has applied.
    pub version: Version,
    /// Highest ballot known to the process.
    pub highest_ballot: Option<Ballot>,
    /// Report of the application.
    pub report: T::Report,
}

/// Lease of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct LeaseGrant<T: ApplicationTypes> {
    /// Ballot of the leader.
    pub ballot: Ballot,
    /// Incarnation of the process that gets the lease.
    pub incarnation: u64,
    /// Time of the request, by the clock of the requesting process. The lease is counted from it.
    pub requested_at: Micros,
    /// True if the leader's state contains every committed change.
    pub is_recovered: bool,
    /// Data that the application grants with the lease.
    pub grant: T::Grant,
}

/// Query of a process that waits for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryQuery {
    /// Incarnation of the querying process.
    pub incarnation: u64,
    /// Time of the query, by the clock of the querying process.
    pub sent_at: Micros,
    /// True if the reply should include the state.
    pub wants_state: bool,
}

/// Reply to a [`RecoveryQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct RecoveryReply<T: ApplicationTypes> {
    /// Incarnation of the querying process.
    pub incarnation: u64,
    /// Time of the query, by the clock of the querying process.
    pub requested_at: Micros,
    /// Information of the replying process.
    pub status: RecoveryStatus,
    /// State of the replying process, if it was requested and is complete.
    pub state: Option<Versioned<T::State>>,
}

/// Message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Message<T: ApplicationTypes> {
    /// Request of a candidate to promise not to accept any lower ballot.
    Prepare {
        /// Ballot of the candidate.
        ballot: Ballot,
        /// Hashes of the voter sets of the candidate's configuration.
        voter_sets: VoterSetHashes,
    },
    /// Answer to `Prepare`: the voter promises.
    Promised(Box<Promise<T>>),
    /// Answer to `Prepare` or `Propose`: the voter declines.
    Denied(Denial),
    /// Request of a candidate or leader for the lease, to a voter that has promised.
    Propose(Proposal),
    /// Answer to `Propose`: the voter grants the lease and stores the roster.
    Accepted(Acceptance),
    /// Request of a restarted voter for the data of another voter.
    VoterRecoveryRequest {
        /// Number that the response repeats.
        nonce: u64,
        /// Hashes of the voter sets of the sender's configuration.
        voter_sets: VoterSetHashes,
    },
    /// Answer to `VoterRecoveryRequest`.
    VoterRecoveryResponse(Box<VoterRecoveryResponse<T>>),
    /// Replication of the leader's state.
    StateUpdate {
        /// State with its version.
        state: Versioned<T::State>,
    },
    /// Request of a process for a lease, with its report.
    Renew(Box<Renewal<T>>),
    /// Request of a leader with an incomplete state for the state of a process.
    StateRequest {
        /// Ballot of the leader.
        ballot: Ballot,
    },
    /// Answer to `StateRequest`.
    StateResponse {
        /// Ballot of the request.
        ballot: Ballot,
        /// State that the process has applied.
        state: Versioned<T::State>,
        /// True if that state is complete, because the process remained admitted.
        is_complete: bool,
    },
    /// Answer to `Renew`: the process gets a lease.
    Granted(Box<LeaseGrant<T>>),
    /// Query of a process that waits for admission.
    RecoveryQuery(RecoveryQuery),
    /// Answer to `RecoveryQuery`.
    RecoveryReply(Box<RecoveryReply<T>>),
    /// Answer to `Renew`, `StateUpdate` or `Command`: the sender is not the leader, or knows a higher ballot.
    NotLeader {
        /// Leader known to the sender.
        leader: Option<Name>,
        /// Highest ballot known to the sender.
        highest_ballot: Option<Ballot>,
    },
    /// Command of an operator, forwarded to the leader.
    Command {
        /// Number that the response repeats.
        id: u64,
        /// Command, to be executed by the application at the leader.
        command: T::Command,
    },
    /// Answer to `Command`.
    CommandResponse {
        /// Id of the command.
        id: u64,
        /// Response, or reason for the rejection.
        result: Result<T::Response, T::Rejection>,
    },
}

impl<T: ApplicationTypes> Message<T> {
    /// Maximum encoded size of any message, in bytes.
    pub const MAX_BYTES: usize = MAX_HEADER_BYTES
        + MAX_ROSTER_BYTES
        + T::MAX_STATE_BYTES
        + T::MAX_REPORT_BYTES
        + T::MAX_GRANT_BYTES
        + T::MAX_COMMAND_BYTES;

    /// Maximum encoded size of this message, in bytes. Sender and receiver drop longer ones.
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
