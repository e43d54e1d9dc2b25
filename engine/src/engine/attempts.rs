//! Attempts, as the decision module asks for them.

use super::{Engine, Inner};
use crate::call::{outcome_event, Attempt, Reply};
use crate::task::spawn;
use crate::transport::{run_until, AttemptTarget, Transport, WriteMeter};
use flaxhead_policy::{CallId, Micros, Outcome, ServerId};
use std::time::Duration;
use tokio::time::Instant;

/// When an attempt may run, by the engine's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendWindow {
    /// When it is given up; `None`: with its call.
    pub(super) until: Option<Micros>,
    /// From when on it must not begin; `None`: it may for as long as it is in flight.
    pub(super) begin_by: Option<Micros>,
}

/// Whether a call may have a further attempt.
enum Permission {
    Granted,
    /// The call goes on with the attempts that it has.
    Denied,
    /// The call ends.
    Exhausted {
        /// Whether one of its attempts may have run.
        may_run: bool,
    },
}

impl<T: Transport> Inner<T> {
    /// Sends an attempt, or reports at once that it was not sent.
    pub(super) fn send(&mut self, engine: &Engine<T>, id: CallId, server: ServerId, window: SendWindow) {
        let now = Instant::now();
        let Some(call) = self.calls.get(&id) else { return };
        let until = window.until.map_or(call.deadline, |at| self.clock.instant(at).min(call.deadline));
        let (is_pending, single_shot) = (call.is_pending(), call.single_shot);
        let host = self.hosts.get(&server).filter(|host| host.is_available());
        let Some(address) = host.map(|host| host.address).filter(|_| is_pending && now < until) else {
            return self.skip_attempt(id, !is_pending);
        };
        match self.permission(id, now) {
            Permission::Granted => {
                let target = AttemptTarget { server, address, single_shot, until };
                self.spawn_attempt(engine, id, target, now, window.begin_by);
            }
            Permission::Denied => self.skip_attempt(id, false),
            Permission::Exhausted { may_run } => {
                self.skip_attempt(id, true);
                self.answer(id, if may_run { Reply::Failed } else { Reply::Rejected(Duration::ZERO) });
            }
        }
    }

    fn permission(&mut self, id: CallId, now: Instant) -> Permission {
        let now = self.clock.at(now);
        let Some(call) = self.calls.get_mut(&id) else { return Permission::Denied };
        let seen = call.trace();
        let may_go = match (seen.attempts, &mut self.retries) {
            (0, _) => true,
            (attempts, _) if attempts >= call.max_attempts => false,
            (_, retries) => retries.as_mut().is_none_or(|retries| retries.try_acquire(now)),
        };
        if !may_go {
            return Permission::Exhausted { may_run: seen.may_run };
        }
        match call.may_add_attempt() {
            true => Permission::Granted,
            false => Permission::Denied,
        }
    }

    /// Counts an attempt that is not sent.
    fn skip_attempt(&mut self, id: CallId, closed: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let attempt = call.next_attempt();
        call.attempts.push(None);
        self.events.push_back(outcome_event(id, attempt, Outcome::NotSent, Duration::ZERO, closed));
    }

    fn spawn_attempt(
        &mut self,
        engine: &Engine<T>,
        id: CallId,
        target: AttemptTarget,
        sent: Instant,
        begin_by: Option<Micros>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(host) = self.hosts.get(&target.server) else { return };
        let AttemptTarget { server, address, until, .. } = target;
        let attempt = call.next_attempt();
        let begin_by = begin_by.map(|at| self.clock.instant(at));
        let meter = WriteMeter::new(host.cutoff.clone(), begin_by);
        let sending = self.transport.send(target, &call.request, &meter);
        let task = {
            let (engine, meter) = (engine.clone(), meter.clone());
            spawn(async move {
                let result = run_until(sending, &meter, until, begin_by).await;
                engine.finish_attempt(id, attempt, result);
            })
        };
        self.counts.attempts += 1;
        call.attempts.push(Some(Attempt { server, address, sent, meter, _task: task }));
    }

    /// Cancels an attempt.
    pub(super) fn cancel(&mut self, id: CallId, attempt: u32) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(cancelled) = call.take_attempt(attempt, Outcome::CalledOff) else { return };
        let closed = !call.is_pending();
        let elapsed = cancelled.sent.elapsed();
        self.events.push_back(outcome_event(id, attempt, Outcome::CalledOff, elapsed, closed));
        self.remove_if_finished(id);
    }
}
