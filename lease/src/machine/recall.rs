//! What a voter that was started again asks the others.

use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::known::Known;
use crate::message::Message;
use flaxhead_membership::Name;

impl<M: Application> Machine<M> {
    pub(super) fn recall(&mut self, around: &mut Around<'_, M::Facts>, out: &mut Vec<Effect<M>>) {
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
            voter.known = Known::Cold;
        }
    }

    pub(super) fn others(&self) -> impl Iterator<Item = Name> + '_ {
        self.voters.iter().filter(|name| **name != self.me.name).cloned()
    }
}
