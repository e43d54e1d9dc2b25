//! The holder's steps, and the orders of operators.

use super::state::{Around, Effect, Machine, Waiting};
use crate::application::Application;
use crate::message::Message;
use crate::terms::Unsettled;
use flaxhead_membership::Name;
use std::collections::VecDeque;

impl<M: Application> Machine<M> {
    /// The holder does what can be done, and says so.
    pub(super) fn work(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let now = around.now;
        let Some((holder, at)) = self.at_holder(now, around.facts) else { return };
        let changed = holder.step(&at);
        out.extend(holder.hold.noted().into_iter().map(Effect::Noted));
        let told = holder.hold.told.clone();
        let news = changed || told.version > self.member.told.version;
        if news {
            self.take(now, told);
            self.tell_those(around, true, out);
            // Its own word is one of those that are waited for.
            return self.renew(around, out);
        }
        self.tell_those(around, false, out);
        let Some(holder) = self.holder.as_mut() else { return };
        let answers = holder.hold.answers(now, &self.config, &self.voters);
        for (to, id, answer) in answers {
            if to == self.me.name {
                self.answered(id, Ok(answer), out);
            } else {
                self.send(&to, Message::Answer { id, result: Ok(answer) }, out);
            }
        }
    }

    pub(super) fn take_order(
        &mut self,
        around: &mut Around<'_, M::Facts>,
        from: &Name,
        id: u64,
        order: M::Order,
    ) -> Result<(), M::Refusal> {
        let now = around.now;
        if self.holds(now).is_none() {
            return Err(Unsettled::NoHolder.into());
        }
        let Some((holder, at)) = self.at_holder(now, around.facts) else {
            return Err(Unsettled::NoHolder.into());
        };
        holder.order(&at, from.clone(), id, order)
    }

    /// Orders that were given here go to the holder, again and again until they are answered.
    pub(super) fn pass_on(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
        let now = around.now;
        let holder = self.known_holder(now);
        let (late, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(|w| now >= w.until);
        self.waiting = waiting;
        let refusal = if holder.is_some() { Unsettled::TimedOut } else { Unsettled::NoHolder };
        let late: VecDeque<Waiting<M::Order>> = late;
        out.extend(late.into_iter().map(|w| Effect::Answer { id: w.id, result: Err(refusal.into()) }));
        let Some(holder) = holder else {
            let again = now + self.config.renew_every() / 4 + 1;
            self.waiting.iter_mut().for_each(|w| w.again = w.again.max(again));
            return;
        };
        let every = self.config.renew_every();
        let due: Vec<(u64, M::Order)> = self
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
                    Err(refusal) if refusal != Unsettled::NoHolder.into() => {
                        self.answered(id, Err(refusal), out);
                    }
                    Ok(()) | Err(_) => self.work(around, out),
                }
            } else {
                self.send(&holder, Message::Order { id, order }, out);
            }
        }
    }

    pub(super) fn answered(
        &mut self,
        id: u64,
        result: Result<M::Answer, M::Refusal>,
        out: &mut Vec<Effect<M>>,
    ) {
        // Another may hold by now, and is asked next.
        if result == Err(Unsettled::NoHolder.into()) {
            return;
        }
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        if self.waiting.len() != before {
            out.push(Effect::Answer { id, result });
        }
    }
}
