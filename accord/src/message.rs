//! What the processes say to each other. How it becomes bytes is the driver's matter.

use crate::ballot::{Ballot, Version};
use crate::board::Board;
use crate::order::{Answer, Order, Refusal};
use crate::voter::Known;
use crate::Micros;
use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A process that may send to hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Its name.
    pub name: Name,
    /// Which process with that name.
    pub life: u64,
    /// Where it listens: another process that listens there has taken its place.
    pub at: SocketAddr,
}

/// All processes that may send to hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Which of two is newer.
    pub version: Version,
    /// Each of them.
    pub processes: BTreeSet<Process>,
}

/// A voter's word that it hears no lower ballot, and what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// To whom.
    pub ballot: Ballot,
    /// Of which process.
    pub life: u64,
    /// Whether it remembers.
    pub known: Known,
    /// The roster as it has it.
    pub roster: Roster,
    /// The board as it has it.
    pub board: Board,
}

/// A process asks for leave to go on sending.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Who.
    pub process: Process,
    /// When, by its own clock: the permission counts from there.
    pub stamp: Micros,
    /// The board that it goes by.
    pub version: Version,
    /// The highest fence that it has heard of.
    pub fence: Option<Ballot>,
    /// Calls in hand at hosts that it sends nothing more to.
    pub busy: BTreeMap<String, u32>,
    /// Calls in hand in all, in thousandths.
    pub load: u32,
    /// Zones that it reaches no host of.
    pub lost: BTreeSet<String>,
}

/// What one process says to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To a voter: promise to hear no lower ballot.
    Prepare {
        /// Whose.
        ballot: Ballot,
        /// The voters that the sender goes by.
        marks: (u32, u32),
    },
    /// It is promised.
    Promised(Box<Promise>),
    /// It is not.
    Denied {
        /// What was asked with.
        ballot: Ballot,
        /// What is promised.
        promised: Option<Ballot>,
        /// For how long somebody else holds the lease.
        lease_left: Micros,
    },
    /// To a voter that has promised: grant the lease, or more of it.
    Propose {
        /// Whose.
        ballot: Ballot,
        /// Which try.
        round: u64,
        /// The voter's process that promised: another knows nothing of the promise.
        life: u64,
        /// The holder knows for sure who may send.
        sure: bool,
        /// Who may send.
        roster: Roster,
    },
    /// It is granted, and the roster is kept.
    Accepted {
        /// Whose.
        ballot: Ballot,
        /// Which try.
        round: u64,
        /// The voter's process.
        life: u64,
        /// The roster that it keeps.
        roster: Version,
    },
    /// A voter that has forgotten asks another.
    Recall {
        /// Comes back with the answer.
        nonce: u64,
        /// The voters that the sender goes by.
        marks: (u32, u32),
    },
    /// What that one knows.
    Recalled {
        /// The question's.
        nonce: u64,
        /// Whether it remembers.
        known: Known,
        /// The highest ballot that it has promised.
        promised: Option<Ballot>,
        /// For how long somebody holds the lease.
        lease_left: Micros,
        /// Its roster.
        roster: Roster,
        /// Its board.
        board: Board,
    },
    /// The holder says what is settled.
    Tell {
        /// The board.
        board: Board,
    },
    /// A process asks the holder for leave to go on sending.
    Renew(Box<Renewal>),
    /// The holder wants to see the board that a process goes by.
    Show {
        /// Whose question.
        ballot: Ballot,
    },
    /// It.
    Shown {
        /// The holder's ballot.
        ballot: Ballot,
        /// The board.
        board: Board,
        /// The process has been let in, and so has heard of all that is out.
        admitted: bool,
    },
    /// It may go on.
    Granted {
        /// By whom.
        ballot: Ballot,
        /// To which process.
        life: u64,
        /// Since when, by that process's clock.
        stamp: Micros,
        /// The holder knows what is out, by its own memory or by that of one that has been let in all along.
        remembers: bool,
    },
    /// The one that was asked hands out no turns.
    NotHolder {
        /// Who does, as far as it knows.
        holder: Option<Name>,
        /// The highest fence that it has heard of.
        fence: Option<Ballot>,
    },
    /// An operator's order, passed on.
    Order {
        /// Comes back with the answer.
        id: u64,
        /// What.
        order: Order,
    },
    /// What it led to.
    Answer {
        /// The order's.
        id: u64,
        /// What.
        result: Result<Answer, Refusal>,
    },
}
