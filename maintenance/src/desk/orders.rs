//! What operators order.

use super::state::Desk;
use crate::ask::Ask;
use crate::board::Turn;
use crate::order::{Answer, Order, Refusal};
use crate::stage::{End, Stage};
use flaxhead_lease::{Presence, Process};

impl Desk<'_, '_> {
    /// Takes an order; the answer counts once it is on record.
    pub(crate) fn order(&mut self, order: Order) -> Result<Answer, Refusal> {
        match order {
            Order::Ask(ask) => self.ask(ask),
            Order::Withdraw { turn, by } => {
                let open = match self.open(turn) {
                    // Said twice, as where the first answer was lost.
                    Err(Refusal::Ended { end: End::Withdrawn { by: said }, .. }) if said == by => None,
                    open => Some(open?.stage),
                };
                if let Some(stage) = open {
                    self.withdraw(turn, stage, by)?;
                }
                Ok(Answer::Done)
            }
            Order::Done { turn, by } => {
                let Turn { stage, ask, .. } = self.open(turn)?.clone();
                match stage {
                    Stage::Back => {}
                    Stage::Out if ask.by != by => return Err(Refusal::NotYours { turn, by: ask.by }),
                    Stage::Out => {
                        self.note(turn, "back", format!("done by {by}"));
                        self.move_to(turn, Stage::Back);
                        self.room.publish();
                    }
                    stage => return Err(Refusal::WrongStage { turn, stage }),
                }
                Ok(Answer::Turn { id: turn, stage: Stage::Back })
            }
            Order::Gone { name, by } => self.gone(name, by),
            Order::Known { by } => {
                if self.room.declare_recovered() {
                    self.note(0, "known", format!("all that is out is on the board, by the word of {by}"));
                }
                Ok(Answer::Done)
            }
        }
    }

    fn withdraw(&mut self, turn: u64, stage: Stage, by: String) -> Result<(), Refusal> {
        if stage >= Stage::Out {
            return Err(Refusal::WrongStage { turn, stage });
        }
        self.note(turn, "withdrawn", format!("by {by}"));
        let past_most = self.rules.past_most;
        self.board_mut().end(turn, End::Withdrawn { by }, past_most);
        self.room.publish();
        Ok(())
    }

    fn open(&self, id: u64) -> Result<&Turn, Refusal> {
        let ended = || self.board().ended(id).map(|past| Refusal::Ended { turn: id, end: past.end.clone() });
        self.board().turn(id).ok_or_else(|| ended().unwrap_or(Refusal::UnknownTurn(id)))
    }

    fn ask(&mut self, ask: Ask) -> Result<Answer, Refusal> {
        ask.check(self.rules.limits.longest)?;
        // Asked twice is one request.
        if let Some(turn) = self.board().of_host(&ask.host).filter(|turn| turn.stage != Stage::Back) {
            return Ok(Answer::Turn { id: turn.id, stage: turn.stage });
        }
        if self.board().turns.len() >= self.rules.open_most {
            return Err(Refusal::TooMany(self.rules.open_most));
        }
        if ask.already_out {
            // That is so whatever the limits say; what they say keeps the others waiting.
            let (why, by) = (ask.kind.clone(), ask.by.clone());
            let id = self.board_mut().add(ask, Stage::Out);
            self.note(id, "out", format!("{why}, by {by}: it was out already"));
            self.room.publish();
            self.move_to(id, Stage::Out);
            return Ok(Answer::Turn { id, stage: Stage::Out });
        }
        if let Some(limit) = self.rules.limits.forbid() {
            return Err(Refusal::Never(format!("the limit {limit} is 0")));
        }
        // Before it has a list itself it can say nothing of hosts.
        if self.room.facts.application.hosts.is_empty() {
            return Err(Refusal::NoHolder);
        }
        if !self.room.facts.application.hosts.contains_key(&ask.host) {
            return Err(Refusal::UnknownHost(ask.host));
        }
        let why = format!("{}, by {}", ask.kind, ask.by);
        let id = self.board_mut().add(ask, Stage::Asked);
        self.note(id, "asked", why);
        self.room.publish();
        Ok(Answer::Turn { id, stage: Stage::Asked })
    }

    fn gone(&mut self, name: String, by: String) -> Result<Answer, Refusal> {
        let waited = || self.room.processes().filter(|(p, _)| p.name.as_str() == name);
        if waited().next().is_none() {
            return Err(Refusal::UnknownProcess(name));
        }
        let runs = |p: &Process| {
            let fact = self.room.facts.members.get(&p.name);
            fact.is_some_and(|f| f.incarnation == p.incarnation && f.presence == Presence::Alive)
        };
        let silent = waited().filter(|(p, heard)| !runs(p) && !self.room.heard_recently(heard));
        let silent: Vec<Process> = silent.map(|(process, _)| process.clone()).collect();
        if silent.is_empty() {
            return Err(Refusal::Runs(name));
        }
        silent.iter().for_each(|process| self.room.remove_process(process));
        self.note(0, "gone", format!("{name} does not run any more, by the word of {by}"));
        Ok(Answer::Done)
    }
}
