//! The turns, as all proxies have them.

use crate::ask::Ask;
use crate::stage::{End, Stage};
use flaxhead_lease::{Micros, ReplicatedState};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// An open turn. Its times are spans beside the board's: they mean the same at every clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Turn {
    /// Its number, the oldest's the least.
    pub id: u64,
    /// What was asked for. Its times are counted down.
    pub ask: Ask,
    /// Where it stands.
    pub stage: Stage,
    /// With which of the holder's boards it came there.
    pub since_seq: u64,
    /// How long it has been there.
    pub age: Micros,
    /// A majority of voters has its being out on record: whoever holds next knows it.
    pub free: bool,
    /// What it waits for.
    pub waits_for: String,
}

/// An ended turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    pub id: u64,
    /// Of which host.
    pub host: String,
    /// Who asked.
    pub by: String,
    /// How.
    pub end: End,
}

/// All turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Board {
    /// The next turn's number.
    pub next_id: u64,
    /// The open ones, the oldest first.
    pub turns: Vec<Turn>,
    /// The last that ended, the latest last.
    pub past: VecDeque<Past>,
}

impl Board {
    /// An open turn.
    pub fn turn(&self, id: u64) -> Option<&Turn> {
        self.turns.iter().find(|turn| turn.id == id)
    }

    pub(crate) fn turn_mut(&mut self, id: u64) -> Option<&mut Turn> {
        self.turns.iter_mut().find(|turn| turn.id == id)
    }

    /// The open turn of a host.
    pub fn of_host(&self, host: &str) -> Option<&Turn> {
        self.turns.iter().find(|turn| turn.ask.host == host)
    }

    /// How a turn ended, where that is remembered.
    pub fn ended(&self, id: u64) -> Option<&Past> {
        self.past.iter().rev().find(|past| past.id == id)
    }

    /// A new turn.
    pub(crate) fn add(&mut self, ask: Ask, stage: Stage) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let (since_seq, age, free, waits_for) = Default::default();
        self.turns.push(Turn { id, ask, stage, since_seq, age, free, waits_for });
        id
    }

    /// A turn is over.
    pub(crate) fn end(&mut self, id: u64, end: End, past_most: usize) {
        let Some(place) = self.turns.iter().position(|turn| turn.id == id) else { return };
        let Turn { ask: Ask { host, by, .. }, .. } = self.turns.remove(place);
        self.past.push_back(Past { id, host, by, end });
        while self.past.len() > past_most {
            self.past.pop_front();
        }
    }
}

impl ReplicatedState for Board {
    fn advance(&mut self, by: Micros) {
        for turn in &mut self.turns {
            turn.age = turn.age.saturating_add(by);
            turn.ask.not_before = turn.ask.not_before.saturating_sub(by);
            turn.ask.not_after = turn.ask.not_after.map(|after| after.saturating_sub(by));
        }
    }

    /// What another board has announced.
    fn absorb(&mut self, other: &Board) -> bool {
        let mut news = false;
        for turn in other.turns.iter().filter(|turn| turn.stage >= Stage::Settled) {
            match self.turns.iter_mut().find(|own| own.ask.host == turn.ask.host) {
                Some(own) if own.stage >= turn.stage => {}
                Some(own) => {
                    (own.stage, own.age) = (turn.stage, turn.age);
                    news = true;
                }
                None => {
                    let taken = self.turns.iter().any(|own| own.id == turn.id);
                    self.next_id = self.next_id.max(turn.id) + u64::from(taken);
                    let id = if taken { self.next_id } else { turn.id };
                    self.turns.push(Turn { id, ..turn.clone() });
                    self.turns.sort_by_key(|turn| turn.id);
                    news = true;
                }
            }
        }
        news
    }
}
