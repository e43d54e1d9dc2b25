//! What operators are shown.

use crate::board::{Past, Stage, Turn};
use serde::{Deserialize, Serialize};

/// An open turn, as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnRow {
    /// Its number.
    pub id: u64,
    /// Of which host.
    pub host: String,
    /// What work.
    pub kind: String,
    /// Who asked.
    pub by: String,
    /// Where it stands.
    pub stage: Stage,
    /// The host may be worked at.
    pub free: bool,
    /// Since when it has stood there, in milliseconds before now.
    pub for_ms: u64,
    /// How long the work takes, in milliseconds.
    pub lasts_ms: u64,
    /// What it waits for.
    pub waits_for: String,
}

impl From<&Turn> for TurnRow {
    fn from(turn: &Turn) -> TurnRow {
        TurnRow {
            id: turn.id,
            host: turn.ask.host.clone(),
            kind: turn.ask.kind.clone(),
            by: turn.ask.by.clone(),
            stage: turn.stage,
            free: turn.free,
            for_ms: turn.age / 1_000,
            lasts_ms: turn.ask.lasts / 1_000,
            waits_for: turn.waits_for.clone(),
        }
    }
}

/// A process that may send, as the holder shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its name.
    pub name: String,
    /// Which process, in hexadecimal digits.
    pub life: String,
    /// The board that it goes by.
    pub confirmed: String,
    /// When it last asked for leave, in milliseconds before now.
    pub heard_ms: Option<u64>,
    /// Calls in hand.
    pub in_hand: f64,
}

/// All that a process knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Its name.
    pub me: String,
    /// Who hands out turns, as far as it knows.
    pub holder: Option<String>,
    /// Under which number.
    pub fence: Option<String>,
    /// It is this process.
    pub holds: bool,
    /// The holder does not know what is out, and settles nothing new.
    pub forgotten: bool,
    /// What this process does with its hosts.
    pub serving: String,
    /// For how long it still has leave to send to hosts whose turn is settled, in milliseconds.
    pub permitted_ms: u64,
    /// The board that it goes by.
    pub version: String,
    /// As a voter, what it knows; `None`: it is none.
    pub voter: Option<crate::voter::Known>,
    /// Open turns.
    pub turns: Vec<TurnRow>,
    /// The last that ended.
    pub past: Vec<Past>,
    /// Those that may send, at the holder.
    pub members: Vec<MemberRow>,
}
