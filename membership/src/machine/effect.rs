//! What a machine asks its driver for, what comes of that, and what has changed.

use crate::liveness::Cause;
use crate::name::Name;
use crate::packet::{MemberRecord, Packet};
use crate::CutOff;
use std::net::SocketAddr;

/// What a member's machine reports when it is asked over a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// The member answered.
    Answered(MemberRecord),
    /// The connection was accepted and not answered.
    Stalled,
    /// Nothing listens there.
    Refused,
    /// No connection came up.
    Unreachable,
}

/// A change of the membership that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is met for the first time.
    Joined(Name),
    /// A member's process is another than before.
    Restarted(Name),
    /// A member is suspected.
    Suspected {
        /// The member.
        name: Name,
        /// Who suspects it.
        by: Name,
        /// Why.
        cause: Cause,
    },
    /// A member that was suspected, or taken for gone, runs.
    Recovered(Name),
    /// A member is taken for dead.
    Died {
        /// The member.
        name: Name,
        /// Who declared it dead.
        by: Name,
        /// Why.
        cause: Cause,
    },
    /// A member announced that it leaves.
    Left(Name),
    /// This process finds itself cut off, or no longer.
    CutOff(Option<CutOff>),
    /// This process was suspected and has refuted that.
    Refuted,
    /// Another process that runs claims this name, and has run for less long.
    NameClaimed,
    /// Another process that runs has this name, and has run for longer: this one is no member from here on.
    Displaced,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The packet.
        packet: Packet,
    },
    /// Connect to a member's address, and ping there; [`super::Machine::check_completed`] takes the result.
    Check {
        /// Comes back with the result.
        seq: u32,
        /// The member's address.
        address: SocketAddr,
    },
    /// Exchange full states over a connection: [`super::Machine::full_state`] gives what is sent, and
    /// [`super::Machine::receive_full_state`] takes what comes back.
    Exchange {
        /// The member's address.
        address: SocketAddr,
    },
    /// Something changed.
    Changed(Change),
}
