//! Balancing decisions. The interface (settings, events, actions) is `src/api.rs`; the design is in
//! `docs/architecture.md`.
//!
//! A server's in-flight budget is the most calls that this balancer has in flight there. A call goes to the
//! less loaded of two random servers below their budgets. If there is none, it is sent beyond a budget as a
//! trial, which raises the budget if served, or queued. Calls are rejected while all servers are ejected.

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
        // While calls are queued, a new one only joins the end of the queue, which needs no new scan.
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
            // A timer before `timer_at` is stale and ignored: otherwise each would request another forever.
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

    /// After the end of an attempt, ends an answered call or retries one with no attempt left in flight.
    fn proceed(&mut self, now: Micros, id: CallId, outcome: Outcome, complete: bool, actions: &mut Actions) {
        if complete || outcome == Outcome::Served {
            self.end_call(id);
            self.cancel_attempts(id, None, actions);
        } else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.queued && c.in_flight_count() == 0) {
            self.retry(now, id, outcome, actions);
        }
        self.remove_if_complete(id);
    }

    /// Requests a timer event for the next subscription, call timer or poll of the queue, whichever is first.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.subscribe_at.min(self.call_timers.first().map_or(Micros::MAX, |w| w.0));
        if !self.queue.is_empty() {
            // No event marks the end of a server's backoff or pause, so a queue that is not empty is polled.
            next = next.min(now + self.settings.clock_tick.max(self.initial_backoff() / 8));
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake { after: next.saturating_sub(now).max(1) });
        }
    }
}
