//! Leases of the processes: every process, including the leader, requests one and the leader grants it.

use super::leader::RenewalResponse;
use super::state::{Context, Effect, Machine};
use crate::admission::AdmissionWait;
use crate::application::Application;
use crate::message::{LeaseGrant, Message, Renewal};
use flaxhead_membership::{Micros, Name};

/// Maximum number of lease requests in one renewal interval, if the application wants early renewal.
const MAX_RENEWALS_PER_INTERVAL: Micros = 12;
/// Reciprocal of the fraction of the renewal interval by which a renewal may come early. Up to a quarter of
/// the interval is added at random.
const JITTER_DIVISOR: Micros = 8;
/// Reciprocal of the fraction of the regular jitter that is added to early renewals.
const EARLY_JITTER_DIVISOR: Micros = 6;

impl<A: Application> Machine<A> {
    /// Time of this process's next lease request: the regular time, or the earliest that the rate limit
    /// permits if the application wants early renewal.
    pub(super) fn next_renewal(&self) -> Micros {
        if !(self.replica.is_admitted && self.application.wants_early_renewal()) {
            return self.next_renewal_at;
        }
        // Without jitter, processes that renew early together would stay synchronized.
        let interval = self.config.renewal_interval();
        let earliest_regular = self.last_renewal_at + interval - interval / JITTER_DIVISOR;
        let jitter = self.next_renewal_at.saturating_sub(earliest_regular);
        let early =
            self.last_renewal_at + interval / MAX_RENEWALS_PER_INTERVAL + jitter / EARLY_JITTER_DIVISOR;
        early.min(self.next_renewal_at)
    }

    /// Sends this process's lease request to the leader. If no leader is known, an admitted process sends it
    /// to one voter after another; those that are not the leader respond with the leader that they know.
    pub(super) fn renew(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        self.schedule_renewal(context);
        let leader = self.current_leader(now);
        // A process that waits for admission learns of the leader from the replies to its queries.
        if leader.is_none() && !self.replica.is_admitted {
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

    /// Schedules this process's next regular lease request. A process that neither is admitted nor serves
    /// renews at the interval of its queries, which is shorter.
    fn schedule_renewal(&mut self, context: &mut Context<'_, A::Facts>) {
        let regular = self.config.renewal_interval();
        let waits = !self.replica.is_admitted && !self.replica.is_autonomous;
        let interval = if waits { AdmissionWait::query_interval(&self.config) } else { regular };
        let jitter = self.jitter(context) / 4 * interval / regular;
        self.last_renewal_at = context.now;
        self.next_renewal_at = context.now + interval - interval / JITTER_DIVISOR + jitter;
    }

    /// Returns the next voter in turn, to which a lease request is sent while no leader is known.
    fn next_voter(&mut self) -> Option<Name> {
        let voters: Vec<&Name> = self.voters.iter().collect();
        self.voter_cursor = (self.voter_cursor + 1) % voters.len().max(1);
        voters.get(self.voter_cursor).map(|name| (*name).clone())
    }

    /// Returns whether this process is admitted, but its last granted request was sent more than one and a
    /// half renewal intervals ago. Its requests then go to all voters: restarted voters learn that a process
    /// with the complete state exists, before they could conclude that the state is lost.
    fn is_unanswered(&self, now: Micros) -> bool {
        let overdue = 3 * self.config.renewal_interval() / 2;
        self.replica.is_admitted && self.replica.lease_expiry + overdue < now + self.config.lease_duration
    }

    fn renewal(&mut self, now: Micros, facts: &A::Facts) -> Renewal<A> {
        Renewal {
            process: self.me.clone(),
            sent_at: now,
            has_complete_state: self.replica.has_complete_state,
            version: self.persisted_state_version(),
            highest_ballot: self.replica.highest_ballot.clone(),
            report: self.application.report(now, &self.replica, facts),
        }
    }

    /// Handles the lease request of a process. A leader grants the lease if it can, and sends its state to a
    /// process that is behind; another process names the leader.
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
            self.record_peer_with_complete_state(now, from);
        }
        // Restarted voters may have elected this leader without knowing the highest ballot, which a process
        // that remained admitted still knows.
        if let Some(known_ballot) = &renewal.highest_ballot {
            self.step_down_below(context, known_ballot, effects);
        }
        let Some(ballot) = self.leading_ballot(now).cloned() else {
            return self.reply_not_leader(now, from, effects);
        };
        let (incarnation, requested_at) = (renewal.process.incarnation, renewal.sent_at);
        let is_of_another_leader =
            renewal.version.ballot.as_ref().is_some_and(|version_ballot| *version_ballot != ballot);
        let Some((leader, input)) = self.leader_with_input(now, context.facts) else { return };
        let wants_its_state = leader.state.state_lost_since.is_some() && is_of_another_leader;
        let RenewalResponse { grant, is_behind, is_enrolled } = leader.renew(&input, renewal);
        let is_recovered = leader.state.knows_complete_state();
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
        self.run_leader(context, effects);
    }

    /// Sends the changed roster to the voters in a new renewal round. A new process gets its lease only after
    /// a majority has stored the roster. Processes that are added within one resend interval share a round.
    fn announce_roster(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let renewal_round_started =
            self.leader.as_ref().map_or(0, |leader| leader.state.renewal_round_started);
        let next = renewal_round_started + self.config.state_resend_interval();
        if context.now >= next {
            self.begin_renewal_round(context, effects);
        } else {
            self.next_renewal_round_at = self.next_renewal_round_at.min(next);
        }
    }
}
