//! The part of the one that hands out turns, and of whoever tries to become it.

use crate::ballot::{Ballot, Version};
use crate::board::{Board, End, Stage, Turn};
use crate::config::Config;
use crate::facts::{Facts, Presence};
use crate::message::{Process, Promise, Renewal, Roster};
use crate::order::{Answer, Ask, Order, Refusal};
use crate::plan::{Obstacle, Scene};
use crate::voter::Known;
use crate::voters::Voters;
use crate::Micros;
use flaxhead_membership::Name;
use std::collections::{BTreeMap, BTreeSet};

/// A try to become the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Bid {
    pub ballot: Ballot,
    /// When it was begun: the lease counts from here.
    pub sent: Micros,
    pub promises: BTreeMap<Name, Promise>,
    /// The voters that have granted the lease.
    pub granted: BTreeSet<Name>,
    pub proposed: bool,
}

/// What the holder knows of a process that may send.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Heard {
    /// The board that it goes by, by its last word under this fence.
    version: Version,
    /// When that came; `None`: nothing has under this fence.
    at: Option<Micros>,
    /// Since when this process expects it.
    known: Micros,
    /// Until when it may have permission, by this process's clock.
    permitted: Micros,
    busy: BTreeMap<String, u32>,
    load: u32,
    lost: BTreeSet<String>,
    /// When the board was last sent there.
    told: Micros,
    /// It was shown to the voters, so that whoever holds next knows of it.
    kept_with: u64,
}

/// A step of a turn, for the trail.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Noted {
    pub turn: u64,
    pub host: String,
    pub what: String,
    pub why: String,
}

/// An operator's order that waits to be on record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Pending {
    pub from: Name,
    pub id: u64,
    seq: u64,
    answer: Answer,
}

/// What a voter keeps, by its last word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    at: Micros,
    roster: u64,
}

/// The holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Holder {
    pub ballot: Ballot,
    /// Until when it holds the lease, by its own clock.
    pub until: Micros,
    /// The try to renew it, when that was begun, and who has granted it.
    pub round: u64,
    round_sent: Micros,
    granted: BTreeSet<Name>,
    /// Processes of voters that have promised.
    pub lives: BTreeMap<Name, u64>,
    kept: BTreeMap<Name, Kept>,
    pub board: Board,
    board_at: Micros,
    pub roster: Roster,
    heard: BTreeMap<Process, Heard>,
    /// Since when it is not known for sure who may send, and what is out.
    pub cold: Option<Micros>,
    /// Whose board it has heard of all that is out: one that has been let in all along.
    survivor: bool,
    pending: Vec<Pending>,
    pub noted: Vec<Noted>,
}

impl Heard {
    /// Whether it goes by a holder's board of this count, or a later one.
    fn goes_by(&self, holder: &Ballot, seq: u64) -> bool {
        self.version.fence.as_ref() == Some(holder) && self.version.seq >= seq
    }

    fn lately(&self, now: Micros, config: &Config) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) <= config.lease)
    }
}

impl Holder {
    /// A bid that a majority has granted.
    pub(crate) fn new(
        now: Micros,
        config: &Config,
        voters: &Voters,
        bid: Bid,
        (own, admitted): (&Board, bool),
        me: Process,
    ) -> Holder {
        let Bid { ballot, sent, promises, granted, .. } = bid;
        let sure = voters.majority(|name| promises.get(name).is_some_and(|p| p.known == Known::Sure));
        let boards = promises.values().map(|p| &p.board).chain([own]);
        let mut board = boards.max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default();
        if !sure {
            // What any of them has heard of stays as it is.
            for other in promises.values().map(|p| &p.board).chain([own]) {
                board.absorb(other);
            }
        }
        board.version = Version { fence: Some(ballot.clone()), seq: 1 };
        // What a majority has of the last holder's roster is all of it; older ones are of no use.
        let newest = promises.values().map(|p| &p.roster).max_by(|a, b| a.version.cmp(&b.version));
        let mut roster = newest.cloned().unwrap_or_default();
        roster.version = Version { fence: Some(ballot.clone()), seq: 1 };
        let lives = promises.iter().map(|(name, p)| (name.clone(), p.life)).collect();
        let mut holder = Holder {
            until: sent + config.lease,
            round: 1,
            round_sent: sent,
            granted,
            lives,
            kept: BTreeMap::new(),
            board,
            board_at: now,
            heard: BTreeMap::new(),
            cold: (!sure).then_some(now),
            survivor: admitted,
            pending: Vec::new(),
            noted: Vec::new(),
            ballot,
            roster,
        };
        for turn in &mut holder.board.turns {
            // All confirm it anew: what was confirmed to another is not known here.
            (turn.since_seq, turn.free) = (1, false);
        }
        holder.roster.processes.insert(me);
        let processes: Vec<Process> = holder.roster.processes.iter().cloned().collect();
        for process in processes {
            holder.expect(now, config, process, 1);
        }
        holder
    }

    /// A process is on the roster. What it was granted by another may last as long as any permission.
    fn expect(&mut self, now: Micros, config: &Config, process: Process, kept_with: u64) {
        let (version, at, busy, load, lost) = Default::default();
        let permitted = now + Config::longest(config.lease);
        self.heard.insert(
            process,
            Heard { version, at, known: now, told: now, permitted, busy, load, lost, kept_with },
        );
    }

    pub(crate) fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Begins another round of renewal.
    pub(crate) fn next_round(&mut self, now: Micros) {
        self.round += 1;
        (self.round_sent, self.granted) = (now, BTreeSet::new());
    }

    /// A voter has granted more of the lease.
    pub(crate) fn accepted(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        from: &Name,
        round: u64,
        (life, roster): (u64, &Version),
    ) {
        if self.lives.get(from) != Some(&life) {
            return;
        }
        let roster = if roster.fence.as_ref() == Some(&self.ballot) { roster.seq } else { 0 };
        self.kept.insert(from.clone(), Kept { at: now, roster });
        if round == self.round {
            self.granted.insert(from.clone());
            if voters.majority(|name| self.granted.contains(name)) {
                self.until = self.until.max(self.round_sent + config.lease);
            }
        }
    }

    /// A voter that was not among those of the bid has promised as well.
    pub(crate) fn joined(&mut self, from: &Name, promise: Promise) {
        self.lives.insert(from.clone(), promise.life);
    }

    /// Whether a voter has lately granted anything.
    pub(crate) fn granted_lately(&self, now: Micros, config: &Config, voter: &Name) -> bool {
        self.kept.get(voter).is_some_and(|kept| now.saturating_sub(kept.at) <= 2 * config.renew_every())
    }

    /// Whether a majority of voters keeps the roster of this count. Only fresh words count: one that was killed and
    /// forgot must not be among them, and such a one is silent for longer than a lease.
    fn keeps(&self, now: Micros, config: &Config, voters: &Voters, seq: u64) -> bool {
        let fresh = |k: &Kept| now.saturating_sub(k.at) <= config.lease && k.roster >= seq;
        voters.majority(|name| self.kept.get(name).is_some_and(fresh))
    }

    /// Whether a majority of voters has heard the board of this count.
    fn on_record(&self, now: Micros, config: &Config, voters: &Voters, seq: u64) -> bool {
        let fresh = |h: &Heard| h.lately(now, config) && h.goes_by(&self.ballot, seq);
        voters.majority(|name| self.heard.iter().any(|(p, h)| p.name == *name && fresh(h)))
    }

    /// A process asks for leave. Whether it gets it now, and whether it needs the board first.
    pub(crate) fn renewed(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        renewal: Renewal,
    ) -> (bool, bool) {
        let Renewal { process, version, busy, load, lost, .. } = renewal;
        if !self.roster.processes.contains(&process) {
            self.roster.processes.insert(process.clone());
            self.roster.version.seq += 1;
            let seq = self.roster.version.seq;
            self.expect(now, config, process.clone(), seq);
        }
        let current = version == self.board.version;
        let Some(heard) = self.heard.get_mut(&process) else { return (false, false) };
        if version.fence.as_ref() == Some(&self.ballot) {
            (heard.version, heard.at) = (version, Some(now));
            (heard.busy, heard.load, heard.lost) = (busy, load, lost);
        }
        let kept_with = heard.kept_with;
        let known = self.keeps(now, config, voters, kept_with);
        // Leave only under this board: what it confirms is what it is granted for.
        let goes = known && current && self.holds(now);
        if let Some(heard) = self.heard.get_mut(&process).filter(|_| goes) {
            heard.permitted = now + Config::longest(config.lease);
        }
        (goes, !current)
    }

    /// Whether it knows what is out.
    pub(crate) fn remembers(&self) -> bool {
        self.cold.is_none() || self.survivor
    }

    /// Another's board, where it is not known for sure what is out.
    pub(crate) fn shown(&mut self, other: &Board, admitted: bool) {
        self.survivor |= admitted;
        if self.board.absorb(other) {
            self.changed();
        }
    }

    fn changed(&mut self) {
        self.board.version.seq += 1;
    }

    fn note(&mut self, turn: u64, what: &str, why: String) {
        let host = self.board.turn(turn).map_or_else(String::new, |turn| turn.ask.host.clone());
        self.noted.push(Noted { turn, host, what: what.to_owned(), why });
    }

    // Operators.

    /// Takes an order; the answer follows once it is on record.
    pub(crate) fn order(
        &mut self,
        now: Micros,
        config: &Config,
        facts: &Facts,
        from: Name,
        id: u64,
        order: Order,
    ) -> Result<(), Refusal> {
        self.age(now);
        let answer = match order {
            Order::Ask(ask) => self.ask(config, facts, ask)?,
            Order::Withdraw { turn, by } => {
                let open = match self.open(turn) {
                    // Said twice, as where the first answer was lost.
                    Err(Refusal::Ended { end: End::Withdrawn { by: said }, .. }) if said == by => None,
                    open => Some(open?.stage),
                };
                if let Some(stage) = open {
                    self.withdraw(config, turn, stage, by)?;
                }
                Answer::Done
            }
            Order::Done { turn, by } => {
                let Turn { stage, ask, .. } = self.open(turn)?.clone();
                match stage {
                    Stage::Back => {}
                    Stage::Out if ask.by != by => return Err(Refusal::NotYours { turn, by: ask.by }),
                    Stage::Out => {
                        self.note(turn, "back", format!("done by {by}"));
                        self.move_to(turn, Stage::Back);
                        self.changed();
                    }
                    stage => return Err(Refusal::WrongStage { turn, stage }),
                }
                Answer::Turn { id: turn, stage: Stage::Back }
            }
            Order::Gone { name, by } => self.gone(now, config, facts, name, by)?,
            Order::Known { by } => {
                if self.cold.take().is_some() {
                    self.noted.push(Noted {
                        turn: 0,
                        host: String::new(),
                        what: "known".to_owned(),
                        why: format!("all that is out is on the board, by the word of {by}"),
                    });
                }
                Answer::Done
            }
        };
        self.pending.push(Pending { from, id, seq: self.board.version.seq, answer });
        Ok(())
    }

    fn withdraw(&mut self, config: &Config, turn: u64, stage: Stage, by: String) -> Result<(), Refusal> {
        if stage >= Stage::Out {
            return Err(Refusal::WrongStage { turn, stage });
        }
        self.note(turn, "withdrawn", format!("by {by}"));
        self.board.end(turn, End::Withdrawn { by }, config.past_most);
        self.changed();
        Ok(())
    }

    fn open(&self, id: u64) -> Result<&Turn, Refusal> {
        let ended = || self.board.ended(id).map(|past| Refusal::Ended { turn: id, end: past.end.clone() });
        self.board.turn(id).ok_or_else(|| ended().unwrap_or(Refusal::UnknownTurn(id)))
    }

    fn ask(&mut self, config: &Config, facts: &Facts, ask: Ask) -> Result<Answer, Refusal> {
        ask.check(config.limits.longest)?;
        // Asked twice is one request.
        if let Some(turn) = self.board.of_host(&ask.host).filter(|turn| turn.stage != Stage::Back) {
            return Ok(Answer::Turn { id: turn.id, stage: turn.stage });
        }
        if self.board.turns.len() >= config.open_most {
            return Err(Refusal::TooMany(config.open_most));
        }
        if ask.already_out {
            // That is so whatever the limits say; what they say keeps the others waiting.
            let (why, by) = (ask.kind.clone(), ask.by.clone());
            let id = self.board.add(ask, Stage::Out);
            self.note(id, "out", format!("{why}, by {by}: it was out already"));
            self.changed();
            self.move_to(id, Stage::Out);
            return Ok(Answer::Turn { id, stage: Stage::Out });
        }
        if let Some(limit) = config.limits.forbid() {
            return Err(Refusal::Never(format!("the limit {limit} is 0")));
        }
        // Before it has a list itself it can say nothing of hosts.
        if facts.hosts.is_empty() {
            return Err(Refusal::NoHolder);
        }
        if !facts.hosts.contains_key(&ask.host) {
            return Err(Refusal::UnknownHost(ask.host));
        }
        let why = format!("{}, by {}", ask.kind, ask.by);
        let id = self.board.add(ask, Stage::Asked);
        self.note(id, "asked", why);
        self.changed();
        Ok(Answer::Turn { id, stage: Stage::Asked })
    }

    fn gone(
        &mut self,
        now: Micros,
        config: &Config,
        facts: &Facts,
        name: String,
        by: String,
    ) -> Result<Answer, Refusal> {
        let of = |p: &&Process| p.name.as_str() == name;
        let waited: Vec<Process> = self.heard.keys().filter(of).cloned().collect();
        if waited.is_empty() {
            return Err(Refusal::UnknownProcess(name));
        }
        let heard = |p: &Process| {
            let fresh = |h: &Heard| h.lately(now, config);
            let fact = facts.members.get(&p.name);
            let runs = fact.is_some_and(|f| f.life == p.life && f.presence == Presence::Runs);
            runs || self.heard.get(p).is_some_and(fresh)
        };
        let silent: Vec<Process> = waited.into_iter().filter(|p| !heard(p)).collect();
        if silent.is_empty() {
            return Err(Refusal::Runs(name));
        }
        silent.iter().for_each(|process| self.forget(process));
        let (turn, host) = Default::default();
        let why = format!("{name} does not run any more, by the word of {by}");
        self.noted.push(Noted { turn, host, what: "gone".to_owned(), why });
        Ok(Answer::Done)
    }

    /// Orders that are on record by now.
    pub(crate) fn answers(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
    ) -> Vec<(Name, u64, Answer)> {
        let waiting = std::mem::take(&mut self.pending);
        let (ready, waiting): (Vec<Pending>, Vec<Pending>) =
            waiting.into_iter().partition(|p| self.on_record(now, config, voters, p.seq));
        self.pending = waiting;
        ready.into_iter().map(|p| (p.from, p.id, p.answer)).collect()
    }

    // Steps.

    fn forget(&mut self, process: &Process) {
        self.heard.remove(process);
        if self.roster.processes.remove(process) {
            self.roster.version.seq += 1;
        }
    }

    fn age(&mut self, now: Micros) {
        self.board.age(now.saturating_sub(self.board_at));
        self.board_at = now;
    }

    fn move_to(&mut self, id: u64, stage: Stage) {
        // It is there with the board that is told next.
        let since_seq = self.board.version.seq + 1;
        if let Some(turn) = self.board.turn_mut(id) {
            (turn.stage, turn.since_seq, turn.age, turn.free) = (stage, since_seq, 0, false);
            turn.waits_for.clear();
        }
    }

    /// Processes that have ended, by the membership's word, are waited for no longer.
    fn part(&mut self, now: Micros, config: &Config, facts: &Facts, me: &Process) {
        let unheard = |process: &Process| {
            self.heard
                .get(process)
                .is_some_and(|h| now.saturating_sub(h.at.unwrap_or(h.known)) > config.lease)
        };
        let ended = |process: &&Process| {
            let Some(fact) = facts.members.get(&process.name) else { return false };
            if fact.life != process.life {
                // Two processes cannot listen at one address. Which of them is the later the membership may not have
                // heard yet; but one that ended before the other began answers nothing.
                return fact.at == process.at && fact.presence == Presence::Runs && unheard(process);
            }
            match fact.presence {
                Presence::Ended => true,
                // It answers what it has taken, and then it is gone.
                Presence::Left => now.saturating_sub(fact.since) >= Config::longest(config.longest_call),
                Presence::Runs | Presence::Doubted | Presence::Silent => false,
            }
        };
        let ended: Vec<Process> = self.heard.keys().filter(ended).cloned().collect();
        ended.iter().for_each(|process| self.forget(process));
        // An earlier process of this one's own name ended before this one could listen.
        let before = |p: &&Process| p.name == me.name && p.at == me.at && p.life != me.life;
        let before: Vec<Process> = self.heard.keys().filter(before).cloned().collect();
        before.iter().for_each(|process| self.forget(process));
    }

    /// Whom a settled turn waits for: all must know that it is announced.
    fn not_announced(&self, seq: u64) -> Option<&Process> {
        self.heard.iter().find(|(_, heard)| !heard.goes_by(&self.ballot, seq)).map(|(process, _)| process)
    }

    /// Whom a draining turn waits for, and why: all have stopped and have nothing there, or their permission has run
    /// out and with it whatever they can have had in hand.
    fn not_drained(&self, now: Micros, config: &Config, seq: u64, host: &str) -> Option<String> {
        self.heard.iter().find_map(|(process, heard)| {
            let knows = heard.goes_by(&self.ballot, seq);
            let busy = heard.busy.get(host).copied().unwrap_or(0);
            let name = &process.name;
            match (knows, busy) {
                (true, 0) => None,
                (true, calls) => Some(format!("{name} has {calls} calls in hand there")),
                (false, _) if now >= heard.permitted + Config::longest(config.longest_call) => None,
                (false, _) => {
                    Some(format!("{name} has not confirmed, and may send until its permission runs out"))
                }
            }
        })
    }

    /// Does what can be done. Whether the board is another then.
    pub(crate) fn step(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        facts: &Facts,
        me: &Process,
    ) -> bool {
        if !self.holds(now) {
            return false;
        }
        self.age(now);
        self.part(now, config, facts, me);
        if self.cold.is_some_and(|since| now.saturating_sub(since) >= config.cold_wait) {
            self.cold = None;
        }
        let before = self.board.version.seq;
        let ids: Vec<u64> = self.board.turns.iter().map(|turn| turn.id).collect();
        let mut moved = false;
        for id in ids {
            moved |= self.step_turn(now, config, voters, facts, id);
        }
        moved |= self.settle_next(now, config, facts);
        if moved {
            self.changed();
        }
        self.board.version.seq != before
    }

    fn step_turn(&mut self, now: Micros, config: &Config, voters: &Voters, facts: &Facts, id: u64) -> bool {
        let Some(turn) = self.board.turn(id) else { return false };
        let Turn { stage, since_seq: seq, age, free, .. } = *turn;
        let (host, late) = (turn.ask.host.clone(), turn.ask.not_after == Some(0));
        let overdue = age > turn.ask.lasts;
        let why = match stage {
            Stage::Asked | Stage::Settled if late => {
                let why = turn.waits_for.clone();
                self.note(id, "expired", why.clone());
                self.board.end(id, End::Expired { why }, config.past_most);
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
            Stage::Draining => match self.not_drained(now, config, seq, &host) {
                None => {
                    self.note(id, "out", "nothing is sent there and nothing runs there".to_owned());
                    self.move_to(id, Stage::Out);
                    return true;
                }
                Some(why) if age >= config.drain_most => {
                    self.note(id, "failed", why.clone());
                    self.board.end(id, End::Failed { why }, config.past_most);
                    return true;
                }
                Some(why) => why,
            },
            Stage::Out if !free && self.on_record(now, config, voters, seq) => {
                self.note(id, "free", "a majority of voters knows that it is out".to_owned());
                if let Some(turn) = self.board.turn_mut(id) {
                    turn.free = true;
                }
                return true;
            }
            Stage::Out if overdue => "it is overdue: it should be back".to_owned(),
            Stage::Out => String::new(),
            Stage::Back => {
                let fact = facts.hosts.get(&host);
                let warm = fact.is_some_and(|f| f.ready && f.warmth >= 1_000 && !f.failing);
                if warm || age >= config.back_most {
                    let why = if warm { "it is warm" } else { "it has not shown itself warm in time" };
                    self.note(id, "done", why.to_owned());
                    self.board.end(id, End::Done, config.past_most);
                    return true;
                }
                "it is not warm yet".to_owned()
            }
        };
        self.waits(id, why);
        false
    }

    /// What a turn waits for is told along with the next board: it is no news by itself.
    fn waits(&mut self, id: u64, why: String) {
        if let Some(turn) = self.board.turn_mut(id).filter(|turn| turn.waits_for != why) {
            turn.waits_for = why;
        }
    }

    fn settle_next(&mut self, now: Micros, config: &Config, facts: &Facts) -> bool {
        let load = self.heard.values().map(|h| u64::from(h.load)).sum();
        let lost: BTreeSet<String> = self.heard.values().flat_map(|h| h.lost.iter().cloned()).collect();
        let standstill = self.standstill(now, config, facts);
        let (board, limits) = (&self.board, &config.limits);
        let (next, kept) = Scene { board, facts, limits, load, lost: &lost, standstill }.next();
        for (id, obstacle) in kept {
            self.waits(id, obstacle.to_string());
        }
        let Some(id) = next else { return false };
        self.note(id, "settled", "it is its turn".to_owned());
        self.move_to(id, Stage::Settled);
        true
    }

    /// What keeps every turn waiting.
    fn standstill(&self, now: Micros, config: &Config, facts: &Facts) -> Option<Obstacle> {
        if self.cold.is_some() {
            return Some(Obstacle::Forgotten);
        }
        // Its own word is not enough to know the fleet: it must have heard all, or know what became of them.
        let doubted = facts.members.iter().find(|(_, f)| f.presence == Presence::Doubted);
        if let Some((name, _)) = doubted {
            return Some(Obstacle::Unsettled(format!("{name} is doubted")));
        }
        let silent = |h: &Heard| !h.lately(now, config);
        let unheard = self.heard.iter().find(|(_, heard)| silent(heard));
        unheard.map(|(p, _)| Obstacle::Unsettled(format!("{} is not heard and may still send", p.name)))
    }

    /// Whom the board is told to now: all that may send, or those that have lately been heard and do not go by it yet,
    /// where it was sent to them long enough ago.
    pub(crate) fn tell_now(&mut self, now: Micros, config: &Config, all: bool) -> Vec<Name> {
        let current = self.board.version.clone();
        let due = |h: &Heard| h.version != current && now >= h.told + config.tell_again();
        let mut told = Vec::new();
        for (process, heard) in self.heard.iter_mut().filter(|(_, heard)| all || due(heard)) {
            heard.told = now;
            if all || heard.lately(now, config) {
                told.push(process.name.clone());
            }
        }
        told
    }

    /// When somebody is told again, if nothing comes meanwhile.
    pub(crate) fn next_telling(&self, config: &Config) -> Micros {
        let behind = |h: &&Heard| h.version != self.board.version && h.at.is_some();
        let heard = self.heard.values().filter(behind);
        // Those that are no longer heard are told when they are heard again.
        let due = heard.filter(|h| h.lately(h.told, config)).map(|h| h.told + config.tell_again());
        due.min().unwrap_or(Micros::MAX)
    }

    pub(crate) fn rows(&self, now: Micros) -> Vec<crate::view::MemberRow> {
        let row = |(p, h): (&Process, &Heard)| crate::view::MemberRow {
            name: p.name.to_string(),
            life: format!("{:016x}", p.life),
            confirmed: h.version.to_string(),
            heard_ms: h.at.map(|at| now.saturating_sub(at) / 1_000),
            in_hand: f64::from(h.load) / 1_000.0,
        };
        self.heard.iter().map(row).collect()
    }
}
