//! What a machine asks for, what comes of it, and what it has to tell.

use crate::name::Name;
use crate::packet::{MemberRecord, Packet};
use crate::table::Cause;
use crate::CutOff;
use std::net::SocketAddr;

/// What a member's machine says when it is asked over a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The member answered.
    Answered(MemberRecord),
    /// The connection came up and nothing was answered.
    Stalled,
    /// Nothing listens there.
    Refused,
    /// No connection came up.
    Unreachable,
}

/// Something about members that is worth a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is met for the first time.
    Joined(Name),
    /// A member's process is another than before.
    Restarted(Name),
    /// A member is suspected.
    Suspected {
        /// Which.
        name: Name,
        /// Whose word it was.
        by: Name,
        /// Why.
        cause: Cause,
    },
    /// A member that was suspected, or taken for gone, runs.
    Recovered(Name),
    /// A member is taken for gone.
    Died {
        /// Which.
        name: Name,
        /// Whose word settled it.
        by: Name,
        /// Why.
        cause: Cause,
    },
    /// A member said that it goes.
    Left(Name),
    /// This process finds itself cut off, or no longer.
    CutOff(Option<CutOff>),
    /// This process was suspected and has said that it runs.
    Refuted,
    /// Another process that runs claims this name, and has run for less long.
    NameClaimed,
    /// Another process that runs has this name, and has run for longer: this one is no member from here on.
    Displaced,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        packet: Packet,
    },
    /// A connection to a member's address, and a question there; [`super::Machine::checked`] takes what comes of it.
    Check {
        /// Comes back with the verdict.
        seq: u32,
        /// Where.
        address: SocketAddr,
    },
    /// A full exchange over a connection: what [`super::Machine::exchange`] gives goes there, what comes back to
    /// [`super::Machine::exchanged`].
    Exchange {
        /// Where.
        address: SocketAddr,
    },
    /// Something changed.
    Changed(Change),
}
