//! Queries of a process that waits for admission, and the replies of other processes.

use super::state::{Context, Effect, Machine};
use crate::admission::{AdmissionReason, AdmissionWait, OwnVoter, Query, RecoveryStatus, MAX_NAMED_PEERS};
use crate::application::Application;
use crate::message::{Message, RecoveryQuery, RecoveryReply};
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Delays the first query of this process at random, because many processes may start at once. Also
    /// delays the candidacy of a voter that loaded its data from disk: such voters send no recovery requests
    /// and would all become candidates at the end of the quarantine.
    pub(super) fn spread_first_actions(&mut self, context: &mut Context<'_, A::Facts>) {
        if std::mem::replace(&mut self.has_started, true) {
            return;
        }
        if self.voter.as_ref().is_some_and(|voter| voter.was_recovered) {
            self.next_candidacy_at += self.jitter(context);
        }
        let interval = AdmissionWait::query_interval(&self.config);
        let jitter = self.jitter(context) * interval / self.config.renewal_interval();
        self.replica.admission_wait.next_query_at = context.now + jitter;
    }

    /// Sends the next round of queries about the leader, the voters and the state, if it is due. Does nothing
    /// once this process is admitted.
    pub(super) fn query_peers(&mut self, context: &mut Context<'_, A::Facts>, effects: &mut Vec<Effect<A>>) {
        let now = context.now;
        if self.replica.is_admitted || now < self.replica.admission_wait.next_query_at {
            return;
        }
        let interval = AdmissionWait::query_interval(&self.config);
        let jitter = self.jitter(context) / 4 * interval / self.config.renewal_interval();
        self.replica.admission_wait.next_query_at = now + interval - interval / 8 + jitter;
        let incarnation = self.me.incarnation;
        let queries =
            self.replica.admission_wait.next_queries(now, &self.config, &self.voters, &self.me.name);
        for Query { to, wants_state } in queries {
            let query = RecoveryQuery { incarnation, sent_at: now, wants_state };
            self.send(&to, Message::RecoveryQuery(query), effects);
        }
        self.evaluate_admission(now);
    }

    /// Replies to the query of another process that waits for admission.
    pub(super) fn handle_recovery_query(
        &mut self,
        now: Micros,
        from: &Name,
        query: RecoveryQuery,
        effects: &mut Vec<Effect<A>>,
    ) {
        let RecoveryQuery { incarnation, sent_at, wants_state } = query;
        let is_fresh = |(_, at): &(&Name, &Micros)| now.saturating_sub(**at) <= self.config.lease_duration;
        let recent_peers =
            self.peers_with_complete_state.iter().filter(is_fresh).map(|(name, _)| name.clone());
        let status = RecoveryStatus {
            voter: self.voter.as_ref().map(|voter| voter.recovery),
            has_complete_state: self.replica.has_complete_state,
            has_lease: self.replica.lease_expiry > now,
            leader: self.current_leader(now),
            peers_with_complete_state: recent_peers.take(MAX_NAMED_PEERS).collect(),
        };
        let sends_state = wants_state && self.replica.has_complete_state;
        let state = sends_state.then(|| self.replica.current_state(now));
        let reply = RecoveryReply { incarnation, requested_at: sent_at, status, state };
        self.send(from, Message::RecoveryReply(Box::new(reply)), effects);
    }

    /// Handles the reply to a query of this process. Ignores replies to an earlier process of the same name,
    /// replies to a query dated in the future, and all replies after the admission.
    pub(super) fn handle_recovery_reply(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        from: &Name,
        reply: RecoveryReply<A>,
    ) {
        let now = context.now;
        let RecoveryReply { incarnation, requested_at, status, state } = reply;
        if incarnation != self.me.incarnation || requested_at > now || self.replica.is_admitted {
            return;
        }
        let leader = status.leader.clone();
        let leader = leader.filter(|name| self.voters.contains(name) && *name != self.me.name);
        if let Some(name) = leader.filter(|_| self.current_leader(now).is_none()) {
            self.record_leader(now, name);
            self.schedule_first_renewal(context);
        }
        self.replica.admission_wait.record_reply(from, requested_at, status, state.is_some());
        if let Some(state) = state {
            if let Some(ballot) = state.version.ballot.clone() {
                self.accept_ballot(&ballot);
            }
            self.replica.merge(now, state);
            self.application.state_changed(now, &self.replica.state.state);
        }
        self.evaluate_admission(now);
    }

    /// Delays the first lease request to a newly known leader at random, because many processes learn of it
    /// at once. The delay is longer for processes that already serve.
    fn schedule_first_renewal(&mut self, context: &mut Context<'_, A::Facts>) {
        let regular = self.config.renewal_interval();
        let query = AdmissionWait::query_interval(&self.config);
        let interval = if self.replica.is_autonomous { regular } else { query };
        self.next_renewal_at = context.now + self.jitter(context) * interval / regular;
    }

    /// Concludes from the replies so far whether this process may serve without admission. Once it may, it
    /// may until it is admitted.
    fn evaluate_admission(&mut self, now: Micros) {
        let recovery = self.voter.as_ref().map(|voter| voter.recovery);
        let own = OwnVoter { name: &self.me.name, recovery };
        let admission_wait = &mut self.replica.admission_wait;
        let may_serve = admission_wait.evaluate(now, &self.config, &self.voters, own);
        let has_complete_state = matches!(admission_wait.reason, AdmissionReason::StateRecoveredFrom(_));
        if admission_wait.all_voters_lost_state(now, &self.config, &self.voters, own) {
            self.application.state_lost();
        }
        self.replica.is_autonomous |= may_serve;
        self.replica.has_complete_state |= has_complete_state;
    }

    /// Remembers for one lease duration that the process `name` has the complete state, to name it in replies
    /// to queries.
    pub(super) fn record_peer_with_complete_state(&mut self, now: Micros, name: &Name) {
        let lease = self.config.lease_duration;
        self.peers_with_complete_state.retain(|_, at| now.saturating_sub(*at) <= lease);
        self.peers_with_complete_state.insert(name.clone(), now);
    }
}
