//! Retries after unserved attempts, and hedged requests.

use super::balancer::*;

impl Balancer {
    /// Queues a call again after an unserved attempt; rejects or fails it if no retry is allowed or in time.
    pub(super) fn retry(&mut self, now: Micros, id: CallId, outcome: Outcome, actions: &mut Actions) {
        let call = &self.calls[&id];
        let in_time =
            now as f64 + self.mean_latency(call.class_id, call.class.objective) < call.useful_until() as f64;
        let reachable =
            self.servers.iter().any(|s| s.listed && call.may_go_to(now, s, self.settings.clock_tick));
        let allowed = (call.attempts.len() as u32) < self.settings.limits.max_attempts;
        if in_time && reachable && allowed && (self.retry_tokens >= 1.0 || outcome == Outcome::NoConnection) {
            self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
            self.enqueue(now, id, true);
        } else {
            self.reject_or_fail(id, self.initial_backoff(), actions);
        }
    }

    pub(super) fn run_call_timers(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(&(_, id)) = self.call_timers.first().filter(|timer| timer.0 <= now) {
            self.set_call_timer(id, 0);
            if self.calls[&id].queued {
                self.reject_or_fail(id, now.saturating_sub(self.calls[&id].arrived_at), actions);
            } else {
                self.hedge(now, id, actions);
            }
        }
    }

    /// Sends a hedged request for a call with a slow attempt, if a retry token is left and no call is queued.
    fn hedge(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let clock_tick = self.settings.clock_tick;
        let may_hedge =
            (call.attempts.len() as u32) < self.settings.limits.max_attempts && call.in_flight_count() == 1;
        let is_candidate = |s: &Server| {
            s.is_usable(now, self.served_count, &self.settings.safety)
                && call.may_go_to(now, s, clock_tick)
                && call.is_untried(s.id)
        };
        let can_hedge = self.retry_tokens >= 1.0 && self.queue.is_empty();
        if !may_hedge || !can_hedge || !self.servers.iter().any(is_candidate) {
            return;
        }
        if let Route::Send { server, kind: SendKind::Regular } = self.route(now, id) {
            self.retry_tokens -= 1.0;
            self.send(now, id, server, SendKind::Regular, actions);
        }
    }
}
