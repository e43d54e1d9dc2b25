//! Handling of the messages that a machine receives.

use super::state::{Context, Effect, KnownLeader, Machine};
use crate::application::{Application, ReceivedGrant};
use crate::ballot::{Ballot, Versioned};
use crate::message::{LeaseGrant, Message, Proposal};
use crate::voters::VoterSetHashes;
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Handles a message of the process `from`. A message under the machine's own name is ignored.
    pub fn receive(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        message: Message<A>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if *from != self.me.name {
            self.handle(context, from, message, effects);
            self.handle_loopback(context, effects);
        }
    }

    /// Handles the messages that this process has sent to itself, for example as leader and voter.
    pub(super) fn handle_loopback(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let me = self.me.name.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.handle(context, &me, message, effects);
        }
    }

    fn handle(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        message: Message<A>,
        effects: &mut Vec<Effect<A>>,
    ) {
        self.step_down_if_expired(context, effects);
        let now = context.now;
        match message {
            Message::Prepare { ballot, voter_sets } => {
                self.handle_prepare(context, from, ballot, voter_sets, effects);
            }
            Message::Promised(promise) => self.handle_promise(from, *promise, effects),
            Message::Denied(denial) => self.handle_denial(context, denial),
            Message::Propose(proposal) => self.handle_proposal(now, from, proposal, effects),
            Message::Accepted(acceptance) => self.handle_acceptance(context, from, &acceptance, effects),
            Message::VoterRecoveryRequest { nonce, voter_sets } => {
                self.handle_voter_recovery_request(now, from, nonce, voter_sets, effects);
            }
            Message::VoterRecoveryResponse(response) => {
                self.handle_voter_recovery_response(context, from, *response);
            }
            Message::StateUpdate { state } => self.handle_state_update(context, from, state, effects),
            Message::Renew(renewal) => self.handle_renewal(context, from, *renewal, effects),
            Message::StateRequest { ballot } => self.handle_state_request(now, from, ballot, effects),
            Message::StateResponse { ballot, state, is_complete } => {
                self.handle_state_response(context, from, &ballot, &state, is_complete, effects);
            }
            Message::RecoveryQuery(query) => self.handle_recovery_query(now, from, query, effects),
            Message::RecoveryReply(reply) => self.handle_recovery_reply(context, from, *reply),
            Message::Granted(grant) => self.handle_grant(now, from, *grant),
            Message::NotLeader { leader, highest_ballot } => {
                self.handle_not_leader(context, from, leader, highest_ballot, effects);
            }
            Message::Command { id, command } => self.handle_command(context, from, id, command, effects),
            Message::CommandResponse { id, result } => self.complete_command(id, result, effects),
        }
    }

    fn handle_prepare(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        ballot: Ballot,
        voter_sets: VoterSetHashes,
        effects: &mut Vec<Effect<A>>,
    ) {
        if ballot.name != *from || !self.voters.overlaps(voter_sets) {
            return;
        }
        let now = context.now;
        let (incarnation, state) = (self.me.incarnation, self.replica.current_state(now));
        let response = self.voter.as_mut().and_then(|voter| voter.prepare(now, incarnation, ballot, state));
        if matches!(response, Some(Message::Promised(_))) && *from != self.me.name {
            // This voter delays its own candidacy, so that the candidate can complete its election.
            let earliest = now + self.config.renewal_interval() + self.jitter(context);
            self.next_candidacy_at = self.next_candidacy_at.max(earliest);
        }
        self.reply(from, response, effects);
    }

    fn handle_proposal(
        &mut self,
        now: Micros,
        from: &Name,
        proposal: Proposal,
        effects: &mut Vec<Effect<A>>,
    ) {
        if proposal.ballot.name != *from {
            return;
        }
        let (ballot, incarnation) = (proposal.ballot.clone(), self.me.incarnation);
        let voter = self.voter.as_mut();
        let response = voter.and_then(|voter| voter.accept(now, &self.config, incarnation, proposal));
        if matches!(response, Some(Message::Accepted(_))) && self.accept_ballot(&ballot) {
            self.record_leader(now, from.clone());
        }
        let response = response.map(|response| self.limit_to_persisted(from, response));
        self.reply(from, response, effects);
    }

    fn handle_state_update(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        state: Versioned<A::State>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        if state.version.ballot.as_ref().is_none_or(|ballot| ballot.name != *from) {
            return;
        }
        if !self.apply(now, state) {
            return self.reply_not_leader(now, from, effects);
        }
        self.record_leader(now, from.clone());
        self.step_down_if_outvoted(context, effects);
        // A state that is not on disk yet is reported by `state_persisted`.
        if self.persisted_state_version() != self.replica.state.version {
            return;
        }
        // This renewal confirms the state to the leader. It leaves the time of the regular renewal as it was,
        // because all processes receive the state at once and would renew together from then on.
        let (next_renewal_at, last_renewal_at) = (self.next_renewal_at, self.last_renewal_at);
        self.renew(context, effects);
        if next_renewal_at > now {
            self.next_renewal_at = next_renewal_at;
            self.last_renewal_at = last_renewal_at;
        }
    }

    fn handle_state_request(
        &mut self,
        now: Micros,
        from: &Name,
        ballot: Ballot,
        effects: &mut Vec<Effect<A>>,
    ) {
        if ballot.name == *from && self.accept_ballot(&ballot) {
            let state = self.replica.current_state(now);
            let is_complete = self.replica.has_complete_state;
            self.send(from, Message::StateResponse { ballot, state, is_complete }, effects);
        }
    }

    fn handle_state_response(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        ballot: &Ballot,
        state: &Versioned<A::State>,
        is_complete: bool,
        effects: &mut Vec<Effect<A>>,
    ) {
        let leader = self.leader.as_mut().filter(|leader| leader.state.ballot == *ballot);
        if let Some(leader) = leader.filter(|leader| leader.state.state_lost_since.is_some()) {
            leader.state.merge(&state.state, is_complete);
            self.run_leader(context, effects);
            self.send_state(from, effects);
        }
    }

    fn handle_grant(&mut self, now: Micros, from: &Name, grant: LeaseGrant<A>) {
        let LeaseGrant { ballot, incarnation, requested_at, is_recovered, grant } = grant;
        let is_for_this_process =
            ballot.name == *from && incarnation == self.me.incarnation && requested_at <= now;
        if !is_for_this_process || !self.accept_ballot(&ballot) {
            return;
        }
        if self.replica.take_lease(requested_at, is_recovered, &self.config) {
            let expires_at = requested_at + self.config.lease_duration;
            self.application.lease_granted(&ReceivedGrant { ballot, requested_at, expires_at, grant });
        }
        self.record_leader(now, from.clone());
    }

    fn handle_not_leader(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        leader: Option<Name>,
        highest_ballot: Option<Ballot>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if let Some(ballot) = highest_ballot {
            self.step_down_below(context, &ballot, effects);
        }
        if self.known_leader.as_ref().is_some_and(|known| known.name == *from) {
            self.known_leader = None;
        }
        let leader = leader.filter(|name| self.voters.contains(name) && name != from);
        if let Some(name) = leader {
            self.known_leader.get_or_insert(KnownLeader { name, heard_at: context.now });
        }
    }

    /// Sends a [`Message::NotLeader`] with the leader and the highest ballot that this process knows.
    pub(super) fn reply_not_leader(&mut self, now: Micros, to: &Name, effects: &mut Vec<Effect<A>>) {
        let (leader, highest_ballot) = (self.current_leader(now), self.replica.highest_ballot.clone());
        self.send(to, Message::NotLeader { leader, highest_ballot }, effects);
    }
}
