//! What the processes say to each other. How it becomes bytes is up to the driver.

use crate::ballot::{Ballot, Told, Version};
use crate::known::Known;
use crate::roster::{Process, Roster};
use crate::terms::Terms;
use crate::waiting::Word;
use flaxhead_membership::{Micros, Name};
use serde::{Deserialize, Serialize};

/// Most bytes of a roster as it is sent: some thousand processes.
const ROSTER_MOST: usize = 1 << 17;
/// Most bytes of all else in a message: numbers, a process, two ballots.
const HEAD_MOST: usize = 1 << 9;

/// A voter's word that it hears no lower ballot, and what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Promise<T: Terms> {
    /// To whom.
    pub ballot: Ballot,
    /// Of which process.
    pub life: u64,
    /// Whether it remembers.
    pub known: Known,
    /// The roster as it has it.
    pub roster: Roster,
    /// The slate as it has it.
    pub told: Told<T::Slate>,
}

/// A process asks for leave to go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Renewal<T: Terms> {
    /// Who.
    pub process: Process,
    /// When, by its own clock: the leave counts from there.
    pub stamp: Micros,
    /// Its slate holds all that is settled.
    pub knows: bool,
    /// The slate that it goes by: it takes its holder's word where that is of the holder's ballot.
    pub version: Version,
    /// The highest fence that it has heard of.
    pub fence: Option<Ballot>,
    /// What it says.
    pub word: T::Word,
}

/// What one process says to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub enum Message<T: Terms> {
    /// To a voter: promise to hear no lower ballot.
    Prepare {
        /// Whose.
        ballot: Ballot,
        /// The voters that the sender goes by.
        marks: (u32, u32),
    },
    /// It is promised.
    Promised(Box<Promise<T>>),
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
        /// The holder knows for sure who may have leave.
        sure: bool,
        /// Who may have leave.
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
        /// Its slate.
        told: Told<T::Slate>,
    },
    /// The holder says what is settled.
    Tell {
        /// The slate.
        told: Told<T::Slate>,
    },
    /// A process asks the holder for leave to go on.
    Renew(Box<Renewal<T>>),
    /// The holder wants to see the slate that a process goes by.
    Show {
        /// Whose question.
        ballot: Ballot,
    },
    /// It.
    Shown {
        /// The holder's ballot.
        ballot: Ballot,
        /// The slate.
        told: Told<T::Slate>,
        /// The process has been let in, and so has heard of all that is settled.
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
        /// The holder knows what is settled, by its own memory or by that of one that has been let in all along.
        remembers: bool,
        /// What goes along with it.
        leave: T::Leave,
    },
    /// A process that waits to be let in asks what another knows.
    Inquire {
        /// Which process asks.
        life: u64,
        /// When, by its own clock.
        stamp: Micros,
        /// It wants to see the slate as well.
        slate: bool,
    },
    /// That one says it.
    Informed {
        /// Which process had asked.
        life: u64,
        /// When it had.
        stamp: Micros,
        /// What it knows.
        word: Word,
        /// Its slate, where that was asked for and holds all that is settled.
        told: Option<Told<T::Slate>>,
    },
    /// The one that was asked is not the holder.
    NotHolder {
        /// Who is, as far as it knows.
        holder: Option<Name>,
        /// The highest fence that it has heard of.
        fence: Option<Ballot>,
    },
    /// An operator's order, passed on.
    Order {
        /// Comes back with the answer.
        id: u64,
        /// What.
        order: T::Order,
    },
    /// What it led to.
    Answer {
        /// The order's.
        id: u64,
        /// What.
        result: Result<T::Answer, T::Refusal>,
    },
}

impl<T: Terms> Message<T> {
    /// Most bytes of any message.
    pub const MOST: usize =
        HEAD_MOST + ROSTER_MOST + T::SLATE_MOST + T::WORD_MOST + T::LEAVE_MOST + T::ORDER_MOST;

    /// Most bytes of this one. Whoever sends or takes a longer one drops it: it is no message of this application.
    pub fn most(&self) -> usize {
        HEAD_MOST
            + match self {
                Message::Promised(_) | Message::Recalled { .. } => ROSTER_MOST + T::SLATE_MOST,
                Message::Propose { .. } => ROSTER_MOST,
                Message::Tell { .. } | Message::Shown { .. } | Message::Informed { .. } => T::SLATE_MOST,
                Message::Renew(_) => T::WORD_MOST,
                Message::Granted { .. } => T::LEAVE_MOST,
                Message::Order { .. } | Message::Answer { .. } => T::ORDER_MOST,
                Message::Prepare { .. }
                | Message::Denied { .. }
                | Message::Accepted { .. }
                | Message::Recall { .. }
                | Message::Show { .. }
                | Message::Inquire { .. }
                | Message::NotHolder { .. } => 0,
            }
    }
}
