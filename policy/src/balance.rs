//! Balancing decisions. The interface (settings, events, actions) is `src/api.rs`; the design is in
//! `docs/architecture.md`.
//!
//! A call goes to the less loaded of two random servers within their in-flight budgets, and waits in a queue
//! when all are full. One call at a time may exceed a budget as a trial that can raise it. Calls are rejected
//! when all servers are ejected.

mod balancer;
mod budget;
mod calls;
mod constants;
mod latency;
mod learn;
mod list;
mod pick;
mod queue;
mod restore;
mod retry;
mod server;
mod slow_start;
mod subset;
mod trials;

pub use balancer::Balancer;
use balancer::*;
pub use restore::RestoreError;

impl Balancer {
    /// Handles an event at time `now`, in microseconds, and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // A new call behind others cannot be sent before them, so the queue is not scanned again for it.
        let queue_unchanged = matches!(event, Event::Request { .. }) && !self.queue.is_empty();
        match event {
            Event::Start => self.start(now),
            Event::Members { kind, entries } => self.update_servers(now, kind, &entries),
            Event::Request { call, class, tenant, time_left, .. } if !self.calls.contains_key(&call) => {
                self.add_call(now, call, class, time_left);
                self.earn_send_credits(now, false);
                self.admit(now, call, tenant, actions);
            }
            Event::Outcome { call, attempt, outcome, elapsed, complete, load } => {
                self.record_load_report(call, attempt, load);
                if let Some(recorded) = self.record_outcome(call, attempt, outcome) {
                    if outcome == Outcome::Served {
                        self.earn_send_credits(now, true);
                    }
                    self.learn(now, recorded, elapsed, actions);
                    self.proceed(now, call, outcome, complete, actions);
                }
            }
            Event::Streaming { call, attempt } => {
                // The response has begun: the call is not retried, and its other attempts are cancelled.
                self.end_call(call);
                self.cancel_attempts(call, Some(attempt), actions);
            }
            Event::ClientCancelled { call } => {
                self.end_call(call);
                self.cancel_attempts(call, None, actions);
                self.remove_if_complete(call);
            }
            // Only the timer that is due is cleared: otherwise each of several would set another one forever.
            Event::Timer if now >= self.timer_at => self.timer_at = Micros::MAX,
            Event::Timer | Event::Probed { .. } | Event::Request { .. } => {}
        }
        self.run_call_timers(now, actions);
        if !queue_unchanged {
            self.drain_queue(now, actions);
        }
        if now >= self.subscribe_at {
            (self.subscribe_at, self.last_subscribe_at) = (Micros::MAX, now);
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    /// Ends or retries the call after an attempt; waits if another attempt is in flight.
    fn proceed(&mut self, now: Micros, id: CallId, outcome: Outcome, complete: bool, actions: &mut Actions) {
        if complete || outcome == Outcome::Served {
            self.end_call(id);
            self.cancel_attempts(id, None, actions);
        } else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.queued && c.in_flight_count() == 0) {
            self.retry(now, id, outcome, actions);
        }
        self.remove_if_complete(id);
    }

    /// Requests one timer for the earliest of the subscription, the call timers and the polling of the queue.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.subscribe_at.min(self.call_timers.first().map_or(Micros::MAX, |w| w.0));
        if !self.queue.is_empty() {
            // No event marks the end of a backoff or pause, so a queue that is not empty is polled.
            next = next.min(now + self.settings.clock_tick.max(self.initial_backoff() / 8));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake { after: next.saturating_sub(now).max(1) });
        }
    }
}
