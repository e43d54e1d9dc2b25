//! The admission queues of the tenants on the proxy's clock: a call that waits is woken with its verdict, and a call in
//! flight has its permit for as long as the engine has its ticket.

use flaxhead_engine::{CallPermit, CallSpec};
use flaxhead_policy::Micros;
use flaxhead_quota::admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, QueueStats, QueuedCall,
    QueuedVerdict, Verdict, Verdicts,
};
use flaxhead_quota::{Allowance, TenantUsage};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::fmt;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant};

/// How long after its connection was closed a host may still count a call as in flight, in microseconds. A permit that was
/// returned before that would make one call too many there.
const CLOSING_TIME: Micros = 100_000;

/// How a call comes out of admission: with its permit, or rejected, and may be retried after this time.
pub type Admission = Result<Box<dyn CallPermit>, Duration>;

/// A permit that is about to be returned. Ordered by the time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ClosingPermit {
    returned_at: Micros,
    tenant: usize,
}

struct State {
    controller: AdmissionController,
    waiting: HashMap<QueuedCall, oneshot::Sender<Admission>>,
    allowance: Allowance,
    /// The permits of attempts that were cancelled; the earliest is on top.
    closing: BinaryHeap<Reverse<ClosingPermit>>,
}

impl State {
    /// Returns the permits whose time has come.
    fn return_closed(&mut self, now: Micros, verdicts: &mut Verdicts) {
        while self.closing.peek().is_some_and(|Reverse(permit)| permit.returned_at <= now) {
            if let Some(Reverse(permit)) = self.closing.pop() {
                self.controller.release(now, Some(permit.tenant), verdicts);
            }
        }
    }

    fn next_due(&self) -> Option<Micros> {
        let closing = self.closing.peek().map(|Reverse(permit)| permit.returned_at);
        self.controller.next_due().into_iter().chain(closing).min()
    }
}

struct Inner {
    state: RefCell<State>,
    epoch: Instant,
    /// Something is due earlier than it was.
    due_changed: Notify,
    /// A call has begun to wait, or was rejected.
    grown: Notify,
}

/// What operators see of the queues.
pub struct QueuesView {
    /// By tenant.
    pub tenants: Vec<QueueStats>,
    /// What may be in flight.
    pub allowance: Allowance,
}

/// The queues, shared by the tasks of one thread.
#[derive(Clone)]
pub struct AdmissionQueues(Rc<Inner>);

impl fmt::Debug for AdmissionQueues {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_flight = self.0.state.borrow().controller.in_flight();
        f.debug_struct("AdmissionQueues").field("in_flight", &in_flight).finish()
    }
}

/// A call's permit, and those of its hedged requests.
struct Permit {
    queues: AdmissionQueues,
    tenant: usize,
    /// Until when the host of an attempt that was cancelled may still be at it.
    closing_until: Option<Micros>,
}

/// A call's place in its queue: given up when dropped, as where its client goes.
struct QueuePlace {
    queues: AdmissionQueues,
    call: QueuedCall,
}

impl AdmissionQueues {
    /// Queues with their first allowance; `expects_more`: more may be granted soon.
    pub fn new(config: AdmissionConfig, allowance: Allowance, expects_more: bool) -> AdmissionQueues {
        let state = State {
            controller: AdmissionController::new(0, config, allowance.clone(), expects_more),
            waiting: HashMap::new(),
            allowance,
            closing: BinaryHeap::new(),
        };
        AdmissionQueues(Rc::new(Inner {
            state: RefCell::new(state),
            epoch: Instant::now(),
            due_changed: Notify::new(),
            grown: Notify::new(),
        }))
    }

    /// The time since the queues were opened: the clock of [`Allowance::expires_at`].
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A moment by that clock; 0 where it was before.
    pub fn at(&self, moment: Instant) -> Micros {
        let since = moment.saturating_duration_since(self.0.epoch);
        Micros::try_from(since.as_micros()).unwrap_or(Micros::MAX)
    }

    /// Admits a call, at once or after it has waited. Dropped before that, the call leaves its queue.
    pub async fn admit(&self, ask: &CallSpec) -> Admission {
        let request = AdmissionRequest {
            tenant: ask.tenant.map(|tenant| tenant.0),
            class: ask.class.0,
            deadline: self.at(ask.deadline),
        };
        let now = self.now();
        let decision = self.0.state.borrow_mut().controller.request(now, request);
        match decision {
            AdmissionDecision::Decided(verdict) => {
                if matches!(verdict, Verdict::Rejected { .. }) {
                    self.0.grown.notify_one();
                }
                self.admission(request.tenant, verdict)
            }
            AdmissionDecision::Queued(call) => self.wait(call).await,
        }
    }

    async fn wait(&self, call: QueuedCall) -> Admission {
        let (sender, receiver) = oneshot::channel();
        self.0.state.borrow_mut().waiting.insert(call, sender);
        let place = QueuePlace { queues: self.clone(), call };
        self.0.due_changed.notify_one();
        self.0.grown.notify_one();
        // The sender is only ever dropped with the queues, which its place keeps alive.
        let admission = receiver.await.unwrap_or(Err(Duration::ZERO));
        drop(place);
        admission
    }

    /// Sets what may be in flight from now on; `expects_more`: more may be granted soon.
    pub fn set_allowance(&self, allowance: Allowance, expects_more: bool) {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        {
            let mut state = self.0.state.borrow_mut();
            state.allowance = allowance.clone();
            state.controller.set_allowance(now, allowance, expects_more, &mut verdicts);
        }
        self.0.due_changed.notify_one();
        self.wake_all(verdicts);
    }

    /// Rejects all waiting calls and every later one, because the proxy ends. Returns how many were waiting.
    pub fn close(&self) -> usize {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        self.0.state.borrow_mut().controller.close(now, &mut verdicts);
        let rejected = verdicts.len();
        self.wake_all(verdicts);
        rejected
    }

    /// Does what is due by time alone, for good.
    pub async fn serve(&self) {
        loop {
            let next_due = self.0.state.borrow().next_due();
            let due = async {
                match next_due {
                    Some(at) => sleep_until(self.0.epoch + Duration::from_micros(at)).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = due => self.tick(),
                () = self.0.due_changed.notified() => {}
            }
        }
    }

    fn tick(&self) {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        {
            let mut state = self.0.state.borrow_mut();
            state.return_closed(now, &mut verdicts);
            state.controller.tick(now, &mut verdicts);
        }
        self.wake_all(verdicts);
    }

    /// Waits until a call has begun to wait, or was rejected.
    pub async fn grown(&self) {
        self.0.grown.notified().await;
    }

    /// The usage of each tenant.
    pub fn usage(&self) -> Vec<TenantUsage> {
        self.0.state.borrow().controller.usage()
    }

    /// The usage was reported.
    pub fn usage_reported(&self) {
        self.0.state.borrow_mut().controller.usage_reported();
    }

    /// What operators see.
    pub fn view(&self) -> QueuesView {
        let state = self.0.state.borrow();
        QueuesView { tenants: state.controller.stats().collect(), allowance: state.allowance.clone() }
    }

    fn admission(&self, tenant: Option<usize>, verdict: Verdict) -> Admission {
        match verdict {
            Verdict::Admitted => Ok(Box::new(Permit {
                queues: self.clone(),
                tenant: tenant.unwrap_or(usize::MAX),
                closing_until: None,
            })),
            Verdict::Rejected { retry_after } => Err(Duration::from_micros(retry_after)),
        }
    }

    /// Returns a permit: that of an attempt which was cancelled once its host has surely seen that.
    fn release(&self, tenant: usize, closing_until: Option<Micros>) {
        let (now, mut verdicts) = (self.now(), Verdicts::new());
        if let Some(returned_at) = closing_until.filter(|until| now < *until) {
            self.0.state.borrow_mut().closing.push(Reverse(ClosingPermit { returned_at, tenant }));
            return self.0.due_changed.notify_one();
        }
        self.0.state.borrow_mut().controller.release(now, Some(tenant), &mut verdicts);
        self.wake_all(verdicts);
    }

    /// Wakes calls with their verdicts. One whose client has just gone returns its permit at once.
    fn wake_all(&self, verdicts: Verdicts) {
        for QueuedVerdict { call, verdict } in verdicts {
            let sender = self.0.state.borrow_mut().waiting.remove(&call);
            let admission = self.admission(Some(call.tenant()), verdict);
            let _ = sender.map(|sender| sender.send(admission));
        }
    }
}

impl CallPermit for Permit {
    fn acquire_extra(&mut self) -> bool {
        let now = self.queues.now();
        self.queues.0.state.borrow_mut().controller.acquire_extra(now, Some(self.tenant))
    }

    fn release_extra(&mut self) {
        self.queues.release(self.tenant, self.closing_until.take());
    }

    fn attempt_abandoned(&mut self) {
        self.closing_until = Some(self.queues.now() + CLOSING_TIME);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queues.release(self.tenant, self.closing_until);
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let mut state = self.queues.0.state.borrow_mut();
        state.controller.cancel(self.call);
        let sender = state.waiting.remove(&self.call);
        drop(state);
        // It may have a permit that was on its way.
        drop(sender);
    }
}

#[cfg(test)]
mod tests;
