//! Candidacies, and stepping down.

use super::state::{random_below, Context, Effect, Machine};
use crate::application::Application;
use crate::ballot::Ballot;
use crate::leader::{Candidacy, INITIAL_ROUND};
use crate::message::{Denial, Message, Promise, Proposal};
use crate::roster::Roster;
use flaxhead_membership::{Micros, Name};

/// Doublings of the backoff between two candidacies: to two leases.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl<A: Application> Machine<A> {
    /// Delays the next candidacy by `after` and an exponential backoff with jitter, so that of several candidates one
    /// succeeds whatever the delay between them.
    pub(super) fn back_off_candidacy(&mut self, context: &mut Context<'_, A::Facts>, after: Micros) {
        let backoff = self.config.renewal_interval() << self.failed_candidacies.min(MAX_BACKOFF_DOUBLINGS);
        self.failed_candidacies = self.failed_candidacies.saturating_add(1);
        self.next_candidacy_at = context.now + after + backoff / 2 + random_below(context, backoff);
    }

    /// Becomes a candidate, if that is due and nobody else holds the lease.
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
            let wait = lease_left.max(self.config.renewal_interval() / 2);
            self.next_candidacy_at = now + wait + self.jitter(context);
            return;
        }
        let highest = voter.promised.as_ref().max(self.member.highest_ballot.as_ref());
        let round = highest.map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, name: self.me.name.clone(), incarnation: self.me.incarnation };
        self.candidacy = Some(Candidacy::new(ballot.clone(), now));
        self.back_off_candidacy(context, 0);
        self.request_promises(now, ballot, effects);
    }

    /// Asks all voters, this one among them, for their promise.
    fn request_promises(&mut self, now: Micros, ballot: Ballot, effects: &mut Vec<Effect<A>>) {
        let voter_sets = self.voters.hashes();
        for to in self.other_voters() {
            self.send(&to, Message::Prepare { ballot: ballot.clone(), voter_sets }, effects);
        }
        let (incarnation, state) = (self.me.incarnation, self.member.current_state(now));
        let own = self.voter.as_mut().and_then(|voter| voter.prepare(now, incarnation, ballot, state));
        let me = self.me.name.clone();
        self.reply(&me, own, effects);
    }

    /// A voter has promised: once a majority has, the lease is proposed to them.
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
        // Voters that promise later are asked as their promises come.
        let was_proposed = std::mem::replace(&mut candidacy.is_proposed, true);
        let voters: Vec<Name> =
            if was_proposed { vec![from.clone()] } else { candidacy.promises.keys().cloned().collect() };
        for to in voters {
            self.propose_candidacy(&to, effects);
        }
    }

    fn propose_candidacy(&mut self, to: &Name, effects: &mut Vec<Effect<A>>) {
        let Some(candidacy) = &self.candidacy else { return };
        let Some(promise) = candidacy.promises.get(to) else { return };
        let proposal = Proposal {
            ballot: candidacy.ballot.clone(),
            round: INITIAL_ROUND,
            incarnation: promise.incarnation,
            is_recovered: false,
            roster: Roster::default(),
        };
        self.send(to, Message::Propose(proposal), effects);
    }

    /// A voter has denied this process's candidacy. (One that denies a leader the renewal, having promised more to
    /// another, takes nothing from the lease that runs.)
    pub(super) fn handle_denial(&mut self, context: &mut Context<'_, A::Facts>, denial: Denial) {
        let Denial { ballot, promised, lease_left } = denial;
        if self.candidacy.as_ref().is_none_or(|candidacy| candidacy.ballot != ballot) {
            return;
        }
        // The next ballot has to be above what the voter has promised.
        if let (Some(voter), Some(promised)) = (self.voter.as_mut(), promised) {
            voter.promised = voter.promised.take().max(Some(promised));
        }
        self.candidacy = None;
        self.back_off_candidacy(context, lease_left);
    }

    /// A leader whose lease has run out leads no longer, whatever it was about to do with it.
    pub(super) fn step_down_if_expired(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if self.leader.as_ref().is_some_and(|leader| !leader.state.is_leading(context.now)) {
            self.step_down(context, effects);
        }
    }

    /// A leader that has heard of a higher ballot leads no longer.
    pub(super) fn step_down_if_outvoted(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        effects: &mut Vec<Effect<A>>,
    ) {
        if let Some(fence) = self.member.highest_ballot.clone() {
            self.step_down_below(context, &fence, effects);
        }
    }

    /// A leader under a lower ballot than this one leads no longer.
    pub(super) fn step_down_below(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        fence: &Ballot,
        effects: &mut Vec<Effect<A>>,
    ) {
        if self.leader.as_ref().is_some_and(|leader| leader.state.ballot < *fence) {
            self.accept_fence(fence);
            self.step_down(context, effects);
        }
    }

    fn step_down(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        if self.leader.take().is_some() {
            effects.push(Effect::LeadershipChanged(None));
        }
        self.candidacy = None;
        self.next_candidacy_at = context.now + self.config.renewal_interval() + self.jitter(context);
    }
}
