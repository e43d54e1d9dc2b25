//! What operators order, and what they are told.

use crate::map::{good, NAME_MOST};
use flaxhead_lease::CommandError;
use serde::{Deserialize, Serialize};

/// What an operator says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
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
    Return {
        /// Which.
        zone: String,
        /// Who says so.
        by: String,
    },
}

/// It stands. Asked for twice is one order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Done {
    /// Whether it stood already.
    pub already: bool,
}

/// Why nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// No proxy that settles the plan could be reached.
    #[error("no proxy that settles the plan is reached from here: nothing is settled now")]
    NoHolder,
    /// It was not confirmed in time; it may have been taken, and asking again does no harm.
    #[error("it was not confirmed in time; ask again: asked twice is one order")]
    TimedOut,
    /// Too many wait.
    #[error("{0} orders wait already; ask again once they are answered")]
    TooMany(usize),
    /// The settings have no such zone.
    #[error("no zone {0} is known; the settings name them")]
    UnknownZone(String),
    /// A text is empty, or too long.
    #[error("{0}: 1 to {NAME_MOST} printable characters of ASCII")]
    BadText(String),
    /// Nobody knows for sure what is settled.
    #[error(
        "all voters have forgotten the plan, and it is not known yet what is settled; ask again in {0} s"
    )]
    Forgotten(u64),
    /// What the zones take is not known.
    #[error("no proxy has said yet what it asks for; ask again in a few seconds")]
    NoFigures,
    /// The rest cannot take it.
    #[error("without {zone} the others are {short} calls a second short, by what they can do and are asked for now")]
    NoSpare {
        /// Which.
        zone: String,
        /// By how much.
        short: u64,
    },
    /// The plan does not move.
    #[error("the plan is held by {0}; release it first")]
    Held(String),
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

impl Order {
    /// Who gives it.
    pub fn by(&self) -> &str {
        match self {
            Order::Hold { by }
            | Order::Release { by }
            | Order::Evacuate { by, .. }
            | Order::Return { by, .. } => by,
        }
    }

    /// What is wrong with it, whoever reads it.
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        if !good(self.by()) {
            return Err(Refusal::BadText("by".to_owned()));
        }
        match self {
            Order::Evacuate { zone, .. } | Order::Return { zone, .. } if !good(zone) => {
                Err(Refusal::BadText("zone".to_owned()))
            }
            _ => Ok(()),
        }
    }
}
