//! What the admission controller is asked, and what it decides.

use crate::Micros;

/// Latency objective and deadline of a class, which decide how long its calls may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTiming {
    /// Latency up to which a response earns the full priority weight of the class.
    pub latency_objective: Micros,
    /// Time from the start of a call to its client's timeout.
    pub deadline: Micros,
}

impl ClassTiming {
    /// Returns how long before its deadline a queued call is rejected, because a response could no longer
    /// arrive in time: the latency objective, but at most half of the deadline.
    pub(super) fn reserved(&self) -> Micros {
        self.latency_objective.min(self.deadline / 2)
    }
}

/// Classes, tenants and queue limits of an [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Classes in the order of the settings, as [`AdmissionRequest::class`] counts them.
    pub classes: Vec<ClassTiming>,
    /// Number of tenants, including the default tenant, which is the last one.
    pub tenant_count: usize,
    /// Highest number of queued calls of one tenant; further calls are rejected.
    pub max_queue: usize,
    /// Longest Retry-After that clients respect, as an upper limit for rejected calls; 0: no Retry-After is
    /// sent.
    pub max_retry_after: Micros,
}

/// Properties of a new call that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Index of the tenant in the settings; `None` or an index out of range: the default tenant.
    pub tenant: Option<usize>,
    /// Index of the class in [`AdmissionConfig::classes`]; a call with an index out of range may be queued
    /// until its deadline.
    pub class: usize,
    /// Time at which the client gives up on the call.
    pub deadline: Micros,
}

/// Handle of a queued call. Handles of one tenant are ordered by arrival of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedCall {
    pub(super) tenant: usize,
    pub(super) arrival_number: u64,
}

impl QueuedCall {
    /// Returns the index in the settings of the tenant that the call belongs to.
    pub fn tenant(self) -> usize {
        self.tenant
    }
}

/// Admission or rejection of a call. Each call gets exactly one verdict, unless it is cancelled in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may start. Its permit has to be returned by [`AdmissionController::release`](super::AdmissionController::release) when it ends.
    Admitted,
    /// The call must not start: the queue is full, no permit is expected before the queue timeout, or the
    /// process ends.
    Rejected {
        /// Time after which the client may send the call again.
        retry_after: Micros,
    },
}

/// Immediate answer to a new call: its verdict, or a handle of the queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call is admitted or rejected immediately.
    Decided(Verdict),
    /// The call is queued. Its verdict is returned by a later call of the controller.
    Queued(QueuedCall),
}

/// Verdict on a call that was queued before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedVerdict {
    /// Handle that [`AdmissionController::request`](super::AdmissionController::request) returned for the call.
    pub call: QueuedCall,
    /// Admission or rejection of the call.
    pub verdict: Verdict,
}

/// Verdicts on queued calls, in the order in which the controller reached them.
pub type Verdicts = Vec<QueuedVerdict>;
