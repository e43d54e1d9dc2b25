//! The part of every process: which hosts it may send to.

use crate::ballot::Ballot;
use crate::board::{Board, Stage};
use crate::config::Config;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What a process does with its hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Serving {
    /// It was started and does not know yet which hosts are to be left alone: it sends to none.
    Waits,
    /// It is on the roster.
    Admitted,
    /// Nobody has let it in for so long that it serves by its own judgement, and leaves alone what it has heard of.
    Alone,
}

/// What a process reports of its own calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// Calls in hand, by host.
    pub in_hand: BTreeMap<String, u32>,
    /// Calls in hand in all, as a mean over the last seconds, in thousandths.
    pub load: u32,
}

/// One process, as it sends to hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    started: Micros,
    pub board: Board,
    /// The board's times are as they were then.
    pub board_at: Micros,
    /// The highest fence that it has heard of: it takes nothing of a lower one.
    pub fence: Option<Ballot>,
    pub admitted: bool,
    /// Until when it may send to hosts whose turn is settled.
    pub permitted: Micros,
}

impl Member {
    pub(crate) fn new(now: Micros) -> Member {
        Member {
            started: now,
            board: Board::default(),
            board_at: now,
            fence: None,
            admitted: false,
            permitted: 0,
        }
    }

    /// The board with its times as they are now.
    pub(crate) fn board_now(&self, now: Micros) -> Board {
        let mut board = self.board.clone();
        board.age(now.saturating_sub(self.board_at));
        board
    }

    /// Hears of a fence; whether it still counts.
    pub(crate) fn hears(&mut self, fence: &Ballot) -> bool {
        if self.fence.as_ref().is_some_and(|own| own > fence) {
            return false;
        }
        self.fence = Some(fence.clone());
        true
    }

    /// A board came from whoever holds this fence.
    pub(crate) fn told(&mut self, now: Micros, board: Board) -> bool {
        let Some(fence) = board.version.fence.clone() else { return false };
        if !self.hears(&fence) || board.version < self.board.version {
            return false;
        }
        (self.board, self.board_at) = (board, now);
        true
    }

    /// Leave came. One that is not let in yet takes it only of a holder that knows what is out; where all have forgotten,
    /// it waits for as long as if nobody had answered.
    pub(crate) fn granted(&mut self, now: Micros, stamp: Micros, remembers: bool, config: &Config) {
        let waited = now.saturating_sub(self.started) >= config.alone_after;
        if !(self.admitted || remembers || waited) {
            return;
        }
        self.admitted = true;
        self.permitted = self.permitted.max(stamp + config.lease);
    }

    pub(crate) fn serving(&self, now: Micros, config: &Config) -> Serving {
        if self.admitted {
            Serving::Admitted
        } else if now.saturating_sub(self.started) >= config.alone_after {
            Serving::Alone
        } else {
            Serving::Waits
        }
    }

    /// From when on nothing new goes to a host; `None`: it may for as long as nothing else is said.
    pub(crate) fn spared_from(&self, host: &str) -> Option<Micros> {
        let stage =
            self.board.turns.iter().filter(|turn| turn.ask.host == host).map(|turn| turn.stage).max()?;
        match stage {
            Stage::Asked | Stage::Back => None,
            // One that is not admitted confirms nothing, so that nobody waits for it.
            Stage::Settled => Some(if self.admitted { self.permitted } else { 0 }),
            Stage::Draining | Stage::Out => Some(0),
        }
    }

    /// Hosts with a turn that spares them now or some time, with the moment.
    pub(crate) fn spared(&self) -> Vec<(String, Micros)> {
        let hosts: BTreeSet<&str> = self.board.turns.iter().map(|turn| turn.ask.host.as_str()).collect();
        hosts.into_iter().filter_map(|host| Some((host.to_owned(), self.spared_from(host)?))).collect()
    }
}
