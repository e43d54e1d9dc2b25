//! What operators are shown.

use crate::board::{Past, Turn};
use crate::stage::Stage;
use crate::turns::Turns;
use flaxhead_lease::{LeaseStatus, Machine, Micros, PeerState, Process};
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
    /// Who hands out turns, and how this process stands to it.
    #[serde(flatten)]
    pub standing: LeaseStatus,
    /// Open turns.
    pub turns: Vec<TurnRow>,
    /// The last that ended.
    pub past: Vec<Past>,
    /// Those that may send, at the holder.
    pub members: Vec<MemberRow>,
}

/// What there is to show of a process.
pub fn view(machine: &Machine<Turns>, now: Micros) -> View {
    let hold = machine.leader_state(now);
    let mut board = machine.member().current_state(now).state;
    if let Some(hold) = hold {
        // What its turns wait for is told with the next change only.
        for turn in &mut board.turns {
            let own = hold.state().state.turn(turn.id).map(|own| own.waits_for.clone());
            turn.waits_for = own.unwrap_or_default();
        }
    }
    let row = |(process, heard): (&Process, &PeerState<Turns>)| MemberRow {
        name: process.name.to_string(),
        life: format!("{:016x}", process.incarnation),
        confirmed: heard.version().to_string(),
        heard_ms: heard.last_report_at().map(|at| now.saturating_sub(at) / 1_000),
        in_hand: f64::from(heard.report().map_or(0, |word| word.load)) / 1_000.0,
    };
    View {
        standing: machine.status(now),
        turns: board.turns.iter().map(Into::into).collect(),
        past: board.past.iter().cloned().collect(),
        members: hold.map_or_else(Vec::new, |hold| hold.processes().map(row).collect()),
    }
}

#[cfg(test)]
mod tests;
