//! Admission control ahead of the load balancer: new calls of a tenant are admitted, queued or rejected,
//! depending on the permits that the process may use for the tenant.
//!
//! Admission control performs no I/O and reads no clock. Calls in flight are never aborted because of a
//! quota.

mod fair_order;
mod queue;
mod release_rate;
mod types;

use crate::{Allowance, Micros, TenantUsage};
use fair_order::FairOrder;
use queue::TenantQueue;
use release_rate::ReleaseRate;
use std::collections::BTreeSet;

pub use queue::QueueStats;
pub use types::{
    AdmissionConfig, AdmissionDecision, AdmissionRequest, ClassTiming, QueuedCall, QueuedVerdict, Verdict,
    Verdicts,
};

/// Time at which a queued call is rejected, because too little time until its deadline is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueTimeout {
    at: Micros,
    call: QueuedCall,
}

/// Admission controller with one queue per tenant. A call is admitted if a permit is free under both the cap
/// of its tenant and the limit on all tenants together. Otherwise it is queued, or rejected if it cannot be
/// admitted in time.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    /// Time over which releases of permits are averaged: the longest deadline of any class.
    rate_span: Micros,
    queues: Vec<TenantQueue>,
    allowance: Allowance,
    /// Permits in use by all tenants together.
    in_flight: u32,
    release_rate: ReleaseRate,
    /// Order among tenants that use fewer permits than their part of the fair share.
    below_share_order: FairOrder,
    /// Order among tenants that use at least their part of the fair share.
    above_share_order: FairOrder,
    /// Timeouts of all queued calls, the earliest first.
    queue_timeouts: BTreeSet<QueueTimeout>,
    next_arrival_number: u64,
    /// Whether the process waits for its slot to be decided. Meanwhile calls of a tenant with a cap of 0 are
    /// queued instead of rejected.
    expects_more: bool,
    /// Whether no call is admitted any more.
    is_closed: bool,
}

impl AdmissionController {
    /// Creates a controller that starts with `allowance`. `expects_more` tells that the allowance may be
    /// raised soon, so that calls of a tenant with a cap of 0 are queued instead of rejected.
    pub fn new(
        now: Micros,
        config: AdmissionConfig,
        allowance: Allowance,
        expects_more: bool,
    ) -> AdmissionController {
        let rate_span = config.classes.iter().map(|class| class.deadline).max().unwrap_or(0).max(1);
        let tenants = config.tenant_count.max(1);
        let mut controller = AdmissionController {
            config,
            rate_span,
            queues: vec![TenantQueue::default(); tenants],
            allowance: Allowance::default(),
            in_flight: 0,
            release_rate: ReleaseRate::default(),
            below_share_order: FairOrder::new(tenants),
            above_share_order: FairOrder::new(tenants),
            queue_timeouts: BTreeSet::new(),
            next_arrival_number: 0,
            expects_more,
            is_closed: false,
        };
        controller.set_allowance(now, allowance, expects_more, &mut Vec::new());
        controller
    }

    /// Replaces the allowance. `expects_more` has the same meaning as in [`AdmissionController::new`]. If
    /// more calls are in flight than the new allowance permits, no call is admitted until enough of them have
    /// ended.
    pub fn set_allowance(
        &mut self,
        now: Micros,
        allowance: Allowance,
        expects_more: bool,
        verdicts: &mut Verdicts,
    ) {
        let mut have_shares_changed = false;
        for (queue, tenant) in self.queues.iter_mut().zip(&allowance.tenants) {
            have_shares_changed |= tenant.fair_share != queue.fair_share;
            queue.fair_share = tenant.fair_share;
        }
        if have_shares_changed {
            self.below_share_order.reset();
            self.above_share_order.reset();
        }
        self.allowance = allowance;
        self.expects_more = expects_more;
        self.admit_queued(now, verdicts);
    }

    /// Decides on a new call, which is admitted, queued or rejected.
    pub fn request(&mut self, now: Micros, request: AdmissionRequest) -> AdmissionDecision {
        let tenant = self.queue_index(request.tenant);
        if self.is_closed {
            return AdmissionDecision::Decided(self.reject(now, tenant));
        }
        if self.has_permit(now, tenant) && self.queues[tenant].is_empty() {
            self.admit(now, tenant);
            return AdmissionDecision::Decided(Verdict::Admitted);
        }
        let reserved = self.config.classes.get(request.class).map_or(0, ClassTiming::reserved);
        let times_out_at = request.deadline.saturating_sub(reserved);
        let is_full = self.queues[tenant].len() >= self.config.max_queue;
        let is_too_late = || now.saturating_add(self.expected_wait(now, tenant)) >= times_out_at;
        if is_full || self.is_blocked(now, tenant) || is_too_late() {
            return AdmissionDecision::Decided(self.reject(now, tenant));
        }
        let call = QueuedCall { tenant, arrival_number: self.next_arrival_number };
        self.next_arrival_number += 1;
        self.queues[tenant].push(call.arrival_number, times_out_at);
        self.queue_timeouts.insert(QueueTimeout { at: times_out_at, call });
        AdmissionDecision::Queued(call)
    }

    /// Removes a queued call whose client has disconnected. The call gets no verdict.
    pub fn cancel(&mut self, call: QueuedCall) {
        if let Some(at) = self.queues[call.tenant].remove(call.arrival_number) {
            self.queue_timeouts.remove(&QueueTimeout { at, call });
        }
    }

    /// Rejects all queued calls and every later call, because the process ends. Permits in use are not affected.
    pub fn close(&mut self, now: Micros, verdicts: &mut Verdicts) {
        self.is_closed = true;
        for tenant in 0..self.queues.len() {
            while let Some(call) = self.pop(tenant) {
                self.reject_queued(now, call, verdicts);
            }
        }
    }

    /// Takes a permit for a hedged request, which is never queued. Returns whether a permit was free.
    pub fn acquire_extra(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let tenant = self.queue_index(tenant);
        let has_permit = self.has_permit(now, tenant);
        if has_permit {
            self.acquire(now, tenant);
        } else {
            self.queues[tenant].denied_hedges += 1;
        }
        has_permit
    }

    /// Returns the permit of a call that has ended, and admits queued calls that fit now.
    pub fn release(&mut self, now: Micros, tenant: Option<usize>, verdicts: &mut Verdicts) {
        let tenant = self.queue_index(tenant);
        let queue = &mut self.queues[tenant];
        queue.in_flight = queue.in_flight.saturating_sub(1);
        queue.release_rate.record(now, self.rate_span);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release_rate.record(now, self.rate_span);
        self.admit_queued(now, verdicts);
    }

    /// Rejects queued calls that have timed out, and applies the expiry of the allowance. To be called at
    /// [`AdmissionController::next_due`].
    pub fn tick(&mut self, now: Micros, verdicts: &mut Verdicts) {
        self.admit_queued(now, verdicts);
    }

    /// Returns when [`AdmissionController::tick`] has to be called: at the first timeout of a queued call, or
    /// at the expiry of the allowance; `None`: no call is queued.
    pub fn next_due(&self) -> Option<Micros> {
        let times_out_at = self.queue_timeouts.first()?.at;
        Some(self.allowance.expires_at.map_or(times_out_at, |at| at.min(times_out_at)))
    }

    /// Returns the usage by tenant. Peaks and numbers of rejected calls cover the time since the last call of
    /// [`AdmissionController::usage_reported`].
    pub fn usage(&self) -> Vec<TenantUsage> {
        self.queues.iter().map(TenantQueue::usage).collect()
    }

    /// Starts a new period for the peaks and the numbers of rejected calls of [`AdmissionController::usage`].
    pub fn usage_reported(&mut self) {
        self.queues.iter_mut().for_each(TenantQueue::usage_reported);
    }

    /// Returns statistics by tenant for the status pages, in the order of the settings; the default tenant is
    /// the last one.
    pub fn stats(&self) -> impl Iterator<Item = QueueStats> + '_ {
        self.queues.iter().map(TenantQueue::stats)
    }

    /// Returns the permits in use by all tenants together.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the index of a tenant's queue; the last queue is that of the default tenant.
    fn queue_index(&self, tenant: Option<usize>) -> usize {
        let last = self.queues.len() - 1;
        tenant.map_or(last, |tenant| tenant.min(last))
    }

    /// Returns whether a call of the tenant could start now, apart from the calls that are queued before it.
    fn has_permit(&self, now: Micros, tenant: usize) -> bool {
        let total = self.allowance.total(now);
        total.is_none_or(|total| self.in_flight < total) && self.is_below_cap(now, tenant)
    }

    fn is_below_cap(&self, now: Micros, tenant: usize) -> bool {
        self.allowance.cap(now, tenant).is_none_or(|cap| self.queues[tenant].in_flight < cap)
    }

    /// Returns whether calls of the tenant cannot be admitted at all: its cap is 0, and the allowance will
    /// not be raised soon.
    fn is_blocked(&self, now: Micros, tenant: usize) -> bool {
        !self.expects_more && self.allowance.cap(now, tenant) == Some(0)
    }

    fn acquire(&mut self, now: Micros, tenant: usize) {
        let queue = &mut self.queues[tenant];
        if queue.in_flight == 0 {
            queue.release_rate.resume(now);
        }
        if self.in_flight == 0 {
            self.release_rate.resume(now);
        }
        queue.acquire();
        self.in_flight += 1;
    }

    fn admit(&mut self, now: Micros, tenant: usize) {
        self.acquire(now, tenant);
        self.queues[tenant].admitted += 1;
    }

    fn reject(&mut self, now: Micros, tenant: usize) -> Verdict {
        self.queues[tenant].reject();
        Verdict::Rejected { retry_after: self.retry_after(now, tenant) }
    }

    /// Rejects queued calls that have timed out, then admits queued calls while permits are free.
    fn admit_queued(&mut self, now: Micros, verdicts: &mut Verdicts) {
        if self.queue_timeouts.is_empty() {
            return;
        }
        while let Some(&timeout) = self.queue_timeouts.first().filter(|timeout| timeout.at <= now) {
            self.queue_timeouts.remove(&timeout);
            self.queues[timeout.call.tenant].remove(timeout.call.arrival_number);
            self.reject_queued(now, timeout.call, verdicts);
        }
        while let Some(tenant) = self.next_tenant(now) {
            let Some(call) = self.pop(tenant) else { break };
            self.admit(now, tenant);
            verdicts.push(QueuedVerdict { call, verdict: Verdict::Admitted });
        }
        self.reject_blocked(now, verdicts);
    }

    /// Rejects all queued calls of tenants whose calls cannot be admitted at all.
    fn reject_blocked(&mut self, now: Micros, verdicts: &mut Verdicts) {
        for tenant in 0..self.queues.len() {
            while self.is_blocked(now, tenant) {
                let Some(call) = self.pop(tenant) else { break };
                self.reject_queued(now, call, verdicts);
            }
        }
    }

    fn reject_queued(&mut self, now: Micros, call: QueuedCall, verdicts: &mut Verdicts) {
        let verdict = self.reject(now, call.tenant);
        verdicts.push(QueuedVerdict { call, verdict });
    }

    /// Removes the first call of a tenant from its queue.
    fn pop(&mut self, tenant: usize) -> Option<QueuedCall> {
        let (arrival_number, at) = self.queues[tenant].pop()?;
        let call = QueuedCall { tenant, arrival_number };
        self.queue_timeouts.remove(&QueueTimeout { at, call });
        Some(call)
    }

    /// Selects the tenant whose first queued call is admitted next; `None`: no queued call can be admitted.
    /// Tenants that use fewer permits than their part of the fair share take precedence, so that released
    /// permits return to the tenants that had lent them.
    fn next_tenant(&mut self, now: Micros) -> Option<usize> {
        let AdmissionController {
            queues, allowance, in_flight, below_share_order, above_share_order, ..
        } = self;
        let is_eligible = |index: usize, queue: &TenantQueue| {
            !queue.is_empty() && allowance.cap(now, index).is_none_or(|cap| queue.in_flight < cap)
        };
        let Some(total) = allowance.total(now) else {
            return queues.iter().enumerate().position(|(index, queue)| is_eligible(index, queue));
        };
        if *in_flight >= total {
            return None;
        }
        let weight_of = |below_fair_share: bool| {
            let (queues, is_eligible) = (&*queues, &is_eligible);
            move |tenant: usize| {
                let queue = &queues[tenant];
                let is_in_group = queue.is_below_fair_share() == below_fair_share;
                (is_eligible(tenant, queue) && is_in_group).then(|| queue.weight())
            }
        };
        let idle_weight = |tenant: usize| queues[tenant].weight();
        below_share_order
            .next(weight_of(true), idle_weight)
            .or_else(|| above_share_order.next(weight_of(false), idle_weight))
    }

    /// Estimates how long a new call of the tenant would be queued, from the rate at which permits have been
    /// released.
    fn expected_wait(&self, now: Micros, tenant: usize) -> Micros {
        let queue = &self.queues[tenant];
        let queue_position = (queue.len() + 1) as f64;
        let cap_wait = if self.is_below_cap(now, tenant) {
            0
        } else {
            queue.release_rate.expected_time(queue_position, now, self.rate_span)
        };
        let total_wait = match self.allowance.total(now) {
            Some(total) if self.in_flight >= total => {
                let permits = queue_position * self.queued_weight(tenant) / queue.weight();
                self.release_rate.expected_time(permits, now, self.rate_span)
            }
            _ => 0,
        };
        cap_wait.max(total_wait)
    }

    /// Returns the sum of the weights of `tenant` and of all other tenants with queued calls.
    fn queued_weight(&self, tenant: usize) -> f64 {
        let waits = |(index, queue): &(usize, &TenantQueue)| *index == tenant || !queue.is_empty();
        self.queues.iter().enumerate().filter(waits).map(|(_, queue)| queue.weight()).sum()
    }

    fn retry_after(&self, now: Micros, tenant: usize) -> Micros {
        if self.is_closed {
            // Another process may admit the call at once.
            return 0;
        }
        let max = self.config.max_retry_after;
        if self.is_blocked(now, tenant) {
            return max;
        }
        self.expected_wait(now, tenant).min(max)
    }
}
