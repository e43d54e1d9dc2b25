//! What members send to each other. How it is encoded is up to the driver, which encodes by position: neither the order of
//! fields nor that of variants may change.

use crate::liveness::{State, SuspicionReport};
use crate::name::{Name, Stamp};
use crate::CutOff;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Encoded size of an update beside its names, at the most: incarnation 10 bytes, generation and sequence 5 each, uptime 5,
/// address 22, state, flags and lengths.
const MAX_UPDATE_BYTES_BESIDE_NAMES: usize = 52;

/// A member as it announces itself; carried by each of its packets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: Name,
    /// Where others reach it, over UDP and TCP.
    pub address: SocketAddr,
    /// Orders its announcements.
    pub stamp: Stamp,
    /// How long it had run when it took this stamp, in milliseconds: of two processes with one name the older stays.
    pub uptime_ms: u32,
    /// How it finds itself cut off; `None`: it does not.
    pub cut_off: Option<CutOff>,
}

/// An update on a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// The member, as it last announced itself.
    pub record: MemberRecord,
    /// Whether it runs.
    pub state: State,
    /// Who says so, where that is not the member itself.
    pub by: Option<SuspicionReport>,
}

impl Update {
    /// Maximum encoded size: what limits the updates that a packet carries.
    pub fn max_bytes(&self) -> usize {
        let by = self.by.as_ref().map_or(0, |report| report.by.as_str().len() + 2);
        self.record.name.as_str().len() + by + MAX_UPDATE_BYTES_BESIDE_NAMES
    }
}

/// The kinds of packets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A probe.
    Ping {
        /// Comes back with the answer.
        seq: u32,
        /// The member that is probed: another that took over its address must not answer for it.
        to: Name,
    },
    /// The answer to `Ping`.
    Ack {
        /// That of the ping.
        seq: u32,
    },
    /// The request to probe another member (SWIM's ping-req).
    PingRequest {
        /// Comes back with the answer.
        seq: u32,
        /// The member to probe.
        name: Name,
        /// Its address.
        address: SocketAddr,
    },
    /// The answer to `PingRequest` where the member has answered.
    IndirectAck {
        /// That of the request.
        seq: u32,
        /// The member, as it announced itself with its answer.
        record: MemberRecord,
    },
    /// The answer to `PingRequest` where the member has not answered.
    IndirectNack {
        /// That of the request.
        seq: u32,
        /// The member's machine reports that nothing listens there.
        is_refused: bool,
    },
    /// Nothing but updates.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberRecord,
    /// The digest of the sender's view.
    pub digest: u32,
    /// What the packet is for.
    pub kind: Kind,
    /// Updates on others, and on the receiver.
    pub updates: Vec<Update>,
}

/// Why something that was received is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// It did not come from the address of its sender.
    #[serde(rename = "not-its-sender")]
    SenderMismatch,
    /// It is of an earlier incarnation of its sender.
    #[serde(rename = "earlier-life")]
    EarlierIncarnation,
    /// No member can have announced it: a count near its maximum, or an incarnation of the receiver that it does not have.
    Implausible,
    /// It names one member more than are stored.
    TooMany,
    /// It answers nothing that was asked.
    #[serde(rename = "unasked")]
    Unsolicited,
}
