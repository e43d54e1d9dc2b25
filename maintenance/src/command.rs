//! Commands of operators and the responses to them. The `serde` renames keep the names that operators'
//! scripts use in JSON.

use crate::request::DrainRequest;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{CommandError, Micros};
use serde::{Deserialize, Serialize};

/// Maximum length of each text in a request: host, kind of maintenance, operator.
const MAX_TEXT_BYTES: usize = 64;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Command that an operator submits at any process and that the leader executes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Requests a drain of a host, which the leader schedules once the limits allow it.
    #[serde(rename = "Ask")]
    Request(DrainRequest),
    /// Withdraws a drain whose host is not yet out of service.
    Withdraw {
        /// Identifier of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Operator who gives the command.
        by: String,
    },
    /// Declares that the maintenance of the drain's host is complete and that the host runs.
    #[serde(rename = "Done")]
    Complete {
        /// Identifier of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Operator who gives the command.
        by: String,
    },
    /// Removes a process that no longer runs from the roster, so that no drain waits for its confirmation.
    #[serde(rename = "Gone")]
    RemoveProcess {
        /// Name of the process.
        name: String,
        /// Operator who gives the command.
        by: String,
    },
    /// Declares that the schedule lists every host that is out of service. Needed after the processes have
    /// lost the schedule, since no drain is scheduled before.
    #[serde(rename = "Known")]
    DeclareRecovered {
        /// Operator who gives the command.
        by: String,
    },
}

/// Response to a command that was executed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandResponse {
    /// Response to [`Command::Request`] and [`Command::Complete`]: the drain that the command concerns.
    #[serde(rename = "Turn")]
    Drain {
        /// Identifier of the drain.
        id: u64,
        /// Current stage of the drain.
        stage: Stage,
    },
    /// Response to [`Command::Withdraw`], [`Command::RemoveProcess`] and [`Command::DeclareRecovered`], which
    /// return no data.
    Done,
}

/// Reason why a command was rejected or could not be confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No leader could be reached, or the leader has no list of hosts from discovery yet.
    #[error("no leader is reachable from this process; retry once a majority of the voters is running")]
    #[serde(rename = "NoHolder")]
    NoLeader,
    /// No confirmation of the command arrived in time. The leader may have executed it; repeating it is safe.
    #[error("the command was not confirmed in time and may have been executed; retry it")]
    TimedOut,
    /// Discovery does not list the host.
    #[error("unknown host {0}: discovery does not list it")]
    UnknownHost(String),
    /// No open or completed drain has this identifier.
    #[error("there is no drain {0}")]
    #[serde(rename = "UnknownTurn")]
    UnknownDrain(u64),
    /// No process on the roster has this name.
    #[error("no proxy {0} is on the roster")]
    UnknownProcess(String),
    /// The process to be removed is alive according to the membership, or has reported to the leader
    /// recently.
    #[error("proxy {0} cannot be removed: it is alive or has reported recently")]
    #[serde(rename = "Runs")]
    ProcessRuns(String),
    /// The requested drain could never start; the text says why.
    #[error("the drain could never start: {0}")]
    #[serde(rename = "Never")]
    Impossible(String),
    /// A text of the request is empty, too long or not printable; the value names the field.
    #[error("invalid value of {0}: must have 1 to {MAX_TEXT_BYTES} printable ASCII characters")]
    #[serde(rename = "BadText")]
    InvalidText(String),
    /// The operator who declared the maintenance complete is not the one who requested the drain.
    #[error("drain {drain} was requested by {owner}, who alone can complete it")]
    #[serde(rename = "NotYours")]
    NotOwner {
        /// Identifier of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Operator who requested the drain.
        #[serde(rename = "by")]
        owner: String,
    },
    /// The drain is at a stage that does not allow the command.
    #[error("drain {drain} is at stage {stage}, which does not allow the command")]
    WrongStage {
        /// Identifier of the drain that the command names.
        #[serde(rename = "turn")]
        drain: u64,
        /// Stage at which the drain was when the leader executed the command.
        stage: Stage,
    },
    /// The drain had been completed, with any outcome, before the command was executed.
    #[error("drain {drain} has ended: {outcome}")]
    Ended {
        /// Identifier of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Whether maintenance was carried out and, if not, why the drain ended.
        #[serde(rename = "end")]
        outcome: Outcome,
    },
    /// The maximum number of open drains, or of commands pending at the process, is reached. The value is
    /// that maximum.
    #[error("{0} drains are already open or commands pending; retry after one of them has completed")]
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

/// Returns whether a text has 1 to [`MAX_TEXT_BYTES`] bytes, all of them printable ASCII characters.
fn is_valid_text(text: &str) -> bool {
    let is_printable = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    (1..=MAX_TEXT_BYTES).contains(&text.len()) && text.bytes().all(is_printable)
}

impl DrainRequest {
    /// Validates the texts, the duration and the start times of the request. `max_duration` is the longest
    /// maintenance that the limits allow.
    pub(crate) fn check(&self, max_duration: Micros) -> Result<(), Rejection> {
        for (text, field) in [(&self.host, "host"), (&self.kind, "kind of work"), (&self.by, "by")] {
            if !is_valid_text(text) {
                return Err(Rejection::InvalidText(field.to_owned()));
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
