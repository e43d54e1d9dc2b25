//! Candidacies of a voter for the leader's lease, and the end of a leadership.

use super::state::{random_below, Context, Effect, Machine};
use crate::application::Application;
use crate::ballot::Ballot;
use crate::leader::{Candidacy, INITIAL_RENEWAL_ROUND};
use crate::message::{Denial, Message, Promise, Proposal};
use crate::roster::Roster;
use flaxhead_membership::{Micros, Name};

/// Maximum number of doublings of the backoff between candidacies, which limits it to two lease durations.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl<A: Application> Machine<A> {
    /// Delays this voter's next candidacy by `after` microseconds plus an exponential backoff with jitter, so
    /// that one of several competing candidates succeeds.
    pub(super) fn back_off_candidacy(&mut self, context: &mut Context<'_, A::Facts>, after: Micros) {
        let backoff = self.config.renewal_interval() << self.failed_candidacies.min(MAX_BACKOFF_DOUBLINGS);
        self.failed_candidacies = self.failed_candidacies.saturating_add(1);
        self.next_candidacy_at = context.now + after + backoff / 2 + random_below(context, backoff);
    }

    /// Starts a candidacy if it is due, unless a lease that this voter granted to a leader is still valid.
    pub(super) fn begin_candidacy(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        let Some(voter) = self.voter.as_ref().filter(|voter| voter.may_vote()) else { return };
        if self.leader.is_some() || now < self.next_candidacy_at {
            return;
        }
        let lease_left = voter.lease_left(now, None);
        if lease_left > 0 || !context.facts.participates {
            self.candidacy = None;
            let delay = lease_left.max(self.config.renewal_interval() / 2);
            self.next_candidacy_at = now + delay + self.jitter(context);
            return;
        }
        let highest = voter.promised.as_ref().max(self.replica.highest_ballot.as_ref());
        let round = highest.map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, name: self.me.name.clone(), incarnation: self.me.incarnation };
        self.candidacy = Some(Candidacy::new(ballot.clone(), now));
        self.back_off_candidacy(context, 0);
        self.request_promises(now, ballot, effects);
    }

    /// Requests promises for `ballot` from all voters, including this one.
    fn request_promises(&mut self, now: Micros, ballot: Ballot, effects: &mut Vec<Effect<A>>) {
        let voter_sets = self.voters.hashes();
        for to in self.other_voters() {
            self.send(&to, Message::Prepare { ballot: ballot.clone(), voter_sets }, effects);
        }
        let (incarnation, state) = (self.me.incarnation, self.replica.current_state(now));
        let own = self.voter.as_mut().and_then(|voter| voter.prepare(now, incarnation, ballot, state));
        let me = self.me.name.clone();
        self.reply(&me, own, effects);
    }

    /// Handles a voter's promise to this candidate or leader. Once a majority has promised, the candidate
    /// proposes the leader's lease to these voters.
    pub(super) fn handle_promise(&mut self, from: &Name, promise: Promise<A>, effects: &mut Vec<Effect<A>>) {
        if !self.voters.contains(from) {
            return;
        }
        let leader = self.leader.as_mut().filter(|leader| leader.state.ballot == promise.ballot);
        if let Some(leader) = leader {
            leader.state.record_promise(from, &promise);
            return self.propose_to(from, effects);
        }
        let candidacy = self.candidacy.as_mut().filter(|candidacy| candidacy.ballot == promise.ballot);
        let Some(candidacy) = candidacy else { return };
        candidacy.promises.insert(from.clone(), promise);
        let promises = &candidacy.promises;
        if !candidacy.is_proposed && !self.voters.has_majority(|name| promises.contains_key(name)) {
            return;
        }
        // A voter that promises after the majority did gets its proposal at once.
        let was_proposed = std::mem::replace(&mut candidacy.is_proposed, true);
        let voters: Vec<Name> =
            if was_proposed { vec![from.clone()] } else { candidacy.promises.keys().cloned().collect() };
        for to in voters {
            self.propose_candidacy(&to, effects);
        }
    }

    /// Proposes the lease of this candidate to a voter that has promised. A candidate has no roster yet.
    fn propose_candidacy(&mut self, to: &Name, effects: &mut Vec<Effect<A>>) {
        let Some(candidacy) = &self.candidacy else { return };
        let Some(promise) = candidacy.promises.get(to) else { return };
        let proposal = Proposal {
            ballot: candidacy.ballot.clone(),
            round: INITIAL_RENEWAL_ROUND,
            incarnation: promise.incarnation,
            is_recovered: false,
            roster: Roster::default(),
        };
        self.send(to, Message::Propose(proposal), effects);
    }

    /// Handles a voter's denial of this candidate's ballot: gives up the candidacy and backs off. A denial of
    /// a renewal is ignored, because the leader's lease stays valid until it expires.
    pub(super) fn handle_denial(&mut self, context: &mut Context<'_, A::Facts>, denial: Denial) {
        let Denial { ballot, promised, lease_left } = denial;
        if self.candidacy.as_ref().is_none_or(|candidacy| candidacy.ballot != ballot) {
            return;
        }
        // The ballot of the next candidacy must exceed the one that the denying voter has promised.
        if let (Some(voter), Some(promised)) = (self.voter.as_mut(), promised) {
            voter.promised = voter.promised.take().max(Some(promised));
        }
        self.candidacy = None;
        self.back_off_candidacy(context, lease_left);
    }

    /// Ends the leadership of this process if its lease as the leader has expired.
    pub(super) fn step_down_if_expired(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if self.leader.as_ref().is_some_and(|leader| !leader.state.is_leading(context.now)) {
            self.step_down(context, effects);
        }
    }

    /// Ends the leadership of this process if it knows a ballot higher than its own.
    pub(super) fn step_down_if_outvoted(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if let Some(ballot) = self.replica.highest_ballot.clone() {
            self.step_down_below(context, &ballot, effects);
        }
    }

    /// Ends the leadership of this process if `ballot` is higher than its own, and records that ballot.
    pub(super) fn step_down_below(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        ballot: &Ballot,
        effects: &mut Vec<Effect<A>>,
    ) {
        if self.leader.as_ref().is_some_and(|leader| leader.state.ballot < *ballot) {
            self.accept_ballot(ballot);
            self.step_down(context, effects);
        }
    }

    /// Ends the leadership or candidacy of this process, and delays its next candidacy.
    fn step_down(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        if self.leader.take().is_some() {
            effects.push(Effect::LeadershipChanged(None));
        }
        self.candidacy = None;
        self.next_candidacy_at = context.now + self.config.renewal_interval() + self.jitter(context);
    }
}
