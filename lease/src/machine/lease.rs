//! The lease is granted, and renewed.

use super::holder::{At, Holder};
use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::ballot::{Ballot, Version};
use crate::hold::Hold;
use crate::message::Message;
use flaxhead_membership::{Micros, Name};

impl<M: Application> Machine<M> {
    pub(super) fn accepted(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        ballot: Ballot,
        round: u64,
        kept: (u64, &Version),
        out: &mut Vec<Effect<M>>,
    ) {
        let now = around.now;
        if let Some(holder) = self.holder.as_mut().filter(|holder| holder.hold.ballot == ballot) {
            holder.hold.accepted(now, &self.config, &self.voters, from, round, kept);
            return self.work(around, out);
        }
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.ballot == ballot) else { return };
        // The lease counts from the bid's start: what comes too late grants nothing.
        if now >= bid.sent + self.config.lease || bid.promises.get(from).is_none_or(|p| p.life != kept.0) {
            return;
        }
        bid.granted.insert(from.clone());
        let granted = &bid.granted;
        if !self.voters.majority(|name| granted.contains(name)) || !self.hears(&ballot) {
            return;
        }
        let Some(bid) = self.bid.take() else { return };
        let own = (&self.member.told_now(now), self.member.knows);
        let hold = Hold::new(now, &self.config, &self.voters, bid, own, self.me.clone());
        let (config, voters, me, application) = (&self.config, &self.voters, &self.me, &self.application);
        let holder = Holder::new(hold, &At { now, config, voters, facts: around.facts, me, application });
        self.take(now, holder.hold.told.clone());
        self.holder = Some(Box::new(holder));
        self.tries = 0;
        self.elsewhere = Some((self.me.name.clone(), now));
        out.push(Effect::Holds(Some(ballot)));
        self.renew_lease(around, out);
        self.tell_those(around, true, out);
        self.renew(around, out);
    }

    /// Asks the voters for more of the lease, and those that have not promised for that first.
    pub(super) fn renew_lease(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let now = around.now;
        let Some(holder) = self.holder.as_mut() else { return };
        self.round_at = now + self.config.renew_every();
        // One that finds itself cut off lets go.
        if !around.facts.takes_part {
            return;
        }
        holder.hold.next_round(now);
        let (ballot, marks) = (holder.hold.ballot.clone(), self.voters.marks());
        let all: Vec<Name> = self.voters.iter().cloned().collect();
        for to in all {
            let Some(holder) = &self.holder else { return };
            let message = match holder.hold.lives.contains_key(&to) {
                true => self.proposal(&holder.hold, &to),
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

    pub(super) fn is_silent(&self, now: Micros, voter: &Name) -> bool {
        let silent =
            |hold: &Hold<M>| hold.lives.contains_key(voter) && !hold.granted_lately(now, &self.config, voter);
        *voter != self.me.name && self.holder.as_ref().is_some_and(|holder| silent(&holder.hold))
    }

    pub(super) fn proposal(&self, hold: &Hold<M>, to: &Name) -> Option<Message<M>> {
        let life = *hold.lives.get(to)?;
        let (ballot, round, sure, roster) =
            (hold.ballot.clone(), hold.round, hold.cold.is_none(), hold.roster.clone());
        Some(Message::Propose { ballot, round, life, sure, roster })
    }

    pub(super) fn propose_to(&mut self, to: &Name, out: &mut Vec<Effect<M>>) {
        let message = self.holder.as_ref().and_then(|holder| self.proposal(&holder.hold, to));
        self.reply(to, message, out);
    }
}
