//! One process: its parts, and what passes between them and the others.

use crate::ballot::Ballot;
use crate::board::Board;
use crate::config::Config;
use crate::facts::Facts;
use crate::holder::{Bid, Holder, Noted};
use crate::member::{Member, Serving, Usage};
use crate::message::{Message, Process, Promise, Renewal};
use crate::order::{Answer, Order, Refusal};
use crate::view::View;
use crate::voter::Voter;
use crate::voters::Voters;
use crate::Micros;
use flaxhead_membership::Name;
use rand_core::RngCore;
use std::collections::VecDeque;

/// Orders that may wait to be passed on, or for their answer.
const ORDERS_MOST: usize = 64;
/// How many times as often as others one that is not let in yet asks for leave.
const ADMISSION_PACE: Micros = 6;
/// Doublings of the pause between two bids: to two leases.
const BID_DOUBLINGS: u32 = 3;

/// What a process is given with everything that happens.
pub struct Around<'a> {
    /// The time, from any fixed point before the process's start.
    pub now: Micros,
    /// What it knows from elsewhere.
    pub facts: &'a Facts,
    /// What it draws from.
    pub random: &'a mut dyn RngCore,
}

/// A step of a turn, for the trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// Which turn; 0: none.
    pub turn: u64,
    /// Of which host.
    pub host: String,
    /// What became of it.
    pub what: String,
    /// Why.
    pub why: String,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// A message to another process.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message,
    },
    /// An operator's order has its answer.
    Answer {
        /// Which.
        id: u64,
        /// What.
        result: Result<Answer, Refusal>,
    },
    /// This process hands out turns from now on, or no longer.
    Holds(Option<Ballot>),
    /// A step, at the holder.
    Noted(Step),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    id: u64,
    order: Order,
    until: Micros,
    again: Micros,
}

/// One process's part in what is settled in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    config: Config,
    voters: Voters,
    me: Process,
    voter: Option<Voter>,
    member: Member,
    bid: Option<Bid>,
    bid_at: Micros,
    /// Bids in a row that came to nothing.
    tries: u32,
    holder: Option<Box<Holder>>,
    renew_at: Micros,
    round_at: Micros,
    /// Who hands out turns, as far as is known, and when it was last heard.
    elsewhere: Option<(Name, Micros)>,
    ask_next: usize,
    usage: Usage,
    waiting: VecDeque<Waiting>,
    /// What it says to itself, taken at the end of each step.
    inbox: VecDeque<Message>,
}

impl Machine {
    /// A process that starts.
    pub fn new(config: Config, voters: Voters, me: Process, now: Micros) -> Machine {
        let voter = voters.has(&me.name).then(|| Voter::new(now, &config));
        Machine {
            bid: None,
            bid_at: now + config.silence(),
            tries: 0,
            holder: None,
            renew_at: now,
            round_at: now,
            elsewhere: None,
            ask_next: 0,
            usage: Usage::default(),
            waiting: VecDeque::new(),
            inbox: VecDeque::new(),
            member: Member::new(now),
            config,
            voters,
            me,
            voter,
        }
    }

    /// What it is.
    pub fn me(&self) -> &Process {
        &self.me
    }

    /// The voters that it goes by.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The board that it goes by.
    pub fn board(&self) -> &Board {
        &self.member.board
    }

    /// Its number, while it hands out turns.
    pub fn holds(&self, now: Micros) -> Option<&Ballot> {
        self.holder.as_ref().filter(|holder| holder.holds(now)).map(|holder| &holder.ballot)
    }

    /// What it does with its hosts.
    pub fn serving(&self, now: Micros) -> Serving {
        self.member.serving(now, &self.config)
    }

    /// Whether something new may go to a host.
    pub fn may_send(&self, now: Micros, host: &str) -> bool {
        self.serving(now) != Serving::Waits && self.member.spared_from(host).is_none_or(|from| now < from)
    }

    /// Hosts that nothing new goes to, each from a moment on.
    pub fn spared(&self) -> Vec<(String, Micros)> {
        self.member.spared()
    }

    /// What this process has in hand.
    pub fn use_of_hosts(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// When [`Machine::tick`] is wanted next.
    pub fn next_wake(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake);
        let bid = if self.voter.is_some() && self.holder.is_none() { self.bid_at } else { Micros::MAX };
        let round = if self.holder.is_some() { self.round_at } else { Micros::MAX };
        let telling = self.holder.as_ref().map_or(Micros::MAX, |holder| holder.next_telling(&self.config));
        let order = self.waiting.iter().map(|w| w.again.min(w.until)).min().unwrap_or(Micros::MAX);
        [voter, bid, round, telling, order, self.renew_at].into_iter().min().unwrap_or(self.renew_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        self.step_down_late(around, out);
        self.recall(around, out);
        self.run_for_it(around, out);
        if self.holder.is_some() && around.now >= self.round_at {
            self.renew_lease(around, out);
        }
        if around.now >= self.renew_at {
            self.renew(around, out);
        }
        self.work(around, out);
        self.pass_on(around, out);
        self.hear_oneself(around, out);
    }

    /// An operator orders something here; an [`Effect::Answer`] follows within `patience`.
    pub fn order(
        &mut self,
        around: &mut Around<'_>,
        id: u64,
        order: Order,
        patience: Micros,
        out: &mut Vec<Effect>,
    ) {
        if self.waiting.len() >= ORDERS_MOST {
            return out.push(Effect::Answer { id, result: Err(Refusal::TooMany(ORDERS_MOST)) });
        }
        let (until, again) = (around.now + patience, around.now);
        self.waiting.push_back(Waiting { id, order, until, again });
        self.tick(around, out);
    }

    /// A message came.
    pub fn receive(&mut self, around: &mut Around<'_>, from: &Name, message: Message, out: &mut Vec<Effect>) {
        if *from != self.me.name {
            self.handle(around, from, message, out);
            self.hear_oneself(around, out);
        }
    }

    fn handle(&mut self, around: &mut Around<'_>, from: &Name, message: Message, out: &mut Vec<Effect>) {
        self.step_down_late(around, out);
        let now = around.now;
        match message {
            Message::Prepare { ballot, marks } => {
                if ballot.name != *from || !self.voters.agree(marks) {
                    return;
                }
                let (life, board) = (self.me.life, self.member.board_now(now));
                let answer = self.voter.as_mut().and_then(|v| v.prepare(now, life, ballot, &board));
                if matches!(answer, Some(Message::Promised(_))) && *from != self.me.name {
                    // Whoever came first shall come through.
                    self.bid_at = self.bid_at.max(now + self.config.renew_every() + self.jitter(around));
                }
                self.reply(from, answer, out);
            }
            Message::Promised(promise) => self.promised(from, *promise, out),
            Message::Denied { ballot, promised, lease_left } => {
                self.denied(around, ballot, promised, lease_left);
            }
            Message::Propose { ballot, round, life, sure, roster } => {
                if ballot.name != *from {
                    return;
                }
                let (own, config) = (self.me.life, &self.config);
                let voter = self.voter.as_mut();
                let granted = ballot.clone();
                let answer =
                    voter.and_then(|v| v.propose(now, config, (life, own), ballot, round, sure, roster));
                if matches!(answer, Some(Message::Accepted { .. })) && self.member.hears(&granted) {
                    self.elsewhere = Some((from.clone(), now));
                }
                self.reply(from, answer, out);
            }
            Message::Accepted { ballot, round, life, roster } => {
                self.accepted(around, from, ballot, round, (life, &roster), out);
            }
            Message::Recall { nonce, marks } => {
                if !self.voters.agree(marks) {
                    return;
                }
                let board = self.member.board_now(now);
                let answer = self.voter.as_ref().map(|voter| voter.recalled_by(now, nonce, &board));
                self.reply(from, answer, out);
            }
            Message::Recalled { nonce, known, promised, lease_left, roster, board } => {
                let (voters, config) = (&self.voters, &self.config);
                let knows = (known, promised, roster, board);
                let board = self.voter.as_mut().and_then(|voter| {
                    let majority = |in_it: &dyn Fn(&Name) -> bool| voters.majority(in_it);
                    voter.take_recalled(now, config, from, nonce, knows, majority, &self.me.name)
                });
                if self.voter.as_ref().is_some_and(|voter| !voter.votes()) {
                    self.bid_at = self.bid_at.max(now + lease_left);
                }
                if let Some(board) = board {
                    self.member.told(now, board);
                    self.bid_at = self.bid_at.max(now + lease_left) + self.jitter(around);
                }
            }
            Message::Tell { board } => {
                let fence = board.version.fence.clone();
                if fence.as_ref().is_none_or(|fence| fence.name != *from) {
                    return;
                }
                if self.member.told(now, board) {
                    self.elsewhere = Some((from.clone(), now));
                    self.give_way(around, out);
                    self.renew(around, out);
                } else {
                    let fence = self.member.fence.clone();
                    let holder = self.known_holder(now);
                    self.send(from, Message::NotHolder { holder, fence }, out);
                }
            }
            Message::Renew(renewal) => self.asked_for_leave(around, from, *renewal, out),
            Message::Show { ballot } => {
                if ballot.name == *from && self.member.hears(&ballot) {
                    let board = self.member.board_now(now);
                    let admitted = self.member.admitted;
                    self.send(from, Message::Shown { ballot, board, admitted }, out);
                }
            }
            Message::Shown { ballot, board, admitted } => {
                let holder = self.holder.as_mut().filter(|holder| holder.ballot == ballot);
                if let Some(holder) = holder.filter(|holder| holder.cold.is_some()) {
                    holder.shown(&board, admitted);
                    self.work(around, out);
                    self.tell(from, out);
                }
            }
            Message::Granted { ballot, life, stamp, remembers } => {
                if ballot.name == *from && life == self.me.life && stamp <= now && self.member.hears(&ballot)
                {
                    self.member.granted(now, stamp, remembers, &self.config);
                    self.elsewhere = Some((from.clone(), now));
                }
            }
            Message::NotHolder { holder, fence } => {
                if let Some(fence) = fence {
                    self.outbid(around, &fence, out);
                }
                if self.elsewhere.as_ref().is_some_and(|(name, _)| name == from) {
                    self.elsewhere = None;
                }
                if let Some(name) = holder.filter(|name| self.voters.has(name) && name != from) {
                    self.elsewhere.get_or_insert((name, now));
                }
            }
            Message::Order { id, order } => {
                let taken = self.take_order(around, from, id, order);
                if let Err(refusal) = taken {
                    self.send(from, Message::Answer { id, result: Err(refusal) }, out);
                }
                self.work(around, out);
            }
            Message::Answer { id, result } => self.answered(id, result, out),
        }
    }

    // The lease.

    fn jitter(&self, around: &mut Around<'_>) -> Micros {
        let most = self.config.renew_every();
        (u64::from(around.random.next_u32()) * most.min(u64::from(u32::MAX))) >> 32
    }

    /// Who bids again waits longer each time, so that of several one comes through whatever the way between them takes.
    fn bid_again(&mut self, around: &mut Around<'_>, after: Micros) {
        let span = self.config.renew_every() << self.tries.min(BID_DOUBLINGS);
        self.tries = self.tries.saturating_add(1);
        let drawn = (u64::from(around.random.next_u32()) * span.min(u64::from(u32::MAX))) >> 32;
        self.bid_at = around.now + after + span / 2 + drawn;
    }

    /// A lease that has run out is over, whatever this process was about to do with it.
    fn step_down_late(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        if self.holder.as_ref().is_some_and(|holder| !holder.holds(around.now)) {
            self.step_down(around, out);
        }
    }

    fn step_down(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        if self.holder.take().is_some() {
            out.push(Effect::Holds(None));
        }
        self.bid = None;
        self.bid_at = around.now + self.config.renew_every() + self.jitter(around);
    }

    /// Somebody with a greater number was heard of.
    fn give_way(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        if let Some(fence) = self.member.fence.clone() {
            self.outbid(around, &fence, out);
        }
    }

    fn outbid(&mut self, around: &mut Around<'_>, fence: &Ballot, out: &mut Vec<Effect>) {
        if self.holder.as_ref().is_some_and(|holder| holder.ballot < *fence) {
            self.member.hears(fence);
            self.step_down(around, out);
        }
    }

    fn recall(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let Some(nonce) = self.voter.as_mut().and_then(|voter| voter.recall(around.now, &self.config)) else {
            return;
        };
        let marks = self.voters.marks();
        let others: Vec<Name> = self.others().collect();
        for to in others {
            self.send(&to, Message::Recall { nonce, marks }, out);
        }
        // A voter without any other has nobody to ask.
        let alone = self.voters.majority(|name| *name == self.me.name);
        if let Some(voter) = self.voter.as_mut().filter(|_| alone) {
            voter.known = crate::voter::Known::Cold;
        }
    }

    fn others(&self) -> impl Iterator<Item = Name> + '_ {
        self.voters.iter().filter(|name| **name != self.me.name).cloned()
    }

    /// Tries to become the holder, where nobody else is.
    fn run_for_it(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let now = around.now;
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.votes()) else { return };
        if self.holder.is_some() || now < self.bid_at {
            return;
        }
        let left = voter.lease_left(now, None);
        if left > 0 || !around.facts.takes_part {
            self.bid = None;
            self.bid_at = now + left.max(self.config.renew_every() / 2) + self.jitter(around);
            return;
        }
        let highest = voter.promised.as_ref().max(self.member.fence.as_ref()).map_or(0, |b| b.round);
        let ballot = Ballot { round: highest + 1, name: self.me.name.clone(), life: self.me.life };
        let (promises, granted) = Default::default();
        self.bid = Some(Bid { ballot: ballot.clone(), sent: now, promises, granted, proposed: false });
        self.bid_again(around, 0);
        let marks = self.voters.marks();
        let others: Vec<Name> = self.others().collect();
        for to in others {
            self.send(&to, Message::Prepare { ballot: ballot.clone(), marks }, out);
        }
        let (life, board, name) = (self.me.life, self.member.board_now(now), self.me.name.clone());
        let own = self.voter.as_mut().and_then(|voter| voter.prepare(now, life, ballot, &board));
        self.reply(&name, own, out);
    }

    fn promised(&mut self, from: &Name, promise: Promise, out: &mut Vec<Effect>) {
        if !self.voters.has(from) {
            return;
        }
        if let Some(holder) = self.holder.as_mut().filter(|holder| holder.ballot == promise.ballot) {
            holder.joined(from, promise);
            return self.propose_to(from, out);
        }
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.ballot == promise.ballot) else { return };
        bid.promises.insert(from.clone(), promise);
        let promises = &bid.promises;
        if !bid.proposed && !self.voters.majority(|name| promises.contains_key(name)) {
            return;
        }
        // Those that promise later are asked as they come.
        let asked: Vec<Name> = match std::mem::replace(&mut bid.proposed, true) {
            false => bid.promises.keys().cloned().collect(),
            true => vec![from.clone()],
        };
        for to in asked {
            let Some(bid) = &self.bid else { return };
            let Some(promise) = bid.promises.get(&to) else { continue };
            let (ballot, life, roster) = (bid.ballot.clone(), promise.life, Default::default());
            self.send(&to, Message::Propose { ballot, round: 1, life, sure: false, roster }, out);
        }
    }

    /// To another, or to oneself.
    fn send(&mut self, to: &Name, message: Message, out: &mut Vec<Effect>) {
        if *to == self.me.name {
            self.inbox.push_back(message);
        } else {
            out.push(Effect::Send { to: to.clone(), message });
        }
    }

    fn reply(&mut self, to: &Name, message: Option<Message>, out: &mut Vec<Effect>) {
        if let Some(message) = message {
            self.send(to, message, out);
        }
    }

    fn hear_oneself(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let me = self.me.name.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.handle(around, &me, message, out);
        }
    }

    fn denied(
        &mut self,
        around: &mut Around<'_>,
        ballot: Ballot,
        promised: Option<Ballot>,
        lease_left: Micros,
    ) {
        // A voter that has promised more to another takes nothing from the lease that runs.
        if self.bid.as_ref().is_some_and(|bid| bid.ballot == ballot) {
            // The next number is above what the other has promised.
            let voter = self.voter.as_mut();
            if let (Some(voter), Some(promised)) = (voter, promised) {
                voter.promised = voter.promised.take().max(Some(promised));
            }
            self.bid = None;
            self.bid_again(around, lease_left);
        }
    }

    fn accepted(
        &mut self,
        around: &mut Around<'_>,
        from: &Name,
        ballot: Ballot,
        round: u64,
        kept: (u64, &crate::Version),
        out: &mut Vec<Effect>,
    ) {
        let now = around.now;
        if let Some(holder) = self.holder.as_mut().filter(|holder| holder.ballot == ballot) {
            holder.accepted(now, &self.config, &self.voters, from, round, kept);
            return self.work(around, out);
        }
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.ballot == ballot) else { return };
        // The lease counts from the bid's start: what comes too late grants nothing.
        if now >= bid.sent + self.config.lease || bid.promises.get(from).is_none_or(|p| p.life != kept.0) {
            return;
        }
        bid.granted.insert(from.clone());
        let granted = &bid.granted;
        if !self.voters.majority(|name| granted.contains(name)) || !self.member.hears(&ballot) {
            return;
        }
        let Some(bid) = self.bid.take() else { return };
        let own = self.member.board_now(now);
        let holder =
            Holder::new(now, &self.config, &self.voters, bid, (&own, self.member.admitted), self.me.clone());
        self.member.told(now, holder.board.clone());
        self.holder = Some(Box::new(holder));
        self.tries = 0;
        self.elsewhere = Some((self.me.name.clone(), now));
        out.push(Effect::Holds(Some(ballot)));
        self.renew_lease(around, out);
        self.tell_those(around, true, out);
        self.renew(around, out);
    }

    /// Asks the voters for more of the lease, and those that have not promised for that first.
    fn renew_lease(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let now = around.now;
        let Some(holder) = self.holder.as_mut() else { return };
        self.round_at = now + self.config.renew_every();
        // One that finds itself cut off lets go.
        if !around.facts.takes_part {
            return;
        }
        holder.next_round(now);
        let (ballot, marks) = (holder.ballot.clone(), self.voters.marks());
        let all: Vec<Name> = self.voters.iter().cloned().collect();
        for to in all {
            let Some(holder) = &self.holder else { return };
            let message = match holder.lives.contains_key(&to) {
                true => self.proposal(holder, &to),
                false => Some(Message::Prepare { ballot: ballot.clone(), marks }),
            };
            if let Some(message) = message {
                self.send(&to, message, out);
            }
        }
        // One that lost its promise is asked for it anew.
        let forgot: Vec<Name> =
            self.voters.iter().filter(|name| self.is_silent(now, name)).cloned().collect();
        for to in forgot {
            self.send(&to, Message::Prepare { ballot: ballot.clone(), marks }, out);
        }
    }

    fn is_silent(&self, now: Micros, voter: &Name) -> bool {
        let silent = |holder: &Holder| {
            holder.lives.contains_key(voter) && !holder.granted_lately(now, &self.config, voter)
        };
        *voter != self.me.name && self.holder.as_ref().is_some_and(|holder| silent(holder))
    }

    fn proposal(&self, holder: &Holder, to: &Name) -> Option<Message> {
        let life = *holder.lives.get(to)?;
        let (ballot, round, sure, roster) =
            (holder.ballot.clone(), holder.round, holder.cold.is_none(), holder.roster.clone());
        Some(Message::Propose { ballot, round, life, sure, roster })
    }

    fn propose_to(&mut self, to: &Name, out: &mut Vec<Effect>) {
        let message = self.holder.as_ref().and_then(|holder| self.proposal(holder, to));
        self.reply(to, message, out);
    }

    // Leave to send.

    fn known_holder(&self, now: Micros) -> Option<Name> {
        let fresh = |(_, at): &&(Name, Micros)| now.saturating_sub(*at) <= self.config.lease;
        self.elsewhere.as_ref().filter(fresh).map(|(name, _)| name.clone())
    }

    fn renewal(&self, now: Micros, facts: &Facts) -> Renewal {
        // Only hosts that are left alone are of interest.
        let spared = |host: &&String| self.member.spared_from(host).is_some();
        let busy = self.usage.in_hand.iter().filter(|(host, calls)| **calls > 0 && spared(host));
        Renewal {
            process: self.me.clone(),
            stamp: now,
            version: self.member.board.version.clone(),
            fence: self.member.fence.clone(),
            busy: busy.map(|(host, calls)| (host.clone(), *calls)).collect(),
            load: self.usage.load,
            lost: facts.lost_zones.clone(),
        }
    }

    /// Asks for leave: the holder where it is known, else one voter after the other.
    fn renew(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let now = around.now;
        let every = self.config.renew_every();
        // One that waits to be let in asks more often.
        let every = if self.member.admitted { every } else { every / ADMISSION_PACE };
        self.renew_at = now + every - every / 8 + self.jitter(around) / 4 * every / self.config.renew_every();
        let to = self.known_holder(now).or_else(|| {
            let all: Vec<&Name> = self.voters.iter().collect();
            self.ask_next = (self.ask_next + 1) % all.len().max(1);
            all.get(self.ask_next).map(|name| (*name).clone())
        });
        if let Some(to) = to.filter(|to| *to != self.me.name || self.holder.is_some()) {
            let renewal = Message::Renew(Box::new(self.renewal(now, around.facts)));
            self.send(&to, renewal, out);
        }
    }

    fn asked_for_leave(
        &mut self,
        around: &mut Around<'_>,
        from: &Name,
        renewal: Renewal,
        out: &mut Vec<Effect>,
    ) {
        let now = around.now;
        if renewal.process.name != *from {
            return;
        }
        // A survivor may have heard of a greater number than those that have forgotten.
        if let Some(fence) = renewal.fence.clone() {
            self.outbid(around, &fence, out);
        }
        let Some(holder) = self.holder.as_mut().filter(|holder| holder.holds(now)) else {
            let (holder, fence) = (self.known_holder(now), self.member.fence.clone());
            return self.send(from, Message::NotHolder { holder, fence }, out);
        };
        let (ballot, life, stamp) = (holder.ballot.clone(), renewal.process.life, renewal.stamp);
        let older = renewal.version.fence.as_ref().is_some_and(|fence| *fence != ballot);
        let show = holder.cold.is_some() && older;
        let roster = holder.roster.version.seq;
        let (goes, behind) = holder.renewed(now, &self.config, &self.voters, renewal);
        let enrolled = holder.roster.version.seq != roster;
        let remembers = holder.remembers();
        if goes {
            self.send(from, Message::Granted { ballot: ballot.clone(), life, stamp, remembers }, out);
        }
        if show {
            self.send(from, Message::Show { ballot }, out);
        } else if behind {
            self.tell(from, out);
        }
        if enrolled {
            // It is let in once the voters know of it: they are told at once.
            self.renew_lease(around, out);
        }
        self.work(around, out);
    }

    fn tell(&mut self, to: &Name, out: &mut Vec<Effect>) {
        let board = self.holder.as_ref().map(|holder| holder.board.clone());
        if let Some(board) = board.filter(|_| *to != self.me.name) {
            self.send(to, Message::Tell { board }, out);
        }
    }

    /// Tells `all`, or those that have not confirmed.
    fn tell_those(&mut self, around: &Around<'_>, all: bool, out: &mut Vec<Effect>) {
        let (now, config) = (around.now, &self.config);
        let to = self.holder.as_mut().map(|holder| holder.tell_now(now, config, all)).unwrap_or_default();
        for to in to {
            self.tell(&to, out);
        }
    }

    // Turns.

    /// The holder does what can be done, and says so.
    fn work(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let now = around.now;
        let Some(holder) = self.holder.as_mut() else { return };
        let changed = holder.step(now, &self.config, &self.voters, around.facts, &self.me);
        let news = changed || holder.board.version > self.member.board.version;
        let noted: Vec<Noted> = std::mem::take(&mut holder.noted);
        out.extend(
            noted
                .into_iter()
                .map(|Noted { turn, host, what, why }| Effect::Noted(Step { turn, host, what, why })),
        );
        if news {
            let board = holder.board.clone();
            self.member.told(now, board);
            self.tell_those(around, true, out);
            // Its own word is one of those that are waited for.
            return self.renew(around, out);
        }
        self.tell_those(around, false, out);
        let Some(holder) = self.holder.as_mut() else { return };
        let answers = holder.answers(now, &self.config, &self.voters);
        for (to, id, answer) in answers {
            if to == self.me.name {
                self.answered(id, Ok(answer), out);
            } else {
                self.send(&to, Message::Answer { id, result: Ok(answer) }, out);
            }
        }
    }

    fn take_order(
        &mut self,
        around: &mut Around<'_>,
        from: &Name,
        id: u64,
        order: Order,
    ) -> Result<(), Refusal> {
        let now = around.now;
        let holder = self.holder.as_mut().filter(|holder| holder.holds(now)).ok_or(Refusal::NoHolder)?;
        holder.order(now, &self.config, around.facts, from.clone(), id, order)
    }

    /// Orders that were given here go to the holder, again and again until they are answered.
    fn pass_on(&mut self, around: &mut Around<'_>, out: &mut Vec<Effect>) {
        let now = around.now;
        let holder = self.known_holder(now);
        let (late, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(|w| now >= w.until);
        self.waiting = waiting;
        let refusal = if holder.is_some() { Refusal::TimedOut } else { Refusal::NoHolder };
        let late: VecDeque<Waiting> = late;
        out.extend(late.into_iter().map(|w| Effect::Answer { id: w.id, result: Err(refusal.clone()) }));
        let Some(holder) = holder else {
            let again = now + self.config.renew_every() / 4 + 1;
            self.waiting.iter_mut().for_each(|w| w.again = w.again.max(again));
            return;
        };
        let every = self.config.renew_every();
        let due: Vec<(u64, Order)> = self
            .waiting
            .iter_mut()
            .filter(|w| now >= w.again)
            .map(|w| {
                w.again = now + every;
                (w.id, w.order.clone())
            })
            .collect();
        for (id, order) in due {
            if holder == self.me.name {
                match self.take_order(around, &holder, id, order) {
                    Ok(()) | Err(Refusal::NoHolder) => self.work(around, out),
                    Err(refusal) => self.answered(id, Err(refusal), out),
                }
            } else {
                self.send(&holder, Message::Order { id, order }, out);
            }
        }
    }

    fn answered(&mut self, id: u64, result: Result<Answer, Refusal>, out: &mut Vec<Effect>) {
        // Another may hold by now, and is asked next.
        if result == Err(Refusal::NoHolder) {
            return;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        if self.waiting.len() != before {
            out.push(Effect::Answer { id, result });
        }
    }

    /// What there is to show.
    pub fn view(&self, now: Micros) -> View {
        let holder = self.holder.as_ref().filter(|holder| holder.holds(now));
        let mut board = self.member.board_now(now);
        if let Some(holder) = holder {
            // What its turns wait for is told with the next change only.
            for turn in &mut board.turns {
                let own = holder.board.turn(turn.id).map(|own| own.waits_for.clone());
                turn.waits_for = own.unwrap_or_default();
            }
        }
        View {
            me: self.me.name.to_string(),
            holder: self.known_holder(now).map(|name| name.to_string()),
            fence: self.member.fence.as_ref().map(Ballot::to_string),
            holds: holder.is_some(),
            forgotten: holder.is_some_and(|holder| holder.cold.is_some()),
            serving: format!("{:?}", self.serving(now)).to_lowercase(),
            permitted_ms: self.member.permitted.saturating_sub(now) / 1_000,
            version: board.version.to_string(),
            voter: self.voter.as_ref().map(|voter| voter.known),
            turns: board.turns.iter().map(Into::into).collect(),
            past: board.past.iter().cloned().collect(),
            members: holder.map_or_else(Vec::new, |holder| holder.rows(now)),
        }
    }
}
