//! Leave to go on: asked for by every process, granted by the holder.

use super::holder::Reply;
use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::message::{Message, Renewal};
use crate::waiting::Waiting;
use flaxhead_membership::{Micros, Name};

/// How many times as often as others one that hurries may ask for leave.
const HURRY: Micros = 12;

impl<M: Application> Machine<M> {
    pub(super) fn renewal(&mut self, now: Micros, facts: &M::Facts) -> Renewal<M> {
        Renewal {
            process: self.me.clone(),
            stamp: now,
            knows: self.member.knows,
            version: self.kept_slate(),
            fence: self.member.fence.clone(),
            word: self.application.word(now, &self.member, facts),
        }
    }

    /// When it asks for leave next: regularly, or where its application hurries as early as the pace allows.
    pub(super) fn next_renewal(&self) -> Micros {
        if !(self.member.admitted && self.application.hurries()) {
            return self.renew_at;
        }
        // A part of what was drawn for the regular pause stays in it, so that those that hurry at once do not ask in step.
        let every = self.config.renew_every();
        let drawn = self.renew_at.saturating_sub(self.asked + every - every / 8);
        (self.asked + every / HURRY + drawn / 6).min(self.renew_at)
    }

    /// Asks for leave: the holder where it is known, else one voter after the other.
    pub(super) fn renew(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let now = around.now;
        let every = self.config.renew_every();
        // One that waits to be let in asks more often.
        let waits = !self.member.admitted && !self.member.alone;
        let every = if waits { Waiting::pace(&self.config) } else { every };
        self.asked = now;
        self.renew_at = now + every - every / 8 + self.jitter(around) / 4 * every / self.config.renew_every();
        let known = self.known_holder(now);
        // One that waits hears of the holder by its questions.
        if known.is_none() && !self.member.admitted {
            return;
        }
        let to = known.or_else(|| {
            let all: Vec<&Name> = self.voters.iter().collect();
            self.ask_next = (self.ask_next + 1) % all.len().max(1);
            all.get(self.ask_next).map(|name| (*name).clone())
        });
        let mut whom: Vec<Name> = to.into_iter().collect();
        // One that is not answered asks all voters: those that have forgotten hear that it knows what is settled, twice
        // before they may conclude that nobody does.
        if self.member.admitted
            && self.member.permitted + 3 * self.config.renew_every() / 2 < now + self.config.lease
        {
            let others = self.voters.iter().filter(|name| !whom.contains(name));
            whom.extend(others.cloned().collect::<Vec<_>>());
        }
        whom.retain(|to| *to != self.me.name || self.holder.is_some());
        if whom.is_empty() {
            return;
        }
        let renewal = Box::new(self.renewal(now, &around.facts.own));
        for to in whom {
            self.send(&to, Message::Renew(renewal.clone()), out);
        }
    }

    pub(super) fn asked_for_leave(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        renewal: Renewal<M>,
        out: &mut Vec<Effect<M>>,
    ) {
        let now = around.now;
        if renewal.process.name != *from {
            return;
        }
        if renewal.knows {
            self.one_knows(now, from);
        }
        // A survivor may have heard of a greater number than those that have forgotten.
        if let Some(fence) = renewal.fence.clone() {
            self.outbid(around, &fence, out);
        }
        let (ballot, life, stamp) = match self.holds(now) {
            Some(ballot) => (ballot.clone(), renewal.process.life, renewal.stamp),
            None => {
                let (holder, fence) = (self.known_holder(now), self.member.fence.clone());
                return self.send(from, Message::NotHolder { holder, fence }, out);
            }
        };
        let Some((holder, at)) = self.at_holder(now, around.facts) else { return };
        let older = renewal.version.fence.as_ref().is_some_and(|fence| *fence != ballot);
        let show = holder.hold.cold.is_some() && older;
        let Reply { leave, behind, enrolled } = holder.renewed(&at, renewal);
        let remembers = holder.hold.remembers();
        if let Some(leave) = leave {
            let ballot = ballot.clone();
            self.send(from, Message::Granted { ballot, life, stamp, remembers, leave }, out);
        }
        if show {
            self.send(from, Message::Show { ballot }, out);
        } else if behind {
            self.tell(from, out);
        }
        if enrolled {
            // It is let in once the voters know of it: they are told at once, of many that come at once together.
            let since = self.holder.as_ref().map_or(0, |holder| holder.hold.round_sent);
            let next = since + self.config.tell_again();
            match now >= next {
                true => self.renew_lease(around, out),
                false => self.round_at = self.round_at.min(next),
            }
        }
        self.work(around, out);
    }

    pub(super) fn tell(&mut self, to: &Name, out: &mut Vec<Effect<M>>) {
        let told = self.holder.as_ref().map(|holder| holder.hold.told.clone());
        if let Some(told) = told.filter(|_| *to != self.me.name) {
            self.send(to, Message::Tell { told }, out);
        }
    }

    /// Tells `all`, or those that have not confirmed.
    pub(super) fn tell_those(&mut self, around: &Around<'_, M::Facts>, all: bool, out: &mut Vec<Effect<M>>) {
        let (now, config) = (around.now, &self.config);
        let to =
            self.holder.as_mut().map(|holder| holder.hold.tell_now(now, config, all)).unwrap_or_default();
        for to in to {
            self.tell(&to, out);
        }
    }
}
