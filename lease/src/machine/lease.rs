//! Acquisition and renewal of the leader's lease, which a majority of voters grants.

use super::leader::{Leader, LeaderInput};
use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::leader::{Candidacy, LeaderState, OwnState, ReceiverSet};
use crate::message::{Acceptance, Message, Proposal};
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Handles a voter's acceptance of this process's proposal: extends the lease of the leader, or makes a
    /// candidate the leader once a majority has accepted.
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
            return self.run_leader(context, effects);
        }
        if !self.is_elected_by(now, from, acceptance) || !self.accept_ballot(&acceptance.ballot) {
            return;
        }
        if let Some(candidacy) = self.candidacy.take() {
            self.become_leader(context, candidacy, effects);
        }
    }

    /// Counts the acceptance of the voter `from` for the candidacy. Returns whether a majority has accepted.
    fn is_elected_by(&mut self, now: Micros, from: &Name, acceptance: &Acceptance) -> bool {
        let candidacy = self.candidacy.as_mut().filter(|candidacy| candidacy.ballot == acceptance.ballot);
        let Some(candidacy) = candidacy else { return false };
        // The duration of the lease counts from the start of the candidacy, so the lease would already have
        // expired.
        let is_late = now >= candidacy.started + self.config.lease_duration;
        let promise = candidacy.promises.get(from);
        if is_late || promise.is_none_or(|promise| promise.incarnation != acceptance.incarnation) {
            return false;
        }
        candidacy.grants.insert(from.clone());
        let grants = &candidacy.grants;
        self.voters.has_majority(|name| grants.contains(name))
    }

    /// Starts the leadership after a won election: informs the driver, and sends the roster and the state.
    fn become_leader(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        candidacy: Candidacy<A>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let ballot = candidacy.ballot.clone();
        let own =
            OwnState { state: self.replica.current_state(now), is_complete: self.replica.has_complete_state };
        let state = LeaderState::new(now, &self.config, &self.voters, candidacy, &own, self.me.clone());
        let input = LeaderInput {
            now,
            config: &self.config,
            voters: &self.voters,
            facts: context.facts,
            me: &self.me,
            application: &self.application,
        };
        let leader = Leader::new(state, &input);
        self.apply(now, leader.state.state.clone());
        self.leader = Some(Box::new(leader));
        self.failed_candidacies = 0;
        self.record_leader(now, self.me.name.clone());
        effects.push(Effect::LeadershipChanged(Some(ballot)));
        self.begin_renewal_round(context, effects);
        self.disseminate(now, ReceiverSet::All, effects);
        self.renew(context, effects);
    }

    /// Begins a renewal round of the leader's lease: sends a proposal to each voter that has promised. Asks
    /// the other voters to promise first, and asks again those that may have lost their promise in a restart.
    pub(super) fn begin_renewal_round(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let Some(leader) = self.leader.as_mut() else { return };
        self.next_renewal_round_at = now + self.config.renewal_interval();
        // A leader that the membership finds cut off, displaced or leaving lets its lease expire.
        if !context.facts.participates {
            return;
        }
        leader.state.begin_renewal_round(now);
        let (ballot, voter_sets) = (leader.state.ballot.clone(), self.voters.hashes());
        let prepare = || Message::Prepare { ballot: ballot.clone(), voter_sets };
        let voters: Vec<Name> = self.voters.iter().cloned().collect();
        for to in &voters {
            let message = self.proposal_to(to).map_or_else(prepare, Message::Propose);
            self.send(to, message, effects);
        }
        let unresponsive: Vec<Name> =
            voters.into_iter().filter(|voter| self.is_unresponsive_voter(now, voter)).collect();
        for to in unresponsive {
            self.send(&to, prepare(), effects);
        }
    }

    /// Returns whether a voter has promised but not accepted a proposal recently, possibly because it
    /// restarted.
    fn is_unresponsive_voter(&self, now: Micros, voter: &Name) -> bool {
        let is_unresponsive = |state: &LeaderState<A>| {
            state.voter_incarnations.contains_key(voter)
                && !state.voter_accepted_recently(now, &self.config, voter)
        };
        *voter != self.me.name && self.leader.as_ref().is_some_and(|leader| is_unresponsive(&leader.state))
    }

    /// Returns the proposal that extends this leader's lease at the voter `to`; `None`: this process is not
    /// the leader, or the voter has not promised.
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

    /// Sends the current proposal of this leader to a voter, if that voter has promised.
    pub(super) fn propose_to(&mut self, to: &Name, effects: &mut Vec<Effect<A>>) {
        let message = self.proposal_to(to).map(Message::Propose);
        self.reply(to, message, effects);
    }
}
