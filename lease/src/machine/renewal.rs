//! Leases of the processes: asked for by every process, granted by the leader.

use super::leader::RenewalResponse;
use super::state::{Context, Effect, Machine};
use crate::admission::AdmissionWait;
use crate::application::Application;
use crate::message::{LeaseGrant, Message, Renewal};
use flaxhead_membership::{Micros, Name};

/// How many times as often as regularly an application may have a process renew.
const EARLY_RENEWALS_PER_INTERVAL: Micros = 12;
/// One in this many parts of a renewal interval is subtracted from it, and up to a quarter added at random.
const JITTER_PARTS: Micros = 8;
/// The part of the regular jitter that stays in an early renewal.
const EARLY_JITTER_PARTS: Micros = 6;

impl<A: Application> Machine<A> {
    /// When it next asks for a lease: regularly, or where its application wants that earlier as soon as the rate allows.
    pub(super) fn next_renewal(&self) -> Micros {
        if !(self.member.is_admitted && self.application.wants_early_renewal()) {
            return self.next_renewal_at;
        }
        // A part of the regular jitter stays, so that processes that renew early together do not fall into step.
        let interval = self.config.renewal_interval();
        let earliest_regular = self.last_renewal_at + interval - interval / JITTER_PARTS;
        let jitter = self.next_renewal_at.saturating_sub(earliest_regular);
        let early =
            self.last_renewal_at + interval / EARLY_RENEWALS_PER_INTERVAL + jitter / EARLY_JITTER_PARTS;
        early.min(self.next_renewal_at)
    }

    /// Asks for a lease: the leader where it is known, else one voter after the other.
    pub(super) fn renew(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        self.schedule_renewal(context);
        let leader = self.current_leader(now);
        // A process that waits for admission hears of the leader by its queries.
        if leader.is_none() && !self.member.is_admitted {
            return;
        }
        let mut receivers: Vec<Name> = leader.or_else(|| self.next_voter()).into_iter().collect();
        if self.is_unanswered(now) {
            let others: Vec<Name> =
                self.voters.iter().filter(|name| !receivers.contains(name)).cloned().collect();
            receivers.extend(others);
        }
        receivers.retain(|to| *to != self.me.name || self.leader.is_some());
        if receivers.is_empty() {
            return;
        }
        let renewal = Box::new(self.renewal(now, &context.facts.application));
        for to in receivers {
            self.send(&to, Message::Renew(renewal.clone()), effects);
        }
    }

    /// Sets the time of the next regular renewal. A process that waits for admission renews more often.
    fn schedule_renewal(&mut self, context: &mut Context<'_, A::Facts>) {
        let regular = self.config.renewal_interval();
        let waits = !self.member.is_admitted && !self.member.is_autonomous;
        let interval = if waits { AdmissionWait::query_interval(&self.config) } else { regular };
        let jitter = self.jitter(context) / 4 * interval / regular;
        self.last_renewal_at = context.now;
        self.next_renewal_at = context.now + interval - interval / JITTER_PARTS + jitter;
    }

    /// The voter to ask where no leader is known: one after the other.
    fn next_voter(&mut self) -> Option<Name> {
        let voters: Vec<&Name> = self.voters.iter().collect();
        self.voter_cursor = (self.voter_cursor + 1) % voters.len().max(1);
        voters.get(self.voter_cursor).map(|name| (*name).clone())
    }

    /// Whether an admitted process has had no answer for a while. It then asks all voters: those that have forgotten hear
    /// that it knows the state, twice before they may conclude that nobody does.
    fn is_unanswered(&self, now: Micros) -> bool {
        let overdue = 3 * self.config.renewal_interval() / 2;
        self.member.is_admitted && self.member.lease_expiry + overdue < now + self.config.lease_duration
    }

    fn renewal(&mut self, now: Micros, facts: &A::Facts) -> Renewal<A> {
        Renewal {
            process: self.me.clone(),
            sent_at: now,
            has_complete_state: self.member.has_complete_state,
            version: self.persisted_state_version(),
            highest_ballot: self.member.highest_ballot.clone(),
            report: self.application.report(now, &self.member, facts),
        }
    }

    /// Another process asks this one, as the leader, for a lease.
    pub(super) fn handle_renewal(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        renewal: Renewal<A>,
        effects: &mut Vec<Effect<A>>,
    ) {
        let now = context.now;
        if renewal.process.name != *from {
            return;
        }
        if renewal.has_complete_state {
            self.note_informed_peer(now, from);
        }
        // A process that was admitted all along may have heard of a higher ballot than those that have forgotten.
        if let Some(fence) = &renewal.highest_ballot {
            self.step_down_below(context, fence, effects);
        }
        let Some(ballot) = self.leading_ballot(now).cloned() else {
            return self.reply_not_leader(now, from, effects);
        };
        let (incarnation, requested_at) = (renewal.process.incarnation, renewal.sent_at);
        let is_of_another_leader = renewal.version.ballot.as_ref().is_some_and(|fence| *fence != ballot);
        let Some((leader, environment)) = self.leader_with_environment(now, context.facts) else { return };
        let wants_its_state = leader.state.state_lost_since.is_some() && is_of_another_leader;
        let RenewalResponse { grant, is_behind, is_enrolled } = leader.renew(&environment, renewal);
        let is_recovered = leader.state.is_recovered();
        if let Some(grant) = grant {
            let ballot = ballot.clone();
            let grant = LeaseGrant { ballot, incarnation, requested_at, is_recovered, grant };
            self.send(from, Message::Granted(Box::new(grant)), effects);
        }
        if wants_its_state {
            self.send(from, Message::StateRequest { ballot }, effects);
        } else if is_behind {
            self.send_state(from, effects);
        }
        if is_enrolled {
            self.announce_roster(context, effects);
        }
        self.lead(context, effects);
    }

    /// A new process gets a lease once the voters know of it: they are told at once, or of many that come at once
    /// together.
    fn announce_roster(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let round_started = self.leader.as_ref().map_or(0, |leader| leader.state.round_started);
        let next = round_started + self.config.state_resend_interval();
        if context.now >= next {
            self.begin_round(context, effects);
        } else {
            self.next_round_at = self.next_round_at.min(next);
        }
    }
}
