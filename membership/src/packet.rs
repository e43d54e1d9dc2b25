//! What members say to each other. How it becomes bytes is up to the driver.

use crate::name::{Name, Stamp};
use crate::table::{State, SuspicionReport};
use crate::CutOff;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who speaks: also an update on the speaker, carried by every packet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: Name,
    /// Where others reach it, over UDP and TCP.
    pub address: SocketAddr,
    /// Its life, and how much it has said of itself.
    pub stamp: Stamp,
    /// How long it had run when it took this stamp, in milliseconds: of two processes with one name the older stays.
    pub uptime_ms: u32,
    /// Whether it finds itself cut off.
    pub cut_off: Option<CutOff>,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Update {
    /// Of whom, as it last spoke.
    pub record: MemberRecord,
    /// Whether it runs.
    pub state: State,
    /// By whose word, where that is not its own.
    pub by: Option<SuspicionReport>,
}

impl Update {
    /// Bytes that it takes in a packet at the most: what bounds the updates that a packet carries.
    pub fn bytes(&self) -> usize {
        let by = self.by.as_ref().map_or(0, |word| word.by.as_str().len() + 2);
        // Life 10, generation and incarnation 5 each, uptime 5, address 22, state, flags and lengths.
        self.record.name.as_str().len() + by + 52
    }
}

/// The kinds of packets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Are you there?
    Ping {
        /// Comes back with the answer.
        seq: u32,
        /// Whom it is meant for: one that took over an address must not answer for its last owner.
        to: Name,
    },
    /// I am.
    Ack {
        /// The ping's.
        seq: u32,
    },
    /// Ask another whether it is there, and tell me.
    PingRequest {
        /// Comes back with the answer.
        seq: u32,
        /// Whom.
        name: Name,
        /// Where.
        address: SocketAddr,
    },
    /// The one you asked for has answered me.
    IndirectAck {
        /// The request's.
        seq: u32,
        /// It, as it answered.
        record: MemberRecord,
    },
    /// I am there, and the one you asked for has not answered me.
    IndirectNack {
        /// The request's.
        seq: u32,
        /// Its machine says that nothing listens there.
        is_refused: bool,
    },
    /// Nothing but the updates.
    Gossip,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// Who speaks.
    pub from: MemberRecord,
    /// Digest of its view.
    pub digest: u32,
    /// What for.
    pub kind: Kind,
    /// What it says of others, and of whom it speaks to.
    pub updates: Vec<Update>,
}

/// Why something that came was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// It claims a name whose address is not where it came from.
    #[serde(rename = "not-its-sender")]
    SenderMismatch,
    /// It came from a life of its sender that is over.
    #[serde(rename = "earlier-life")]
    EarlierIncarnation,
    /// It says what no member can have said: a count near its top, a life of its own that it does not have.
    Implausible,
    /// It names one more member than are kept.
    TooMany,
    /// It answers nothing that was asked.
    #[serde(rename = "unasked")]
    Unsolicited,
}
