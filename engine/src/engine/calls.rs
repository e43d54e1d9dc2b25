//! The life of a call: received, ended, answered, removed.

use super::{Engine, Inner, PendingCall};
use crate::call::{AttemptTrace, Call, CallPermit, CallSpec, FinalResponse, Reply};
use crate::clock::micros;
use crate::event::EngineEvent;
use crate::transport::{AttemptResult, Transport};
use flaxhead_policy::{CallId, Event, Idempotency};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl<T: Transport> Engine<T> {
    /// Receives a call, with the permit that it holds meanwhile, if any.
    pub fn request(
        &self,
        spec: CallSpec,
        request: T::Request,
        permit: Option<Box<dyn CallPermit>>,
    ) -> PendingCall<T> {
        let mut inner = self.0.borrow_mut();
        inner.counts.requests += 1;
        inner.last_call += 1;
        let call = CallId(inner.last_call);
        let (sender, reply) = oneshot::channel();
        let CallSpec { class, tenant, deadline, resent, max_attempts } = spec;
        let time_left = micros(deadline.saturating_duration_since(Instant::now()));
        let class_settings = inner.settings.classes.get(class.0);
        let non_idempotent =
            class_settings.is_none_or(|class| class.idempotency == Idempotency::NonIdempotent);
        inner.notify(|| EngineEvent::CallReceived { call, class, request: &request });
        let in_flight = Call {
            request: Rc::new(request),
            class,
            non_idempotent,
            deadline,
            reply: Some(sender),
            attempts: Vec::new(),
            ended_trace: AttemptTrace::default(),
            max_attempts,
            permit,
        };
        inner.calls.insert(call, in_flight);
        drop(inner);
        self.run([Event::Request { call, class, tenant, time_left, resent }]);
        PendingCall { engine: self.clone(), call, reply }
    }

    /// Gives a call up, as its client has gone.
    pub(super) fn abandon(&self, id: CallId) -> AttemptTrace {
        let mut inner = self.0.borrow_mut();
        let Some(call) = inner.calls.get_mut(&id).filter(|call| call.is_pending()) else {
            return AttemptTrace::default();
        };
        let trace = call.trace();
        call.reply = None;
        inner.events.push_back(Event::ClientCancelled { call: id });
        inner.remove_if_finished(id);
        drop(inner);
        self.run([]);
        trace
    }

    /// Answers all pending calls at once: rejected where nothing can have run, otherwise failed. What comes after that is
    /// left to the front.
    pub fn complete_all_calls(&self) {
        let mut inner = self.0.borrow_mut();
        let pending: Vec<CallId> =
            inner.calls.iter().filter(|(_, call)| call.is_pending()).map(|(&id, _)| id).collect();
        for id in pending {
            let may_have_run = inner.calls.get(&id).is_some_and(|call| call.trace().may_have_run);
            // As where a client goes: the module hears of that before it hears of what is withdrawn.
            inner.events.push_back(Event::ClientCancelled { call: id });
            inner.answer(id, if may_have_run { Reply::Failed } else { Reply::Rejected(Duration::ZERO) });
        }
        drop(inner);
        self.run([]);
    }

    /// Takes in how an attempt ended.
    pub(super) fn finish_attempt(&self, id: CallId, attempt: u32, result: AttemptResult<T::Response>) {
        let mut inner = self.0.borrow_mut();
        let Some(call) = inner.calls.get_mut(&id) else { return };
        let AttemptResult { outcome, load, response } = result;
        let Some(ended) = call.take_attempt(attempt, outcome) else { return };
        let elapsed = micros(ended.sent.elapsed());
        let complete = response.is_some() || !call.is_pending();
        if let Some(response) = response {
            inner.respond(id, Reply::Served(response));
        }
        inner.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, complete, load });
        inner.remove_if_finished(id);
        if inner.hosts.contains_key(&ended.server) {
            inner.notify(|| EngineEvent::AttemptEnded { server: ended.server, outcome });
        }
        drop(inner);
        self.run([]);
        // Dropped last: this may be the very task of the attempt.
        drop(ended);
    }
}

impl<T: Transport> Inner<T> {
    /// Gives a call its response, and removes it if nothing of it is left.
    pub(super) fn answer(&mut self, id: CallId, reply: Reply<T::Response>) {
        self.respond(id, reply);
        self.remove_if_finished(id);
    }

    /// Gives a call its response, unless it has one.
    fn respond(&mut self, id: CallId, reply: Reply<T::Response>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(sender) = call.reply.take() else { return };
        let trace = call.trace();
        self.notify(|| EngineEvent::CallCompleted { call: id, reply: &reply });
        // A client that has just gone has no use for it.
        let _ = sender.send(FinalResponse { reply, trace });
    }

    /// Withdraws what is left of a call without a client, and removes it once none of its attempts is in flight.
    pub(super) fn remove_if_finished(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_pending()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            self.calls.remove(&id);
        }
    }
}
