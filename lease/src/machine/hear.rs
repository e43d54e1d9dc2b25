//! What happens to a process: time, orders and messages.

use super::state::{Around, Effect, Machine, Waiting};
use crate::application::{Application, Granted};
use crate::message::Message;
use crate::terms::Unsettled;
use crate::voter::Voter;
use flaxhead_membership::{Micros, Name};

/// Orders that may wait to be passed on, or for their answer.
const ORDERS_MOST: usize = 64;

impl<M: Application> Machine<M> {
    /// When [`Machine::tick`] is wanted next.
    pub fn next_wake(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake);
        let bid = if self.voter.is_some() && self.holder.is_none() { self.bid_at } else { Micros::MAX };
        let round = if self.holder.is_some() { self.round_at } else { Micros::MAX };
        let telling =
            self.holder.as_ref().map_or(Micros::MAX, |holder| holder.hold.next_telling(&self.config));
        let order = self.waiting.iter().map(|w| w.again.min(w.until)).min().unwrap_or(Micros::MAX);
        let ask = if self.member.admitted { Micros::MAX } else { self.member.waiting.ask_at };
        [voter, bid, round, telling, order, ask, self.next_renewal()]
            .into_iter()
            .min()
            .unwrap_or(self.renew_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        self.step_down_late(around, out);
        self.begin(around);
        self.recall(around, out);
        self.inquire(around, out);
        self.run_for_it(around, out);
        if self.holder.is_some() && around.now >= self.round_at {
            self.renew_lease(around, out);
        }
        if around.now >= self.next_renewal() {
            self.renew(around, out);
        }
        self.work(around, out);
        self.pass_on(around, out);
        self.hear_oneself(around, out);
    }

    /// An operator orders something here; an [`Effect::Answer`] follows within `patience`.
    pub fn order(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        id: u64,
        order: M::Order,
        patience: Micros,
        out: &mut Vec<Effect<M>>,
    ) {
        if self.waiting.len() >= ORDERS_MOST {
            return out.push(Effect::Answer { id, result: Err(Unsettled::TooMany(ORDERS_MOST).into()) });
        }
        let (until, again) = (around.now + patience, around.now);
        self.waiting.push_back(Waiting { id, order, until, again });
        self.tick(around, out);
    }

    /// A message came.
    pub fn receive(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        message: Message<M>,
        out: &mut Vec<Effect<M>>,
    ) {
        if *from != self.me.name {
            self.handle(around, from, message, out);
            self.hear_oneself(around, out);
        }
    }

    pub(super) fn handle(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        message: Message<M>,
        out: &mut Vec<Effect<M>>,
    ) {
        self.step_down_late(around, out);
        let now = around.now;
        match message {
            Message::Prepare { ballot, marks } => {
                if ballot.name != *from || !self.voters.agree(marks) {
                    return;
                }
                let (life, told) = (self.me.life, self.member.told_now(now));
                let answer = self.voter.as_mut().and_then(|v| v.prepare(now, life, ballot, &told));
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
                if matches!(answer, Some(Message::Accepted { .. })) && self.hears(&granted) {
                    self.elsewhere = Some((from.clone(), now));
                }
                let answer = answer.map(|answer| self.accepts(from, answer));
                self.reply(from, answer, out);
            }
            Message::Accepted { ballot, round, life, roster } => {
                self.accepted(around, from, ballot, round, (life, &roster), out);
            }
            Message::Recall { nonce, marks } => {
                if !self.voters.agree(marks) {
                    return;
                }
                let told = self.member.told_now(now);
                let answer = self.voter.as_ref().map(|voter| voter.recalled_by(now, nonce, &told));
                self.reply(from, answer, out);
            }
            Message::Recalled { nonce, known, promised, lease_left, roster, told } => {
                let (voters, config) = (&self.voters, &self.config);
                let knows = (known, promised, roster, told);
                let told = self.voter.as_mut().and_then(|voter| {
                    let majority = |in_it: &dyn Fn(&Name) -> bool| voters.majority(in_it);
                    voter.take_recalled(now, config, from, nonce, knows, majority, &self.me.name)
                });
                if self.voter.as_ref().is_some_and(|voter| !voter.votes()) {
                    self.bid_at = self.bid_at.max(now + lease_left);
                }
                if let Some(told) = told {
                    self.take(now, told);
                    self.bid_at = self.bid_at.max(now + lease_left) + self.jitter(around);
                }
            }
            Message::Tell { told } => {
                let fence = told.version.fence.clone();
                if fence.as_ref().is_none_or(|fence| fence.name != *from) {
                    return;
                }
                if self.take(now, told) {
                    self.elsewhere = Some((from.clone(), now));
                    self.give_way(around, out);
                    // What the disk does not have yet is confirmed once it does.
                    if self.kept_slate() == self.member.told.version {
                        // All are told at once: what they ask regularly must not fall into step with that.
                        let regular = (self.renew_at, self.asked);
                        self.renew(around, out);
                        if regular.0 > now {
                            (self.renew_at, self.asked) = regular;
                        }
                    }
                } else {
                    let fence = self.member.fence.clone();
                    let holder = self.known_holder(now);
                    self.send(from, Message::NotHolder { holder, fence }, out);
                }
            }
            Message::Renew(renewal) => self.asked_for_leave(around, from, *renewal, out),
            Message::Show { ballot } => {
                if ballot.name == *from && self.hears(&ballot) {
                    let told = self.member.told_now(now);
                    let admitted = self.member.knows;
                    self.send(from, Message::Shown { ballot, told, admitted }, out);
                }
            }
            Message::Shown { ballot, told, admitted } => {
                let holder = self.holder.as_mut().filter(|holder| holder.hold.ballot == ballot);
                if let Some(holder) = holder.filter(|holder| holder.hold.cold.is_some()) {
                    holder.hold.shown(&told.slate, admitted);
                    self.work(around, out);
                    self.tell(from, out);
                }
            }
            Message::Inquire { life, stamp, slate } => self.inform(now, from, (life, stamp), slate, out),
            Message::Informed { life, stamp, word, told } => {
                self.informed(around, from, (life, stamp), word, told);
            }
            Message::Granted { ballot, life, stamp, remembers, leave } => {
                if ballot.name == *from && life == self.me.life && stamp <= now && self.hears(&ballot) {
                    if self.member.granted(stamp, remembers, &self.config) {
                        let until = stamp + self.config.lease;
                        self.application.granted(&Granted { ballot, stamp, until, leave });
                    }
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

    pub(super) fn hear_oneself(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let me = self.me.name.clone();
        while let Some(message) = self.inbox.pop_front() {
            self.handle(around, &me, message, out);
        }
    }
}
