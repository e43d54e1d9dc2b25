//! Life of a call: arrival, attempts, completion; where it may be sent and whether it may be rejected.

use super::balancer::*;

/// End of the deduplication window that the attempt `first` began, less one clock tick.
fn window_end(first: &Attempt, window: Micros, clock_tick: Micros) -> Micros {
    first.sent_at.saturating_add(window).saturating_sub(clock_tick)
}

impl Call {
    /// Time until which an answer has value: the objective, or the deadline if late answers count.
    pub(super) fn useful_until(&self) -> Micros {
        let useful_for = if self.class.late_ratio > 0.0 { self.class.deadline } else { self.class.objective };
        self.deadline.min(self.arrived_at.saturating_add(useful_for))
    }

    /// Whether idempotency allows sending the call to `server`, given the attempts that may have run.
    pub(super) fn may_go_to(&self, now: Micros, server: &Server, clock_tick: Micros) -> bool {
        match (self.first_run(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, window }) => {
                let in_scope = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Cell => first.cell == server.cell,
                };
                in_scope && now < window_end(first, window, clock_tick)
            }
        }
    }

    /// Latest time to begin writing the next attempt; `None` without a deduplication window.
    fn send_by(&self, clock_tick: Micros) -> Option<Micros> {
        match (self.first_run(), self.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => Some(window_end(first, window, clock_tick)),
            _ => None,
        }
    }

    pub(super) fn may_be_rejected(&self) -> bool {
        let is_repeatable = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        is_repeatable || self.first_run().is_none()
    }
}

impl Balancer {
    pub(super) fn add_call(&mut self, now: Micros, id: CallId, class: ClassId, time_left: Micros) {
        // A class missing from the settings is non-idempotent, with the client's deadline as its objective.
        let unknown = Class { objective: time_left, deadline: time_left, ..Class::default() };
        let known = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(time_left);
        let (class, class_id, arrived_at) = (known, class.0, now);
        self.calls.insert(id, Call { class, class_id, arrived_at, deadline, ..Call::default() });
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS);
        self.latencies.iter_mut().skip(class_id).take(1).for_each(|class| class.request_count += 1.0);
    }

    /// Records the end of an attempt; `None` if the attempt is unknown or has already ended.
    pub(super) fn record_outcome(&mut self, id: CallId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let call = self.calls.get_mut(&id)?;
        let recorded = call.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        recorded.outcome = Some(outcome);
        Some(*recorded)
    }

    pub(super) fn send(&mut self, now: Micros, id: CallId, to: usize, kind: SendKind, actions: &mut Actions) {
        let server = &mut self.servers[to];
        server.send_credits = (server.send_credits - 1.0).max(0.0);
        self.send_count += 1;
        server.in_flight += 1;
        server.budget.trial_in_flight |= kind == SendKind::Trial;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let &mut Server { id: server, started_at, zone, cell, .. } = server;
        let (class_id, sent_at, outcome) = (call.class_id, now, None);
        let send_by = call.send_by(self.settings.clock_tick);
        call.attempts.push(Attempt { server, started_at, zone, cell, class_id, sent_at, kind, outcome });
        let attempt_count = call.attempts.len();
        // The attempt times out when an answer loses its value, unless one is unlikely to come before that.
        let (useful_until, arrived_at) = (call.useful_until(), call.arrived_at);
        let (latest, mean) = (call.deadline, self.mean_latency(class_id, self.calls[&id].class.objective));
        let deadline =
            (useful_until < latest && useful_until as f64 > now as f64 + mean).then_some(useful_until);
        actions.push(Action::Send { call: id, server, deadline, send_by });
        // A hedge is sent as late as its answer can be in time, but not within 1.5 mean latencies.
        let hedge_at = (useful_until as f64 - SPARE_LATENCY_RATIO * mean).max(arrived_at as f64 + 1.5 * mean);
        // A balancer of a large group cannot tell a stalled server from a long call: hedges only add load.
        let may_hedge = attempt_count == 1 && self.settings.limits.hedging && self.large_group.is_none();
        let hedges = may_hedge && hedge_at + mean <= useful_until as f64;
        self.set_call_timer(id, if hedges { (hedge_at as Micros).max(now + 1) } else { 0 });
    }

    pub(super) fn reject_or_fail(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let may_be_rejected = self.calls[&id].may_be_rejected();
        actions.push(if may_be_rejected {
            Action::Reject { call: id, retry_after }
        } else {
            Action::Fail { call: id }
        });
        self.end_call(id);
        self.cancel_attempts(id, None, actions);
        self.remove_if_complete(id);
    }

    pub(super) fn end_call(&mut self, id: CallId) {
        self.set_call_timer(id, 0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.ended = true;
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.queue.iter().position(|&queued| queued == id) {
                self.queue.remove(index);
            }
        }
    }

    pub(super) fn cancel_attempts(&mut self, id: CallId, except: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let cancelled = (0..).zip(&call.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != except);
        actions.extend(cancelled.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    pub(super) fn remove_if_complete(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.in_flight_count() == 0) {
            self.calls.remove(&id);
        }
    }

    pub(super) fn set_call_timer(&mut self, id: CallId, timer_at: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.timer_at != 0 {
            self.call_timers.remove(&(call.timer_at, id));
        }
        call.timer_at = timer_at;
        if timer_at != 0 {
            self.call_timers.insert((timer_at, id));
        }
    }
}
