//! The commands of operators, and the responses to them. Their names in JSON are older than those here.

use crate::request::DrainRequest;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{CommandError, Micros};
use serde::{Deserialize, Serialize};

/// Maximum length of a host's name, a kind of work or an operator's name, in bytes.
const MAX_TEXT_BYTES: usize = 64;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Drain a host.
    #[serde(rename = "Ask")]
    Request(DrainRequest),
    /// Withdraw a request.
    Withdraw {
        /// The drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Who commands it.
        by: String,
    },
    /// The work is done and the host runs.
    #[serde(rename = "Done")]
    Complete {
        /// The drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Who commands it.
        by: String,
    },
    /// A process does not run any more, though nothing could find that out.
    #[serde(rename = "Gone")]
    RemoveProcess {
        /// Its name.
        name: String,
        /// Who commands it.
        by: String,
    },
    /// All hosts that are out of service are in the schedule: nothing needs to be waited for.
    #[serde(rename = "Known")]
    DeclareRecovered {
        /// Who commands it.
        by: String,
    },
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandResponse {
    /// The drain, which is new or was there already.
    #[serde(rename = "Turn")]
    Drain {
        /// Its number.
        id: u64,
        /// How far it has come.
        stage: Stage,
    },
    /// It is done.
    Done,
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No leader could be reached.
    #[error("no proxy that hands out turns is reached from here: nothing is settled now")]
    #[serde(rename = "NoHolder")]
    NoLeader,
    /// The command was not committed in time. It may have been executed, and asking again does no harm.
    #[error("it was not confirmed in time; ask again: asked twice is one request")]
    TimedOut,
    /// The list does not have the host.
    #[error("no proxy knows a host {0}")]
    UnknownHost(String),
    /// There is no such drain.
    #[error("there is no turn {0}")]
    #[serde(rename = "UnknownTurn")]
    UnknownDrain(u64),
    /// There is no such process.
    #[error("no process {0} is waited for")]
    UnknownProcess(String),
    /// The process runs.
    #[error("process {0} runs: it is heard")]
    #[serde(rename = "Runs")]
    ProcessRuns(String),
    /// The drain could never begin.
    #[error("it could never begin: {0}")]
    #[serde(rename = "Never")]
    Impossible(String),
    /// A text is empty, too long or not printable.
    #[error("{0}: 1 to {MAX_TEXT_BYTES} printable characters of ASCII")]
    #[serde(rename = "BadText")]
    InvalidText(String),
    /// Another operator requested the drain.
    #[error("turn {drain} was asked for by {owner}")]
    #[serde(rename = "NotYours")]
    NotOwner {
        /// The drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Who requested it.
        #[serde(rename = "by")]
        owner: String,
    },
    /// The drain is not at a stage that allows the command.
    #[error("turn {drain} is {stage}")]
    WrongStage {
        /// The drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// How far it has come.
        stage: Stage,
    },
    /// The drain has ended.
    #[error("turn {drain} has ended: {outcome}")]
    Ended {
        /// The drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// How it ended.
        #[serde(rename = "end")]
        outcome: Outcome,
    },
    /// Too many drains are open.
    #[error("{0} turns are open, and no more are kept")]
    TooMany(usize),
}

impl From<CommandError> for Rejection {
    fn from(error: CommandError) -> Rejection {
        match error {
            CommandError::NoLeader => Rejection::NoLeader,
            CommandError::TimedOut => Rejection::TimedOut,
            CommandError::TooManyPending(max) => Rejection::TooMany(max),
        }
    }
}

/// Whether a text can stand in a table and in the audit trail.
fn is_valid(text: &str) -> bool {
    let is_printable = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    (1..=MAX_TEXT_BYTES).contains(&text.len()) && text.bytes().all(is_printable)
}

impl DrainRequest {
    /// Checks what holds whatever the state of the fleet.
    pub(crate) fn check(&self, max_duration: Micros) -> Result<(), Rejection> {
        for (text, what) in [(&self.host, "host"), (&self.kind, "kind of work"), (&self.by, "by")] {
            if !is_valid(text) {
                return Err(Rejection::InvalidText(what.to_owned()));
            }
        }
        if self.duration == 0 || self.duration > max_duration {
            let max = max_duration / MICROS_PER_SECOND;
            return Err(Rejection::Impossible(format!("it lasts 1 to {max} seconds, by the limits")));
        }
        if self.not_after.is_some_and(|after| after <= self.not_before) {
            return Err(Rejection::Impossible("its time is past before it begins".to_owned()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
