//! Commands of operators and the responses to them. `serde` renames keep the names of the JSON format.

use crate::request::DrainRequest;
use crate::stage::{Outcome, Stage};
use flaxhead_lease::{CommandError, Micros};
use serde::{Deserialize, Serialize};

/// Maximum length of the texts in a request.
const MAX_TEXT_BYTES: usize = 64;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// Command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Requests a drain of a host.
    #[serde(rename = "Ask")]
    Request(DrainRequest),
    /// Withdraws a drain that is not yet out of service.
    Withdraw {
        /// Number of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Name of the operator.
        by: String,
    },
    /// Declares that the maintenance is complete and the host runs.
    #[serde(rename = "Done")]
    Complete {
        /// Number of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Name of the operator.
        by: String,
    },
    /// Removes a process that no longer runs, so that no drain waits for it.
    #[serde(rename = "Gone")]
    RemoveProcess {
        /// Name of the process.
        name: String,
        /// Name of the operator.
        by: String,
    },
    /// Declares, after a loss of the replicated state, that the schedule lists every host that is out of
    /// service.
    #[serde(rename = "Known")]
    DeclareRecovered {
        /// Name of the operator.
        by: String,
    },
}

/// Response to a command that succeeded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandResponse {
    /// State of the drain that the command concerns.
    #[serde(rename = "Turn")]
    Drain {
        /// Number of the drain.
        id: u64,
        /// Stage of the drain.
        stage: Stage,
    },
    /// The command was executed and concerns no open drain.
    Done,
}

/// Reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No leader could be reached.
    #[error("no maintenance leader is reachable from this proxy; retry later or through another proxy")]
    #[serde(rename = "NoHolder")]
    NoLeader,
    /// The command was not committed in time. It may have been executed; repeating it is safe.
    #[error("the command was not confirmed in time and may have been executed; repeating it is safe")]
    TimedOut,
    /// Discovery does not list the host.
    #[error("unknown host {0}: discovery does not list it")]
    UnknownHost(String),
    /// No drain has this number.
    #[error("there is no drain {0}")]
    #[serde(rename = "UnknownTurn")]
    UnknownDrain(u64),
    /// No process on the roster has this name.
    #[error("no proxy {0} is on the roster")]
    UnknownProcess(String),
    /// The process to be removed still runs.
    #[error("proxy {0} cannot be removed: it is alive or has reported recently")]
    #[serde(rename = "Runs")]
    ProcessRuns(String),
    /// The drain could never start.
    #[error("the drain could never start: {0}")]
    #[serde(rename = "Never")]
    Impossible(String),
    /// A text is empty, too long or not printable.
    #[error("invalid value of {0}: must have 1 to {MAX_TEXT_BYTES} printable ASCII characters")]
    #[serde(rename = "BadText")]
    InvalidText(String),
    /// Another operator requested the drain.
    #[error("drain {drain} was requested by {owner}, who alone can complete it")]
    #[serde(rename = "NotYours")]
    NotOwner {
        /// Number of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Operator who requested the drain.
        #[serde(rename = "by")]
        owner: String,
    },
    /// The drain is not at a stage that allows the command.
    #[error("drain {drain} is at stage {stage}, which does not allow the command")]
    WrongStage {
        /// Number of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Stage of the drain.
        stage: Stage,
    },
    /// The drain has ended.
    #[error("drain {drain} has ended: {outcome}")]
    Ended {
        /// Number of the drain.
        #[serde(rename = "turn")]
        drain: u64,
        /// Outcome of the drain.
        #[serde(rename = "end")]
        outcome: Outcome,
    },
    /// The maximum number of open drains or pending commands is reached.
    #[error("too many open drains or pending commands: the maximum is {0}")]
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

/// Returns whether a text is safe to print in a table and in the audit trail.
fn is_valid_text(text: &str) -> bool {
    let is_printable = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    (1..=MAX_TEXT_BYTES).contains(&text.len()) && text.bytes().all(is_printable)
}

impl DrainRequest {
    /// Validates the request as far as it does not depend on the state of the fleet.
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
