//! What a process that was started does until it is let in, and what others tell it.

use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::ballot::Told;
use crate::message::Message;
use crate::waiting::{Reason, Waiting, Word, NAMED_MOST};
use flaxhead_membership::{Micros, Name};

impl<M: Application> Machine<M> {
    /// Many may start at once: what each asks first is spread over the pause between two of its questions. Voters that
    /// remember ask nobody, and would all bid in the same moment once their silence is over.
    pub(super) fn begin(&mut self, around: &mut Around<'_, M::Facts>) {
        if !std::mem::replace(&mut self.begun, true) {
            if self.voter.as_ref().is_some_and(|voter| voter.remembers) {
                self.bid_at += self.jitter(around);
            }
            let pace = Waiting::pace(&self.config);
            self.member.waiting.ask_at = around.now + self.jitter(around) * pace / self.config.renew_every();
        }
    }

    /// Asks what others know, until it is let in.
    pub(super) fn inquire(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let now = around.now;
        if self.member.admitted || now < self.member.waiting.ask_at {
            return;
        }
        let pace = Waiting::pace(&self.config);
        let drawn = self.jitter(around) / 4 * pace / self.config.renew_every();
        self.member.waiting.ask_at = now + pace - pace / 8 + drawn;
        let (life, stamp) = (self.me.life, now);
        for (to, slate) in self.member.waiting.ask(now, &self.config, &self.voters, &self.me.name) {
            self.send(&to, Message::Inquire { life, stamp, slate }, out);
        }
        self.conclude(now);
    }

    /// Another, of this life, asks what this one knows.
    pub(super) fn inform(
        &mut self,
        now: Micros,
        from: &Name,
        (life, stamp): (u64, Micros),
        slate: bool,
        out: &mut Vec<Effect<M>>,
    ) {
        let lately = |(_, at): &(&Name, &Micros)| now.saturating_sub(**at) <= self.config.lease;
        let word = Word {
            known: self.voter.as_ref().map(|voter| voter.known),
            knows: self.member.knows,
            leave: self.member.permitted > now,
            holder: self.known_holder(now),
            named: self.know.iter().filter(lately).map(|(name, _)| name.clone()).take(NAMED_MOST).collect(),
        };
        let told = (slate && self.member.knows).then(|| self.member.told_now(now));
        self.send(from, Message::Informed { life, stamp, word, told }, out);
    }

    /// What it had asked for came.
    pub(super) fn informed(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        (life, stamp): (u64, Micros),
        word: Word,
        told: Option<Told<M::Slate>>,
    ) {
        let now = around.now;
        // An answer to an earlier process of this name, or one that comes too late, changes nothing.
        if life != self.me.life || stamp > now || self.member.admitted {
            return;
        }
        let holder = word.holder.clone().filter(|name| self.voters.has(name) && *name != self.me.name);
        if let Some(name) = holder.filter(|_| self.known_holder(now).is_none()) {
            self.elsewhere = Some((name, now));
            // Many hear of a new holder at once; those that serve need not hurry.
            let jitter = self.jitter(around);
            let pace =
                if self.member.alone { self.config.renew_every() } else { Waiting::pace(&self.config) };
            self.renew_at = now + jitter * pace / self.config.renew_every();
        }
        self.member.waiting.told(from, stamp, word, told.is_some());
        if let Some(told) = told {
            if let Some(fence) = told.version.fence.clone() {
                self.hears(&fence);
            }
            self.member.shown(now, told);
            self.application.told(now, &self.member.told.slate);
        }
        self.conclude(now);
    }

    fn conclude(&mut self, now: Micros) {
        let own = (&self.me.name, self.voter.as_ref().map(|voter| voter.known));
        let member = &mut self.member;
        let serves = member.waiting.conclude(now, &self.config, &self.voters, own);
        if member.waiting.all_forgot(now, &self.config, &self.voters, own) {
            self.application.forgotten();
        }
        // What once serves is not stopped again: that ends by leave.
        member.alone |= serves;
        member.knows |= serves && matches!(member.waiting.reason, Reason::Shown(_));
    }

    /// One that was let in says that it knows what is settled.
    pub(super) fn one_knows(&mut self, now: Micros, name: &Name) {
        let lease = self.config.lease;
        self.know.retain(|_, at| now.saturating_sub(*at) <= lease);
        self.know.insert(name.clone(), now);
    }
}
