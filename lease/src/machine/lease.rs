//! How a candidate gets the lease, and a leader renews it.

use super::leader::{Leader, LeaderEnvironment};
use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::leader::{Audience, Candidacy, LeaderState, OwnState};
use crate::message::{Acceptance, Message, Proposal};
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// A voter has accepted a proposal of this leader or candidate.
    pub(super) fn handle_acceptance(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        acceptance: &Acceptance,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let leader = self.leader.as_mut().filter(|leader| leader.state.ballot == acceptance.ballot);
        if let Some(leader) = leader {
            leader.state.record_acceptance(now, &self.config, &self.voters, from, acceptance);
            return self.lead(context, effects);
        }
        if !self.is_elected_by(now, from, acceptance) || !self.accept_fence(&acceptance.ballot) {
            return;
        }
        if let Some(candidacy) = self.candidacy.take() {
            self.become_leader(context, candidacy, effects);
        }
    }

    /// Counts a voter's acceptance for the candidacy. Returns whether a majority has accepted by now.
    fn is_elected_by(&mut self, now: Micros, from: &Name, acceptance: &Acceptance) -> bool {
        let candidacy = self.candidacy.as_mut().filter(|candidacy| candidacy.ballot == acceptance.ballot);
        let Some(candidacy) = candidacy else { return false };
        // The lease counts from the beginning of the candidacy: an acceptance that comes too late grants nothing.
        let is_late = now >= candidacy.started + self.config.lease_duration;
        let promise = candidacy.promises.get(from);
        if is_late || promise.is_none_or(|promise| promise.incarnation != acceptance.incarnation) {
            return false;
        }
        candidacy.grants.insert(from.clone());
        let grants = &candidacy.grants;
        self.voters.has_majority(|name| grants.contains(name))
    }

    fn become_leader(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        candidacy: Candidacy<A>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let ballot = candidacy.ballot.clone();
        let own =
            OwnState { state: self.member.current_state(now), is_complete: self.member.has_complete_state };
        let state = LeaderState::new(now, &self.config, &self.voters, candidacy, &own, self.me.clone());
        let environment = LeaderEnvironment {
            now,
            config: &self.config,
            voters: &self.voters,
            facts: context.facts,
            me: &self.me,
            application: &self.application,
        };
        let leader = Leader::new(state, &environment);
        self.apply(now, leader.state.state.clone());
        self.leader = Some(Box::new(leader));
        self.failed_candidacies = 0;
        self.note_leader(now, self.me.name.clone());
        effects.push(Effect::LeadershipChanged(Some(ballot)));
        self.begin_round(context, effects);
        self.disseminate(now, Audience::Everyone, effects);
        self.renew(context, effects);
    }

    /// Begins a round of renewal: asks the voters to prolong the lease, and those that have not promised, or have lost
    /// their promise, to promise first.
    pub(super) fn begin_round(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        self.next_round_at = now + self.config.renewal_interval();
        // A leader that finds itself cut off lets its lease run out.
        if !context.facts.participates {
            return;
        }
        leader.state.begin_round(now);
        let (ballot, voter_sets) = (leader.state.ballot.clone(), self.voters.hashes());
        let prepare = || Message::Prepare { ballot: ballot.clone(), voter_sets };
        let voters: Vec<Name> = self.voters.iter().cloned().collect();
        for to in &voters {
            let message = self.proposal_to(to).map_or_else(prepare, Message::Propose);
            self.send(to, message, effects);
        }
        let silent: Vec<Name> = voters.into_iter().filter(|voter| self.is_silent_voter(now, voter)).collect();
        for to in silent {
            self.send(&to, prepare(), effects);
        }
    }

    /// Whether a voter that has promised accepts nothing any more: it may have restarted.
    fn is_silent_voter(&self, now: Micros, voter: &Name) -> bool {
        let is_silent = |state: &LeaderState<A>| {
            state.voter_incarnations.contains_key(voter)
                && !state.voter_accepted_recently(now, &self.config, voter)
        };
        *voter != self.me.name && self.leader.as_ref().is_some_and(|leader| is_silent(&leader.state))
    }

    /// The leader's proposal to a voter; `None`: this process does not lead, or the voter has not promised.
    fn proposal_to(&self, to: &Name) -> Option<Proposal> {
        let state = &self.leader.as_ref()?.state;
        Some(Proposal {
            ballot: state.ballot.clone(),
            round: state.round,
            incarnation: *state.voter_incarnations.get(to)?,
            is_recovered: state.state_lost_since.is_none(),
            roster: state.roster.clone(),
        })
    }

    pub(super) fn propose_to(&mut self, to: &Name, effects: &mut Vec<Effect<A>>) {
        let message = self.proposal_to(to).map(Message::Propose);
        self.reply(to, message, effects);
    }
}
