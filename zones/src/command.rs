//! What operators order, and what they are told.
use crate::topology::{is_valid_name, MAX_NAME_BYTES};
use flaxhead_lease::CommandError;
use serde::{Deserialize, Serialize};

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The plan shall not move, but out of zones that are lost.
    Hold {
        /// Who says so.
        by: String,
    },

    /// It moves again.
    Release {
        /// Who says so.
        by: String,
    },

    /// A zone shall take nothing.
    Evacuate {
        /// Which.
        zone: String,

        /// Who says so.
        by: String,
    },

    /// It takes traffic again.
    Restore {
        /// Which.
        zone: String,

        /// Who says so.
        by: String,
    },
}

/// It stands. Asked for twice is one order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CommandResponse {
    /// Whether it stood already.
    pub unchanged: bool,
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No proxy that settles the plan could be reached.
    #[error("no leader is reachable from here: retry once a majority of the voters runs")]
    NoLeader,

    /// It was not confirmed in time; it may have been taken, and asking again does no harm.
    #[error("the command was not confirmed in time; retry it: commands are idempotent")]
    TimedOut,

    /// Too many wait.
    #[error("{0} commands are pending already; retry once they are answered")]
    TooManyPending(usize),

    /// The settings have no such zone.
    #[error("zone {0} is unknown; use the name of a zone in the settings")]
    UnknownZone(String),

    /// A text is empty, or too long.
    #[error("{0}: use 1 to {MAX_NAME_BYTES} printable ASCII characters")]
    InvalidText(String),

    /// Nobody knows for sure what is settled.
    #[error(
        "all voters have lost the plan, and it is not known yet which commands are in effect; retry in {0} s"
    )]
    StateLost(u64),

    /// What the zones take is not known.
    #[error("the demand is not known yet; retry in a few seconds")]
    DemandUnknown,

    /// The rest cannot take it.
    #[error("without zone {zone} the other zones lack capacity for {shortfall} calls per second of the present demand")]
    InsufficientCapacity {
        /// Which.
        zone: String,

        /// By how much.
        shortfall: u64,
    },

    /// The plan does not move.
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
    /// Who gives it.
    pub fn by(&self) -> &str {
        match self {
            Command::Hold { by }
            | Command::Release { by }
            | Command::Evacuate { by, .. }
            | Command::Restore { by, .. } => by,
        }
    }

    /// What is wrong with it, whoever reads it.
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
