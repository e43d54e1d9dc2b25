//! What a process that started does until it is admitted, and what others tell it.

use super::state::{Context, Effect, Machine};
use crate::admission::{AdmissionReason, AdmissionWait, OwnVoter, Query, RecoveryStatus, MAX_INFORMED_PEERS};
use crate::application::Application;
use crate::message::{Message, RecoveryQuery, RecoveryReply};
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Many processes may start at once: their first queries are spread over the interval between two of them. Voters that
    /// recovered from their disks query nobody, and would all become candidates at the end of their quarantine.
    pub(super) fn spread_first_actions(&mut self, context: &mut Context<'_, A::Facts>) {
        if std::mem::replace(&mut self.has_started, true) {
            return;
        }
        if self.voter.as_ref().is_some_and(|voter| voter.was_recovered) {
            self.next_candidacy_at += self.jitter(context);
        }
        let interval = AdmissionWait::query_interval(&self.config);
        let jitter = self.jitter(context) * interval / self.config.renewal_interval();
        self.member.wait.next_query_at = context.now + jitter;
    }

    /// Asks other processes what they know, if that is due, until this one is admitted.
    pub(super) fn query_peers(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        if self.member.is_admitted || now < self.member.wait.next_query_at {
            return;
        }
        let interval = AdmissionWait::query_interval(&self.config);
        let jitter = self.jitter(context) / 4 * interval / self.config.renewal_interval();
        self.member.wait.next_query_at = now + interval - interval / 8 + jitter;
        let incarnation = self.me.incarnation;
        let queries = self.member.wait.next_queries(now, &self.config, &self.voters, &self.me.name);
        for Query { to, wants_state } in queries {
            let query = RecoveryQuery { incarnation, sent_at: now, wants_state };
            self.send(&to, Message::RecoveryQuery(query), effects);
        }
        self.evaluate_admission(now);
    }

    /// Another process, which waits for admission, asks what this one knows.
    pub(super) fn handle_recovery_query(
        &mut self,
        now: Micros,
        from: &Name,
        query: RecoveryQuery,
        effects: &mut Vec<Effect<A>>,
    ) {
        let RecoveryQuery { incarnation, sent_at, wants_state } = query;
        let is_fresh = |(_, at): &(&Name, &Micros)| now.saturating_sub(**at) <= self.config.lease_duration;
        let informed = self.peers_with_complete_state.iter().filter(is_fresh).map(|(name, _)| name.clone());
        let status = RecoveryStatus {
            voter: self.voter.as_ref().map(|voter| voter.recovery),
            has_complete_state: self.member.has_complete_state,
            has_lease: self.member.lease_expiry > now,
            leader: self.current_leader(now),
            peers_with_complete_state: informed.take(MAX_INFORMED_PEERS).collect(),
        };
        let sends_state = wants_state && self.member.has_complete_state;
        let state = sends_state.then(|| self.member.current_state(now));
        let reply = RecoveryReply { incarnation, requested_at: sent_at, status, state };
        self.send(from, Message::RecoveryReply(Box::new(reply)), effects);
    }

    /// Another process replies to a query. A reply to an earlier process of this name, or from a time that is not yet, or
    /// after the admission changes nothing.
    pub(super) fn handle_recovery_reply(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        reply: RecoveryReply<A>,
    ) {
        let now = context.now;
        let RecoveryReply { incarnation, requested_at, status, state } = reply;
        if incarnation != self.me.incarnation || requested_at > now || self.member.is_admitted {
            return;
        }
        let leader = status.leader.clone();
        let leader = leader.filter(|name| self.voters.contains(name) && *name != self.me.name);
        if let Some(name) = leader.filter(|_| self.current_leader(now).is_none()) {
            self.note_leader(now, name);
            self.schedule_first_renewal(context);
        }
        self.member.wait.record_reply(from, requested_at, status, state.is_some());
        if let Some(state) = state {
            if let Some(fence) = state.version.ballot.clone() {
                self.accept_fence(&fence);
            }
            self.member.merge(now, state);
            self.application.state_changed(now, &self.member.state.state);
        }
        self.evaluate_admission(now);
    }

    /// Many processes hear of a new leader at once, so they ask it for admission at random moments. Those that serve
    /// already have more time.
    fn schedule_first_renewal(&mut self, context: &mut Context<'_, A::Facts>) {
        let regular = self.config.renewal_interval();
        let query = AdmissionWait::query_interval(&self.config);
        let interval = if self.member.is_autonomous { regular } else { query };
        self.next_renewal_at = context.now + self.jitter(context) * interval / regular;
    }

    /// Concludes from the replies so far whether the process may serve. Once it serves it goes on to, until it is
    /// admitted.
    fn evaluate_admission(&mut self, now: Micros) {
        let recovery = self.voter.as_ref().map(|voter| voter.recovery);
        let own = OwnVoter { name: &self.me.name, recovery };
        let wait = &mut self.member.wait;
        let may_serve = wait.evaluate(now, &self.config, &self.voters, own);
        let has_complete_state = matches!(wait.reason, AdmissionReason::StateRecoveredFrom(_));
        if wait.all_voters_lost_state(now, &self.config, &self.voters, own) {
            self.application.state_lost();
        }
        self.member.is_autonomous |= may_serve;
        self.member.has_complete_state |= has_complete_state;
    }

    /// Another process has reported that its state is complete.
    pub(super) fn note_informed_peer(&mut self, now: Micros, name: &Name) {
        let lease = self.config.lease_duration;
        self.peers_with_complete_state.retain(|_, at| now.saturating_sub(*at) <= lease);
        self.peers_with_complete_state.insert(name.clone(), now);
    }
}
