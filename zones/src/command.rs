//! The commands of operators, and the responses to them. They are encoded by position: the order of fields
//! and variants is fixed.

use crate::topology::{is_valid_name, MAX_NAME_BYTES};
use flaxhead_lease::CommandError;
use serde::{Deserialize, Serialize};

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Stops all changes of the plan but those away from unavailable zones.
    Hold {
        /// Name of the operator.
        by: String,
    },
    /// Ends a hold.
    Release {
        /// Name of the operator.
        by: String,
    },
    /// Moves all traffic out of a zone.
    Evacuate {
        /// Name of the zone to evacuate.
        zone: String,
        /// Name of the operator.
        by: String,
    },
    /// Ends the evacuation of a zone.
    Restore {
        /// Name of the zone to restore.
        zone: String,
        /// Name of the operator.
        by: String,
    },
}

/// Response to a command that is in effect. Commands are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommandResponse {
    /// Whether the command was in effect before.
    pub unchanged: bool,
}

/// A reason why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No leader could be reached.
    #[error("no leader is reachable from this process; retry once a majority of the voters is running")]
    NoLeader,
    /// The command was not committed in time; it may have been executed.
    #[error("the command was not confirmed in time and may have been executed; retry it")]
    TimedOut,
    /// Too many commands are pending at the process.
    #[error("{0} commands are already pending at this process; retry after they have completed")]
    TooManyPending(usize),
    /// A zone that the settings do not have.
    #[error("zone {0} is unknown; use the name of a zone in the settings")]
    UnknownZone(String),
    /// A text that is empty, too long or not printable.
    #[error("{0}: use 1 to {MAX_NAME_BYTES} printable ASCII characters")]
    InvalidText(String),
    /// The replicated plan may be incomplete; the value is the time until it counts as complete, in seconds.
    #[error(
        "all voters have lost the plan, and it is not known yet which commands are in effect; retry in {0} s"
    )]
    StateLost(u64),
    /// Not enough processes have reported their demand.
    #[error("the demand is not known yet; retry in a few seconds")]
    DemandUnknown,
    /// The other zones lack the capacity for the traffic of this one.
    #[error(
        "without zone {zone} the others lack capacity for {shortfall} calls per second of present demand"
    )]
    InsufficientCapacity {
        /// Name of the zone that was to be evacuated.
        zone: String,
        /// Missing capacity in calls per second.
        shortfall: u64,
    },
    /// The plan is on hold by this operator.
    #[error("the plan is on hold by {0}; release it first")]
    OnHold(String),
}

impl From<CommandError> for Rejection {
    fn from(error: CommandError) -> Rejection {
        match error {
            CommandError::NoLeader => Rejection::NoLeader,
            CommandError::TimedOut => Rejection::TimedOut,
            CommandError::TooManyPending(pending) => Rejection::TooManyPending(pending),
        }
    }
}

impl Command {
    /// Name of the operator.
    pub fn by(&self) -> &str {
        match self {
            Command::Hold { by }
            | Command::Release { by }
            | Command::Evacuate { by, .. }
            | Command::Restore { by, .. } => by,
        }
    }

    /// Checks that the names in the command are valid texts, without regard to the settings and the plan.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        if !is_valid_name(self.by()) {
            return Err(Rejection::InvalidText("by".to_owned()));
        }
        match self {
            Command::Evacuate { zone, .. } | Command::Restore { zone, .. } if !is_valid_name(zone) => {
                Err(Rejection::InvalidText("zone".to_owned()))
            }
            _ => Ok(()),
        }
    }
}
