//! Timers of a machine.

use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::voter::Voter;
use flaxhead_membership::Micros;

impl<A: Application> Machine<A> {
    /// Time at which the driver must call [`Machine::tick`] next. Each call of the machine may change it.
    pub fn next_wake(&self) -> Micros {
        let voter = self.voter.as_ref().map_or(Micros::MAX, Voter::next_wake);
        let is_candidate = self.voter.is_some() && self.leader.is_none();
        let candidacy = if is_candidate { self.next_candidacy_at } else { Micros::MAX };
        let round = if self.leader.is_some() { self.next_renewal_round_at } else { Micros::MAX };
        let query =
            if self.replica.is_admitted { Micros::MAX } else { self.replica.admission_wait.next_query_at };
        [
            voter,
            candidacy,
            round,
            self.next_dissemination(),
            self.next_command_wake(),
            query,
            self.next_renewal(),
        ]
        .into_iter()
        .min()
        .unwrap_or(self.next_renewal_at)
    }

    fn next_dissemination(&self) -> Micros {
        self.leader.as_ref().map_or(Micros::MAX, |leader| leader.state.next_dissemination(&self.config))
    }

    /// Performs all actions that are due at the time of `context`: candidacy, renewals, queries, and the work
    /// of the leader.
    pub fn tick(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        self.step_down_if_expired(context, effects);
        self.spread_first_actions(context);
        self.recover_voter(context, effects);
        self.query_peers(context, effects);
        self.begin_candidacy(context, effects);
        if self.leader.is_some() && context.now >= self.next_renewal_round_at {
            self.begin_renewal_round(context, effects);
        }
        if context.now >= self.next_renewal() {
            self.renew(context, effects);
        }
        self.run_leader(context, effects);
        self.forward_commands(context, effects);
        self.handle_loopback(context, effects);
    }
}
