//! A call, from its request until it has its response and none of its attempts is in flight.

use crate::clock::micros;
use crate::task::Task;
use crate::transport::{Transport, WriteMeter};
use flaxhead_policy::{CallId, ClassId, Event, LoadReport, Micros, Outcome, ServerId, TenantId};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What the decision module is given of a request.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// Its class, which has its deadline, its priority weight and its idempotency.
    pub class: ClassId,
    /// The tenant that makes the call, where it names one.
    pub tenant: Option<TenantId>,
    /// Until when the client is to have its response.
    pub deadline: Instant,
    /// Whether the client says that it has tried before.
    pub resent: bool,
    /// Most attempts that may reach a host, whatever the module's own limit; [`CallSpec::UNBOUNDED`]: that alone counts.
    pub max_attempts: u32,
}

impl CallSpec {
    /// No limit on attempts beside the module's.
    pub const UNBOUNDED: u32 = u32::MAX;
}

/// The one final response of a call.
#[derive(Debug)]
pub enum Reply<A> {
    /// A host's response.
    Served(A),
    /// Rejected before it can have run; the client may retry after this time.
    Rejected(Duration),
    /// Failed; it may have run.
    Failed,
}

/// What hosts may have seen of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTrace {
    /// Attempts of which at least one byte may have been sent.
    pub attempts: u32,
    /// Whether one of them may have run, or may still run.
    pub may_have_run: bool,
}

/// A call's end.
#[derive(Debug)]
pub struct FinalResponse<A> {
    /// The response for the client.
    pub reply: Reply<A>,
    /// What hosts may have seen of the call.
    pub trace: AttemptTrace,
}

/// Limits retries beyond what the module decides, across all calls that share it. It must not block.
pub trait RetryLimiter {
    /// Whether a further attempt may go out for a call of which hosts may have seen one; `false` ends the call. `now` is
    /// the engine's clock.
    fn try_acquire(&mut self, now: Micros) -> bool;
}

/// What a call holds until it has its response and none of its attempts is in flight, also where its client has gone
/// before. It is dropped then. It must not block, nor call the engine.
pub trait CallPermit {
    /// Whether one more attempt may go out beside one that is in flight; `false`: the call goes on without it.
    fn acquire_extra(&mut self) -> bool;

    /// One of several attempts that were in flight has ended.
    fn release_extra(&mut self);

    /// An attempt that may have reached its host was given up, so the host may work on for a moment. Called before the
    /// attempt counts as ended.
    fn attempt_abandoned(&mut self);
}

/// A call in flight.
pub(crate) struct Call<T: Transport> {
    pub(crate) request: Rc<T::Request>,
    pub(crate) class: ClassId,
    /// It must never run twice.
    pub(crate) non_idempotent: bool,
    pub(crate) deadline: Instant,
    /// `None` once the call has its response, or its client has gone.
    pub(crate) reply: Option<oneshot::Sender<FinalResponse<T::Response>>>,
    /// By attempt number; `None` once that attempt has ended.
    pub(crate) attempts: Vec<Option<Attempt>>,
    /// What hosts may have seen of the attempts that have ended.
    pub(crate) ended_trace: AttemptTrace,
    pub(crate) max_attempts: u32,
    pub(crate) permit: Option<Box<dyn CallPermit>>,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sent: Instant,
    pub(crate) meter: WriteMeter,
    /// Cancels the attempt when dropped.
    pub(crate) _task: Task,
}

impl Attempt {
    fn may_have_been_seen(&self) -> bool {
        self.meter.bytes_written() > 0
    }
}

/// Whether a call may have a further attempt.
pub(crate) enum Permission {
    Granted,
    /// The call goes on with the attempts that it has.
    Denied,
    /// The call ends.
    Exhausted {
        /// Whether one of its attempts may have run.
        may_have_run: bool,
    },
}

impl AttemptTrace {
    fn record(&mut self, attempt: &Attempt, outcome: Outcome) {
        let seen = attempt.may_have_been_seen();
        self.attempts += u32::from(seen);
        self.may_have_run |= seen && !outcome.never_ran();
    }
}

impl<T: Transport> Call<T> {
    /// Whether its client still waits.
    pub(crate) fn is_pending(&self) -> bool {
        self.reply.is_some()
    }

    /// What hosts may have seen of it so far.
    pub(crate) fn trace(&self) -> AttemptTrace {
        let seen = self.in_flight().filter(|attempt| attempt.may_have_been_seen());
        let seen = u32::try_from(seen.count()).unwrap_or(u32::MAX);
        AttemptTrace {
            attempts: self.ended_trace.attempts.saturating_add(seen),
            may_have_run: self.ended_trace.may_have_run || seen > 0,
        }
    }

    fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// The number of the next attempt.
    pub(crate) fn next_attempt(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Removes an attempt from those in flight, as it has ended so.
    pub(crate) fn take_attempt(&mut self, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let ended = self.attempts.get_mut(attempt as usize)?.take()?;
        self.ended_trace.record(&ended, outcome);
        let abandoned = matches!(outcome, Outcome::Cancelled | Outcome::TimedOut);
        if let Some(permit) = self.permit.as_mut().filter(|_| abandoned && ended.may_have_been_seen()) {
            permit.attempt_abandoned();
        }
        self.release_extra_permits(1);
        Some(ended)
    }

    /// Whether it may have a further attempt now.
    pub(crate) fn permission(
        &mut self,
        retries: Option<&mut (dyn RetryLimiter + 'static)>,
        now: Micros,
    ) -> Permission {
        let AttemptTrace { attempts, may_have_run } = self.trace();
        let may_go = match attempts {
            0 => true,
            attempts if attempts >= self.max_attempts => false,
            _ => retries.is_none_or(|retries| retries.try_acquire(now)),
        };
        if !may_go {
            return Permission::Exhausted { may_have_run };
        }
        match self.may_add_attempt() {
            true => Permission::Granted,
            false => Permission::Denied,
        }
    }

    /// Counts an attempt that is not sent. Returns its outcome for the module.
    pub(crate) fn skip_attempt(&mut self, id: CallId, complete: bool) -> Event {
        let attempt = self.next_attempt();
        self.attempts.push(None);
        outcome_event(id, attempt, Outcome::NotSent, Duration::ZERO, complete)
    }

    /// Whether one more attempt may go out now, by the call's permit.
    fn may_add_attempt(&mut self) -> bool {
        let is_extra = self.in_flight().next().is_some();
        match &mut self.permit {
            Some(permit) if is_extra => permit.acquire_extra(),
            _ => true,
        }
    }

    /// Releases the permits of attempts that have ended. The call's last attempt uses the call's own permit.
    fn release_extra_permits(&mut self, ended: usize) {
        let is_last = self.in_flight().next().is_none();
        let extra = if is_last { ended.saturating_sub(1) } else { ended };
        if let Some(permit) = &mut self.permit {
            (0..extra).for_each(|_| permit.release_extra());
        }
    }

    /// Ends the attempts that are unwanted and of which nothing is written yet. Unlike one that is cancelled, such an
    /// attempt surely never ran.
    pub(crate) fn withdraw(
        &mut self,
        id: CallId,
        events: &mut VecDeque<Event>,
        is_unwanted: impl Fn(&Attempt) -> bool,
    ) {
        let complete = !self.is_pending();
        let mut ended = 0;
        for (attempt, slot) in (0..).zip(&mut self.attempts) {
            if let Some(unsent) =
                slot.take_if(|attempt| !attempt.may_have_been_seen() && is_unwanted(attempt))
            {
                unsent.meter.withdraw();
                ended += 1;
                events.push_back(outcome_event(
                    id,
                    attempt,
                    Outcome::NotSent,
                    unsent.sent.elapsed(),
                    complete,
                ));
            }
        }
        self.release_extra_permits(ended);
    }
}

/// The module's event for an attempt that the engine itself has ended.
pub(crate) fn outcome_event(
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Duration,
    complete: bool,
) -> Event {
    Event::Outcome { call, attempt, outcome, elapsed: micros(elapsed), complete, load: LoadReport::default() }
}
