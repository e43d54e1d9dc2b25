//! What operators ask for, and what they are told.

use crate::ask::Ask;
use crate::stage::{End, Stage};
use flaxhead_lease::{CommandError, Micros};
use serde::{Deserialize, Serialize};

/// Most characters of a name, a kind of work or an operator.
const TEXT_MOST: usize = 64;

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// A host shall be worked at.
    Ask(Ask),
    /// It need not be.
    Withdraw {
        /// Which turn.
        turn: u64,
        /// Who says so.
        by: String,
    },
    /// The work is done.
    Done {
        /// Which turn.
        turn: u64,
        /// Who says so.
        by: String,
    },
    /// A process does not run any more, though nobody could find that out.
    Gone {
        /// Its name.
        name: String,
        /// Who says so.
        by: String,
    },
    /// All that is out is on the board: nothing needs to be waited for.
    Known {
        /// Who says so.
        by: String,
    },
}

/// What it led to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// The turn, new or there already.
    Turn {
        /// Its number.
        id: u64,
        /// Where it stands.
        stage: Stage,
    },
    /// It is done.
    Done,
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// No proxy hands out turns that could be reached.
    #[error("no proxy that hands out turns is reached from here: nothing is settled now")]
    NoHolder,
    /// It was not confirmed in time; it may have been taken, and asking again does no harm.
    #[error("it was not confirmed in time; ask again: asked twice is one request")]
    TimedOut,
    /// The list does not have the host.
    #[error("no proxy knows a host {0}")]
    UnknownHost(String),
    /// No such turn.
    #[error("there is no turn {0}")]
    UnknownTurn(u64),
    /// No such process.
    #[error("no process {0} is waited for")]
    UnknownProcess(String),
    /// It runs.
    #[error("process {0} runs: it is heard")]
    Runs(String),
    /// It could never begin.
    #[error("it could never begin: {0}")]
    Never(String),
    /// A text is empty, or too long.
    #[error("{0}: 1 to {TEXT_MOST} printable characters of ASCII")]
    BadText(String),
    /// Another asked for it.
    #[error("turn {turn} was asked for by {by}")]
    NotYours {
        /// Which.
        turn: u64,
        /// By whom.
        by: String,
    },
    /// It is not where that could be said of it.
    #[error("turn {turn} is {stage}")]
    WrongStage {
        /// Which.
        turn: u64,
        /// Where it stands.
        stage: Stage,
    },
    /// It has ended.
    #[error("turn {turn} has ended: {end}")]
    Ended {
        /// Which.
        turn: u64,
        /// How.
        end: End,
    },
    /// Too many turns are open.
    #[error("{0} turns are open, and no more are kept")]
    TooMany(usize),
}

/// Whether a text can stand in a table and a trail.
fn good(text: &str) -> bool {
    (1..=TEXT_MOST).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

impl From<CommandError> for Refusal {
    fn from(why: CommandError) -> Refusal {
        match why {
            CommandError::NoLeader => Refusal::NoHolder,
            CommandError::TimedOut => Refusal::TimedOut,
            CommandError::TooManyPending(most) => Refusal::TooMany(most),
        }
    }
}

impl Ask {
    /// What is wrong with it, whoever reads it.
    pub(crate) fn check(&self, longest: Micros) -> Result<(), Refusal> {
        for (text, what) in [(&self.host, "host"), (&self.kind, "kind of work"), (&self.by, "by")] {
            if !good(text) {
                return Err(Refusal::BadText(what.to_owned()));
            }
        }
        if self.lasts == 0 || self.lasts > longest {
            let most = longest / 1_000_000;
            return Err(Refusal::Never(format!("it lasts 1 to {most} seconds, by the limits")));
        }
        if self.not_after.is_some_and(|after| after <= self.not_before) {
            return Err(Refusal::Never("its time is past before it begins".to_owned()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
