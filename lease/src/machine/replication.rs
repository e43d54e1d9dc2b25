//! Replication of the leader's state to the other processes.

use super::state::{Effect, Machine};
use crate::application::Application;
use crate::leader::ReceiverSet;
use crate::message::Message;
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Sends the leader's state to one process. Does nothing if this process is not the leader.
    pub(super) fn send_state(&mut self, to: &Name, effects: &mut Vec<Effect<A>>) {
        let state = self.leader.as_ref().map(|leader| leader.state.state.clone());
        if let Some(state) = state.filter(|_| *to != self.me.name) {
            self.send(to, Message::StateUpdate { state }, effects);
        }
    }

    /// Sends the leader's state to the processes that `receiver_set` selects.
    pub(super) fn disseminate(
        &mut self,
        now: Micros,
        receiver_set: ReceiverSet,
        effects: &mut Vec<Effect<A>>,
    ) {
        let Some(leader) = self.leader.as_mut() else { return };
        for to in leader.state.begin_dissemination(now, &self.config, receiver_set) {
            self.send_state(&to, effects);
        }
    }
}
