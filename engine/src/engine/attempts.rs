//! Sending and cancelling attempts for the policy.

use super::{Engine, Inner};
use crate::call::{outcome_event, Attempt, Permission, Reply};
use crate::task::spawn;
use crate::transport::{run_attempt, AttemptTarget, Transport, WriteMeter};
use flaxhead_policy::{CallId, Micros, Outcome, ServerId};
use std::time::Duration;
use tokio::time::Instant;

/// Time limits of an attempt, on the engine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendWindow {
    /// Time at which the attempt is cancelled; `None` for the call's deadline.
    pub(super) deadline: Option<Micros>,
    /// Time from which writing must not start; `None` for no limit but the deadline.
    pub(super) send_by: Option<Micros>,
}

impl<T: Transport> Inner<T> {
    /// Sends an attempt, or queues the event that it was not sent.
    pub(super) fn send(&mut self, engine: &Engine<T>, id: CallId, server: ServerId, window: SendWindow) {
        let now = Instant::now();
        let Inner { calls, hosts, retry_limiter, transport, clock, counts, events, .. } = self;
        let Some(call) = calls.get_mut(&id) else { return };
        let deadline = window.deadline.map_or(call.deadline, |at| clock.instant(at).min(call.deadline));
        let host = hosts.get(&server).filter(|host| host.is_available());
        let Some(host) = host.filter(|_| call.is_pending() && now < deadline) else {
            return events.push_back(call.record_unsent_attempt(id, !call.is_pending()));
        };
        match call.permission(retry_limiter.as_deref_mut(), clock.at(now)) {
            Permission::Granted => {}
            Permission::Denied => return events.push_back(call.record_unsent_attempt(id, false)),
            Permission::Exhausted { may_have_run } => {
                events.push_back(call.record_unsent_attempt(id, true));
                let reply = if may_have_run { Reply::Failed } else { Reply::Rejected(Duration::ZERO) };
                return self.complete_call(id, reply);
            }
        }
        let address = host.address;
        let send_by = window.send_by.map(|at| clock.instant(at));
        let meter = WriteMeter::new(host.cutoff.clone(), send_by);
        let target = AttemptTarget { server, address, non_idempotent: call.non_idempotent, deadline };
        let sending = transport.send(target, &call.request, &meter);
        let attempt = call.next_attempt();
        let task = {
            let (engine, meter) = (engine.clone(), meter.clone());
            spawn(async move {
                let result = run_attempt(sending, &meter, deadline, send_by).await;
                engine.finish_attempt(id, attempt, result);
            })
        };
        counts.attempts += 1;
        call.attempts.push(Some(Attempt { server, address, sent_at: now, meter, _task: task }));
    }

    /// Cancels an attempt, and queues the event of its outcome.
    pub(super) fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(cancelled) = call.take_attempt(attempt, Outcome::Cancelled) else { return };
        let complete = !call.is_pending();
        let elapsed = cancelled.sent_at.elapsed();
        self.events.push_back(outcome_event(id, attempt, Outcome::Cancelled, elapsed, complete));
        self.remove_if_finished(id);
    }
}
