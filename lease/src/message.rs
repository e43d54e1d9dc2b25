//! Messages between the machines of one application in different processes.
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
/// Maximum encoded size of everything in a message but the roster and the application's data, in bytes:
/// numbers, a process, two ballots.
const MAX_HEADER_BYTES: usize = 1 << 9;

/// Promise of a voter to accept no ballot lower than `ballot`, with the data that the voter stores.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Promise<T: ApplicationTypes> {
    /// Ballot of the candidate that requested the promise.
    pub ballot: Ballot,
    /// Incarnation of the promising voter. A proposal to it must repeat this number.
    pub incarnation: u64,
    /// Progress of the voter's recovery after its restart.
    pub recovery: RecoveryState,
    /// Roster that the voter stores.
    pub roster: Roster,
    /// State that the voter has applied.
    pub state: Versioned<T::State>,
}

/// Refusal of a voter to promise or to accept a ballot, because it has promised a higher one or has granted
/// another leader a lease that is still valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Denial {
    /// Ballot that the voter refuses.
    pub ballot: Ballot,
    /// Highest ballot that the voter has promised; `None`: none.
    pub promised: Option<Ballot>,
    /// Remaining time of the lease that the voter has granted to another leader, in microseconds; 0: none is
    /// valid.
    pub lease_left: Micros,
}

/// Request to a voter that has promised, to grant the leader's lease to the sender or to extend it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Ballot of the sender, which is a candidate or the leader.
    pub ballot: Ballot,
    /// Number of the leader's renewal round. The election is the first.
    pub round: u64,
    /// Incarnation of the voter when it promised. A voter that has restarted since has lost the promise and
    /// ignores the proposal.
    pub incarnation: u64,
    /// True if the leader's roster contains every process that may hold a lease, and its state is complete. A
    /// voter that accepts the proposal becomes [`RecoveryState::Recovered`].
    pub is_recovered: bool,
    /// Roster for the voter to store, if it is newer than the stored one.
    pub roster: Roster,
}

/// Acceptance of a [`Proposal`] by a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptance {
    /// Ballot that the voter accepts.
    pub ballot: Ballot,
    /// Renewal round of the accepted proposal.
    pub round: u64,
    /// Incarnation of the accepting voter.
    pub incarnation: u64,
    /// Version of the roster that the voter stores; if it stores its state on disk, the version there.
    pub roster: Version,
}

/// Data that a voter sends to another voter that has restarted and requested it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct VoterRecoveryResponse<T: ApplicationTypes> {
    /// Nonce of the request to which this responds.
    pub nonce: u64,
    /// Progress of the responding voter's own recovery.
    pub recovery: RecoveryState,
    /// Highest ballot that the voter has promised; `None`: none.
    pub promised: Option<Ballot>,
    /// Remaining time of the leader's lease that the voter has granted, in microseconds; 0: none is valid.
    pub lease_left: Micros,
    /// Roster that the voter stores.
    pub roster: Roster,
    /// State that the voter has applied.
    pub state: Versioned<T::State>,
}

/// Request of a process to the leader for a lease, or for the renewal of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Renewal<T: ApplicationTypes> {
    /// Requesting process.
    pub process: Process,
    /// Time of the request, by the clock of the requesting process. The duration of the lease counts from it.
    pub sent_at: Micros,
    /// True if the state of the requesting process contains every committed change.
    pub has_complete_state: bool,
    /// Version of the state that the requesting process has applied; if it stores its state on disk, the
    /// version there if that is older.
    pub version: Version,
    /// Highest ballot known to the requesting process; `None`: it knows none.
    pub highest_ballot: Option<Ballot>,
    /// Data that the application returned from [`crate::Application::report`].
    pub report: T::Report,
}

/// Lease that the leader grants to one process, in response to its [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct LeaseGrant<T: ApplicationTypes> {
    /// Ballot of the leader that grants the lease.
    pub ballot: Ballot,
    /// Incarnation of the process that requested the lease. A later process of the same name ignores it.
    pub incarnation: u64,
    /// Time of the request, by the clock of the requesting process. The duration of the lease counts from it.
    pub requested_at: Micros,
    /// True if the leader's state contains every committed change.
    pub is_recovered: bool,
    /// Data that the application at the leader grants with the lease.
    pub grant: T::Grant,
}

/// Query of a process that waits for admission, about the leader, the voters and the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecoveryQuery {
    /// Incarnation of the querying process.
    pub incarnation: u64,
    /// Time of the query, by the clock of the querying process.
    pub sent_at: Micros,
    /// True if the reply should include the state of the queried process.
    pub wants_state: bool,
}

/// Reply to a [`RecoveryQuery`], with what the replying process knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct RecoveryReply<T: ApplicationTypes> {
    /// Incarnation of the querying process.
    pub incarnation: u64,
    /// Time of the query, by the clock of the querying process.
    pub requested_at: Micros,
    /// Recovery, lease and leader, as known to the replying process.
    pub status: RecoveryStatus,
    /// State of the replying process; `None`: it was not requested, or it is not known to be complete.
    pub state: Option<Versioned<T::State>>,
}

/// Message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Message<T: ApplicationTypes> {
    /// Request of a candidate or leader to a voter, to promise not to accept any lower ballot.
    Prepare {
        /// Ballot of the sender.
        ballot: Ballot,
        /// Hashes of the voter sets in the sender's configuration. A voter ignores the request if they do not
        /// overlap with its own.
        voter_sets: VoterSetHashes,
    },
    /// Response to `Prepare`: the voter promises.
    Promised(Box<Promise<T>>),
    /// Response to `Prepare` or `Propose`: the voter refuses.
    Denied(Denial),
    /// Request of a candidate or leader to a voter that has promised, to grant the leader's lease.
    Propose(Proposal),
    /// Response to `Propose`: the voter grants the leader's lease and stores the roster.
    Accepted(Acceptance),
    /// Request of a restarted voter for the promise, roster and state of another voter.
    VoterRecoveryRequest {
        /// Number that the response repeats, so that it can be matched to its request.
        nonce: u64,
        /// Hashes of the voter sets in the sender's configuration. A voter ignores the request if they do not
        /// overlap with its own.
        voter_sets: VoterSetHashes,
    },
    /// Response to `VoterRecoveryRequest`, with the promise, roster and state of the sender.
    VoterRecoveryResponse(Box<VoterRecoveryResponse<T>>),
    /// Replication of the leader's state to another process, which confirms it with its next `Renew`.
    StateUpdate {
        /// Current state of the leader, with its version.
        state: Versioned<T::State>,
    },
    /// Request of a process to the leader for a lease, with its report.
    Renew(Box<Renewal<T>>),
    /// Request of a leader whose state may be incomplete, for the state of another process.
    StateRequest {
        /// Ballot of the requesting leader.
        ballot: Ballot,
    },
    /// Response to `StateRequest`, with the state of the sender for the leader to merge.
    StateResponse {
        /// Ballot of the leader that requested the state.
        ballot: Ballot,
        /// State that the sender has applied.
        state: Versioned<T::State>,
        /// True if `state` contains every committed change, because the sender remained admitted.
        is_complete: bool,
    },
    /// Response to `Renew`: the leader grants a lease to the process.
    Granted(Box<LeaseGrant<T>>),
    /// Query to any other process, from a process that waits for admission.
    RecoveryQuery(RecoveryQuery),
    /// Reply to `RecoveryQuery`, with what the sender knows of the leader, the voters and the state.
    RecoveryReply(Box<RecoveryReply<T>>),
    /// Response to `Renew`: the sender is not the leader. Response to `StateUpdate`: the sender knows a
    /// higher ballot or a newer state.
    NotLeader {
        /// Leader known to the sender; `None`: it knows none.
        leader: Option<Name>,
        /// Highest ballot known to the sender; `None`: it knows none.
        highest_ballot: Option<Ballot>,
    },
    /// Command of an operator, forwarded to the leader by the process to which it was submitted.
    Command {
        /// Id of the command at the sender, which the response repeats.
        id: u64,
        /// Command that the application at the leader executes.
        command: T::Command,
    },
    /// Response to `Command`, sent once its effect is committed, or at once if it is rejected.
    CommandResponse {
        /// Id that the submitting process gave the command.
        id: u64,
        /// Response of the application, or reason for the rejection.
        result: Result<T::Response, T::Rejection>,
    },
}

impl<T: ApplicationTypes> Message<T> {
    /// Maximum encoded size of any message of this application, in bytes.
    pub const MAX_BYTES: usize = MAX_HEADER_BYTES
        + MAX_ROSTER_BYTES
        + T::MAX_STATE_BYTES
        + T::MAX_REPORT_BYTES
        + T::MAX_GRANT_BYTES
        + T::MAX_COMMAND_BYTES;

    /// Maximum encoded size of a message of this variant, in bytes. Sender and receiver drop longer ones.
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
