//! Tries to become the holder, and giving way.

use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::ballot::Ballot;
use crate::hold::Bid;
use crate::message::{Message, Promise};
use flaxhead_membership::{Micros, Name};

/// Doublings of the pause between two bids: to two leases.
const BID_DOUBLINGS: u32 = 3;

impl<M: Application> Machine<M> {
    /// Who bids again waits longer each time, so that of several one comes through whatever the way between them takes.
    pub(super) fn bid_again(&mut self, around: &mut Around<'_, M::Facts>, after: Micros) {
        let span = self.config.renew_every() << self.tries.min(BID_DOUBLINGS);
        self.tries = self.tries.saturating_add(1);
        let drawn = (u64::from(around.random.next_u32()) * span.min(u64::from(u32::MAX))) >> 32;
        self.bid_at = around.now + after + span / 2 + drawn;
    }

    /// A lease that has run out is over, whatever this process was about to do with it.
    pub(super) fn step_down_late(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        if self.holder.as_ref().is_some_and(|holder| !holder.hold.holds(around.now)) {
            self.step_down(around, out);
        }
    }

    pub(super) fn step_down(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        if self.holder.take().is_some() {
            out.push(Effect::Holds(None));
        }
        self.bid = None;
        self.bid_at = around.now + self.config.renew_every() + self.jitter(around);
    }

    /// Somebody with a greater number was heard of.
    pub(super) fn give_way(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        if let Some(fence) = self.member.fence.clone() {
            self.outbid(around, &fence, out);
        }
    }

    pub(super) fn outbid(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        fence: &Ballot,
        out: &mut Vec<Effect<M>>,
    ) {
        if self.holder.as_ref().is_some_and(|holder| holder.hold.ballot < *fence) {
            self.hears(fence);
            self.step_down(around, out);
        }
    }

    /// Tries to become the holder, where nobody else is.
    pub(super) fn run_for_it(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
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
        let (life, told, name) = (self.me.life, self.member.told_now(now), self.me.name.clone());
        let own = self.voter.as_mut().and_then(|voter| voter.prepare(now, life, ballot, &told));
        self.reply(&name, own, out);
    }

    pub(super) fn promised(&mut self, from: &Name, promise: Promise<M>, out: &mut Vec<Effect<M>>) {
        if !self.voters.has(from) {
            return;
        }
        if let Some(holder) = self.holder.as_mut().filter(|holder| holder.hold.ballot == promise.ballot) {
            holder.hold.joined(from, promise);
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

    pub(super) fn denied(
        &mut self,
        around: &mut Around<'_, M::Facts>,
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
}
