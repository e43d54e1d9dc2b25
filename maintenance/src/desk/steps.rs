//! How a turn moves on.

use super::state::Desk;
use crate::board::Turn;
use crate::stage::{End, Stage};
use flaxhead_lease::{Config, Process};

impl Desk<'_, '_> {
    /// Does what can be done.
    pub(crate) fn step(&mut self) {
        let ids: Vec<u64> = self.board().turns.iter().map(|turn| turn.id).collect();
        let mut moved = false;
        for id in ids {
            moved |= self.step_turn(id);
        }
        moved |= self.settle_next();
        if moved {
            self.room.publish();
        }
    }

    fn end(&mut self, id: u64, end: End) {
        let past_most = self.rules.past_most;
        self.board_mut().end(id, end, past_most);
    }

    /// Whom a settled turn waits for: all must know that it is announced.
    fn not_announced(&self, seq: u64) -> Option<&Process> {
        let mut processes = self.room.processes();
        processes.find(|(_, heard)| !self.room.has_applied(heard, seq)).map(|(process, _)| process)
    }

    /// Whom a draining turn waits for, and why: all have stopped and have nothing there, or their leave has run out
    /// and with it whatever they can have had in hand.
    fn not_drained(&self, seq: u64, host: &str) -> Option<String> {
        let longest_call = Config::with_max_drift(self.room.config.max_call_duration);
        self.room.processes().find_map(|(process, heard)| {
            let knows = self.room.has_applied(heard, seq);
            let busy = heard.report().and_then(|word| word.busy.get(host)).copied().unwrap_or(0);
            let name = &process.name;
            match (knows, busy) {
                (true, 0) => None,
                (true, calls) => Some(format!("{name} has {calls} calls in hand there")),
                (false, _) if self.room.now >= heard.lease_expiry() + longest_call => None,
                (false, _) => {
                    Some(format!("{name} has not confirmed, and may send until its permission runs out"))
                }
            }
        })
    }

    fn step_turn(&mut self, id: u64) -> bool {
        let Some(turn) = self.board().turn(id) else { return false };
        let Turn { stage, since_seq: seq, age, free, .. } = *turn;
        let (host, late) = (turn.ask.host.clone(), turn.ask.not_after == Some(0));
        let overdue = age > turn.ask.lasts;
        let why = match stage {
            Stage::Asked | Stage::Settled if late => {
                let why = turn.waits_for.clone();
                self.note(id, "expired", why.clone());
                self.end(id, End::Expired { why });
                return true;
            }
            Stage::Asked => return false,
            Stage::Settled => match self.not_announced(seq) {
                None => {
                    self.note(id, "draining", "all know that it is next".to_owned());
                    self.move_to(id, Stage::Draining);
                    return true;
                }
                Some(process) => format!("{} has not confirmed that it is next", process.name),
            },
            Stage::Draining => match self.not_drained(seq, &host) {
                None => {
                    self.note(id, "out", "nothing is sent there and nothing runs there".to_owned());
                    self.move_to(id, Stage::Out);
                    return true;
                }
                Some(why) if age >= self.rules.drain_most => {
                    self.note(id, "failed", why.clone());
                    self.end(id, End::Failed { why });
                    return true;
                }
                Some(why) => why,
            },
            Stage::Out if !free && self.room.is_committed(seq) => {
                self.note(id, "free", "a majority of voters knows that it is out".to_owned());
                if let Some(turn) = self.board_mut().turn_mut(id) {
                    turn.free = true;
                }
                return true;
            }
            Stage::Out if overdue => "it is overdue: it should be back".to_owned(),
            Stage::Out => String::new(),
            Stage::Back => {
                let fact = self.room.facts.application.hosts.get(&host);
                let warm = fact.is_some_and(|f| f.ready && f.warmth >= 1_000 && !f.failing);
                if warm || age >= self.rules.back_most {
                    let why = if warm { "it is warm" } else { "it has not shown itself warm in time" };
                    self.note(id, "done", why.to_owned());
                    self.end(id, End::Done);
                    return true;
                }
                "it is not warm yet".to_owned()
            }
        };
        self.waits(id, why);
        false
    }
}
