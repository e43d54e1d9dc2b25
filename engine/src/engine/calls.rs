//! Submission, completion and removal of calls.

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
    /// Submits a call. `permit` is held until the call has its response and none of its attempts is in
    /// flight.
    pub fn request(
        &self,
        spec: CallSpec,
        request: T::Request,
        permit: Option<Box<dyn CallPermit>>,
    ) -> PendingCall<T> {
        let mut inner = self.0.borrow_mut();
        inner.counts.requests += 1;
        inner.last_call_id += 1;
        let call = CallId(inner.last_call_id);
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

    /// Ends a call whose client has disconnected. Returns the attempts that may have reached a host.
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

    /// Completes all pending calls at once: those that no host can have run are rejected, the others fail.
    /// Calls that are submitted later are not affected.
    pub fn complete_all_calls(&self) {
        let mut inner = self.0.borrow_mut();
        let pending: Vec<CallId> =
            inner.calls.iter().filter(|(_, call)| call.is_pending()).map(|(&id, _)| id).collect();
        for id in pending {
            let may_have_run = inner.calls.get(&id).is_some_and(|call| call.trace().may_have_run);
            // The policy expects the end of the call before the outcomes of its withdrawn attempts.
            inner.events.push_back(Event::ClientCancelled { call: id });
            inner.complete_call(
                id,
                if may_have_run { Reply::Failed } else { Reply::Rejected(Duration::ZERO) },
            );
        }
        drop(inner);
        self.run([]);
    }

    /// Records the result of an attempt, completes the call if the result has a response, and passes the
    /// outcome to the policy.
    pub(super) fn finish_attempt(&self, id: CallId, attempt: u32, result: AttemptResult<T::Response>) {
        let mut inner = self.0.borrow_mut();
        let Some(call) = inner.calls.get_mut(&id) else { return };
        let AttemptResult { outcome, load, response } = result;
        let Some(ended) = call.take_attempt(attempt, outcome) else { return };
        let elapsed = micros(ended.sent_at.elapsed());
        let complete = response.is_some() || !call.is_pending();
        if let Some(response) = response {
            inner.send_response(id, Reply::Served(response));
        }
        inner.events.push_back(Event::Outcome { call: id, attempt, outcome, elapsed, complete, load });
        inner.remove_if_finished(id);
        if inner.hosts.contains_key(&ended.server) {
            inner.notify(|| EngineEvent::AttemptEnded { server: ended.server, outcome });
        }
        drop(inner);
        self.run([]);
        // Dropping the attempt aborts its task, which may be the task that runs this function.
        drop(ended);
    }
}

impl<T: Transport> Inner<T> {
    /// Completes a call, and removes it if none of its attempts is in flight.
    pub(super) fn complete_call(&mut self, id: CallId, reply: Reply<T::Response>) {
        self.send_response(id, reply);
        self.remove_if_finished(id);
    }

    /// Sends the response to the client, unless the call is complete.
    fn send_response(&mut self, id: CallId, reply: Reply<T::Response>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(sender) = call.reply.take() else { return };
        let trace = call.trace();
        self.notify(|| EngineEvent::CallCompleted { call: id, reply: &reply });
        // Sending fails only if the client has just disconnected.
        let _ = sender.send(FinalResponse { reply, trace });
    }

    /// Withdraws the unwritten attempts of a complete call, and removes the call once none of its attempts is
    /// in flight.
    pub(super) fn remove_if_finished(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_pending()) else { return };
        call.withdraw(id, &mut self.events, |_| true);
        if call.attempts.iter().all(Option::is_none) {
            self.calls.remove(&id);
        }
    }
}
