//! State of a call, kept until the client has its response and none of its attempts is in flight.

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

/// Properties of a call that the policy needs.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// Class of the call; its settings hold the priority weight and the idempotency.
    pub class: ClassId,
    /// Tenant that makes the call; `None` if the client names none.
    pub tenant: Option<TenantId>,
    /// Time by which the client needs the response.
    pub deadline: Instant,
    /// True if the client marks the call as a retry of its own.
    pub resent: bool,
    /// Maximum number of attempts that may reach a host, in addition to the policy's limit;
    /// [`CallSpec::UNBOUNDED`] applies the policy's limit alone.
    pub max_attempts: u32,
}

impl CallSpec {
    /// Value of `max_attempts` that adds no limit to the policy's.
    pub const UNBOUNDED: u32 = u32::MAX;
}

/// Result of a call for its client: exactly one is delivered.
#[derive(Debug)]
pub enum Reply<A> {
    /// Response of a host, which may report an error of its own.
    Served(A),
    /// Rejection of a call that no host has run; the client may retry after this time.
    Rejected(Duration),
    /// Failure of a call that a host may have run.
    Failed,
}

/// Attempts of a call that may have reached a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTrace {
    /// Number of attempts of which at least one byte may have been written.
    pub attempts: u32,
    /// True if a host may have run one of these attempts, or may still be running it.
    pub may_have_run: bool,
}

/// Final result of a call, and the attempts that led to it.
#[derive(Debug)]
pub struct FinalResponse<A> {
    /// Result to deliver to the client.
    pub reply: Reply<A>,
    /// Attempts that may have reached a host.
    pub trace: AttemptTrace,
}

/// Limit on retries, shared by several calls and applied in addition to the policy's. Methods must not block.
pub trait RetryLimiter {
    /// Returns whether a retry may be sent; `false` completes the call. The engine asks only if an earlier
    /// attempt of the call may have reached a host. `now` is a reading of the engine's clock.
    fn try_acquire(&mut self, now: Micros) -> bool;
}

/// Permit that a call holds until it has its response and none of its attempts is in flight, even if its
/// client disconnects earlier. The engine drops it at that time. Methods must not block and must not call the
/// engine.
pub trait CallPermit {
    /// Acquires an extra permit for an attempt in parallel with one in flight. Returns `false` if there is
    /// none: the call then continues with the attempts it has.
    fn acquire_extra(&mut self) -> bool;

    /// Releases an extra permit; called when an attempt ends while others of the call are in flight.
    fn release_extra(&mut self);

    /// Reports that an attempt was cancelled or timed out after it may have reached its host, which may
    /// therefore still be working on it. Called before `release_extra` and before the permit is dropped.
    fn attempt_abandoned(&mut self);
}

/// Call that has no response yet, or has attempts in flight.
pub(crate) struct Call<T: Transport> {
    pub(crate) request: Rc<T::Request>,
    pub(crate) class: ClassId,
    /// True if the call must not run twice.
    pub(crate) non_idempotent: bool,
    pub(crate) deadline: Instant,
    /// Channel to the client; `None` once the response is sent or the client has disconnected.
    pub(crate) reply: Option<oneshot::Sender<FinalResponse<T::Response>>>,
    /// Attempts by number; `None` for those that have ended.
    pub(crate) attempts: Vec<Option<Attempt>>,
    /// Summary of the attempts that have ended.
    pub(crate) ended_trace: AttemptTrace,
    pub(crate) max_attempts: u32,
    pub(crate) permit: Option<Box<dyn CallPermit>>,
}

/// Attempt whose task has not ended.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) meter: WriteMeter,
    /// Task that runs the attempt; dropping it cancels the attempt.
    pub(crate) _task: Task,
}

impl Attempt {
    fn may_have_reached_host(&self) -> bool {
        self.meter.bytes_written() > 0
    }
}

/// Decision on whether a call may have another attempt.
pub(crate) enum Permission {
    Granted,
    /// No extra permit for a parallel attempt: the call continues with the attempts it has.
    Denied,
    /// A limit on attempts or retries is reached: the call ends.
    Exhausted {
        /// True if a host may have run one of the call's attempts.
        may_have_run: bool,
    },
}

impl AttemptTrace {
    fn record(&mut self, attempt: &Attempt, outcome: Outcome) {
        let reached = attempt.may_have_reached_host();
        self.attempts += u32::from(reached);
        self.may_have_run |= reached && !outcome.never_ran();
    }
}

impl<T: Transport> Call<T> {
    /// Returns whether the client is still waiting for the response.
    pub(crate) fn is_pending(&self) -> bool {
        self.reply.is_some()
    }

    /// Returns the attempts that may have reached a host so far.
    pub(crate) fn trace(&self) -> AttemptTrace {
        let reached = self.in_flight().filter(|attempt| attempt.may_have_reached_host());
        let reached = u32::try_from(reached.count()).unwrap_or(u32::MAX);
        AttemptTrace {
            attempts: self.ended_trace.attempts.saturating_add(reached),
            may_have_run: self.ended_trace.may_have_run || reached > 0,
        }
    }

    fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().flatten()
    }

    /// Returns the number that the next attempt will have.
    pub(crate) fn next_attempt(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Removes an attempt that has ended with this outcome from those in flight. Returns `None` if it is not
    /// in flight.
    pub(crate) fn take_attempt(&mut self, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let ended = self.attempts.get_mut(attempt as usize)?.take()?;
        self.ended_trace.record(&ended, outcome);
        let abandoned = matches!(outcome, Outcome::Cancelled | Outcome::TimedOut);
        if let Some(permit) = self.permit.as_mut().filter(|_| abandoned && ended.may_have_reached_host()) {
            permit.attempt_abandoned();
        }
        self.release_extra_permits(1);
        Some(ended)
    }

    /// Checks the limits on attempts and retries, and acquires an extra permit if the attempt runs in
    /// parallel.
    pub(crate) fn permission(
        &mut self,
        retry_limiter: Option<&mut (dyn RetryLimiter + 'static)>,
        now: Micros,
    ) -> Permission {
        let AttemptTrace { attempts, may_have_run } = self.trace();
        let is_allowed = match attempts {
            0 => true,
            attempts if attempts >= self.max_attempts => false,
            _ => retry_limiter.is_none_or(|retry_limiter| retry_limiter.try_acquire(now)),
        };
        if !is_allowed {
            return Permission::Exhausted { may_have_run };
        }
        match self.acquire_extra_permit() {
            true => Permission::Granted,
            false => Permission::Denied,
        }
    }

    /// Assigns a number to an attempt that the policy requested but that is not sent. Returns the outcome
    /// event for the policy; `complete` is true if the call needs no further attempts.
    pub(crate) fn record_unsent_attempt(&mut self, id: CallId, complete: bool) -> Event {
        let attempt = self.next_attempt();
        self.attempts.push(None);
        outcome_event(id, attempt, Outcome::NotSent, Duration::ZERO, complete)
    }

    /// Acquires an extra permit if another attempt is in flight. Returns whether an attempt can be sent.
    fn acquire_extra_permit(&mut self) -> bool {
        let is_extra = self.in_flight().next().is_some();
        match &mut self.permit {
            Some(permit) if is_extra => permit.acquire_extra(),
            _ => true,
        }
    }

    /// Releases the extra permits of `ended` attempts. The call's last attempt in flight has no extra permit:
    /// it runs under the permit of the call.
    fn release_extra_permits(&mut self, ended: usize) {
        let is_last = self.in_flight().next().is_none();
        let extra = if is_last { ended.saturating_sub(1) } else { ended };
        if let Some(permit) = &mut self.permit {
            (0..extra).for_each(|_| permit.release_extra());
        }
    }

    /// Withdraws the attempts selected by `should_withdraw` of which nothing is written yet. Unlike a
    /// cancelled attempt, a withdrawn one cannot have run.
    pub(crate) fn withdraw(
        &mut self,
        id: CallId,
        events: &mut VecDeque<Event>,
        should_withdraw: impl Fn(&Attempt) -> bool,
    ) {
        let complete = !self.is_pending();
        let mut ended = 0;
        for (attempt, slot) in (0..).zip(&mut self.attempts) {
            if let Some(unsent) =
                slot.take_if(|attempt| !attempt.may_have_reached_host() && should_withdraw(attempt))
            {
                unsent.meter.withdraw();
                ended += 1;
                events.push_back(outcome_event(
                    id,
                    attempt,
                    Outcome::NotSent,
                    unsent.sent_at.elapsed(),
                    complete,
                ));
            }
        }
        self.release_extra_permits(ended);
    }
}

/// Creates the policy's event for an attempt that the engine itself has ended.
pub(crate) fn outcome_event(
    call: CallId,
    attempt: u32,
    outcome: Outcome,
    elapsed: Duration,
    complete: bool,
) -> Event {
    Event::Outcome { call, attempt, outcome, elapsed: micros(elapsed), complete, load: LoadReport::default() }
}
