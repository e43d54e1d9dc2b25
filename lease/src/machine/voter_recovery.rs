//! Messages by which a restarted voter recovers its promise, roster and state from other voters.

use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::message::{Message, VoterRecoveryResponse};
use crate::recovery_state::RecoveryState;
use crate::voters::VoterSetHashes;
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Ends this voter's quarantine when it is over, and sends recovery requests to the other voters if they
    /// are due.
    pub(super) fn recover_voter(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let voter = self.voter.as_mut();
        let Some(nonce) = voter.and_then(|voter| voter.begin_recovery(context.now, &self.config)) else {
            return;
        };
        let voter_sets = self.voters.hashes();
        for to in self.other_voters() {
            self.send(&to, Message::VoterRecoveryRequest { nonce, voter_sets }, effects);
        }
        // A voter that is the only one has none to recover from, and continues without its earlier data.
        let is_only_voter = self.voters.has_majority(|name| *name == self.me.name);
        if let Some(voter) = self.voter.as_mut().filter(|_| is_only_voter) {
            voter.recovery = RecoveryState::StateLost;
        }
    }

    /// Responds to the recovery request of another voter, unless its configuration has no voter set in common
    /// with that of this process.
    pub(super) fn handle_voter_recovery_request(
        &mut self,
        now: Micros,
        from: &Name,
        nonce: u64,
        voter_sets: VoterSetHashes,
        effects: &mut Vec<Effect<A>>,
    ) {
        if !self.voters.overlaps(voter_sets) {
            return;
        }
        let state = self.replica.current_state(now);
        let response = self.voter.as_ref().map(|voter| voter.recovery_response(now, nonce, state));
        let response = response.map(|response| Message::VoterRecoveryResponse(Box::new(response)));
        self.reply(from, response, effects);
    }

    /// Handles the response of another voter to this one's recovery request. This voter starts no candidacy
    /// before the leader's lease that the other has granted expires.
    pub(super) fn handle_voter_recovery_response(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        response: VoterRecoveryResponse<A>,
    ) {
        let now = context.now;
        let lease_end = now + response.lease_left;
        let (config, voters, me) = (&self.config, &self.voters, &self.me.name);
        let recovered = self
            .voter
            .as_mut()
            .and_then(|voter| voter.handle_recovery_response(now, config, voters, me, from, response));
        if self.voter.as_ref().is_some_and(|voter| !voter.may_vote()) {
            self.next_candidacy_at = self.next_candidacy_at.max(lease_end);
        }
        if let Some(state) = recovered {
            self.apply(now, state);
            self.next_candidacy_at = self.next_candidacy_at.max(lease_end) + self.jitter(context);
        }
    }
}
