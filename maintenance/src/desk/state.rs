//! What a step or an order works on.

use crate::board::Board;
use crate::limits::Rules;
use crate::stage::Stage;
use crate::turns::{Step, Turns};
use flaxhead_lease::LeaderContext;

/// The holder, with the rules of the turns.
pub(crate) struct Desk<'a, 'b> {
    pub(super) rules: &'a Rules,
    pub(super) room: &'a mut LeaderContext<'b, Turns>,
}

impl<'a, 'b> Desk<'a, 'b> {
    pub(crate) fn new(rules: &'a Rules, room: &'a mut LeaderContext<'b, Turns>) -> Self {
        Desk { rules, room }
    }

    pub(super) fn board(&self) -> &Board {
        self.room.state()
    }

    pub(super) fn board_mut(&mut self) -> &mut Board {
        self.room.state_mut()
    }

    pub(super) fn note(&mut self, turn: u64, what: &str, why: String) {
        let host = self.board().turn(turn).map_or_else(String::new, |turn| turn.ask.host.clone());
        self.room.record_event(Step { turn, host, what: what.to_owned(), why });
    }

    pub(super) fn move_to(&mut self, id: u64, stage: Stage) {
        // It is there with the board that is told next.
        let since_seq = self.room.state_seq() + 1;
        if let Some(turn) = self.board_mut().turn_mut(id) {
            (turn.stage, turn.since_seq, turn.age, turn.free) = (stage, since_seq, 0, false);
            turn.waits_for.clear();
        }
    }

    /// What a turn waits for is told along with the next board: it is no news by itself.
    pub(super) fn waits(&mut self, id: u64, why: String) {
        if let Some(turn) = self.board_mut().turn_mut(id).filter(|turn| turn.waits_for != why) {
            turn.waits_for = why;
        }
    }
}
