//! Admission control before the decision module: which calls a process admits by what it may have in flight of each tenant.
//!
//! It does no I/O and reads no clock. Nothing in flight is ever cut off for a quota; only calls that have not begun wait.

mod fair_order;
mod queue;
mod release_rate;

use crate::{Allowance, Micros, TenantUsage};
use fair_order::FairOrder;
use queue::TenantQueue;
use release_rate::ReleaseRate;
use std::collections::BTreeSet;

pub use queue::QueueStats;

/// The times of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTiming {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
}

impl ClassTiming {
    /// What is reserved of a client's time for the call itself: its latency objective, half of its time at the most. A call
    /// that is admitted later than that has no answer in time to hope for.
    fn reserved(&self) -> Micros {
        self.latency_objective.min(self.deadline / 2)
    }
}

/// The configuration of an admission controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassTiming>,
    /// The number of tenants, that for calls of no or an unknown tenant among them: it is the last.
    pub tenant_count: usize,
    /// Maximum number of calls in the queue of a tenant.
    pub max_queue: usize,
    /// The longest Retry-After that a client heeds; 0: it is given none.
    pub max_retry_after: Micros,
}

/// A call that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its tenant; `None`, or a place that the settings do not have: none.
    pub tenant: Option<usize>,
    /// Its class.
    pub class: usize,
    /// Until when its client waits.
    pub deadline: Micros,
}

/// A call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedCall {
    tenant: usize,
    number: u64,
}

impl QueuedCall {
    /// Its tenant, by place in the settings.
    pub fn tenant(self) -> usize {
        self.tenant
    }
}

/// The one answer that each call gets, unless its client goes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a permit, which is returned by [`AdmissionController::release`].
    Admitted,
    /// It is rejected, and may be retried after this time.
    Rejected {
        /// The Retry-After.
        retry_after: Micros,
    },
}

/// What happens to a call when it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It has its verdict at once.
    Decided(Verdict),
    /// It waits in its tenant's queue, and has its verdict later.
    Queued(QueuedCall),
}

/// The verdict on a call that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedVerdict {
    /// The call.
    pub call: QueuedCall,
    /// Its verdict.
    pub verdict: Verdict,
}

/// Verdicts on calls that waited, in the order in which they fell.
pub type Verdicts = Vec<QueuedVerdict>;

/// When a queued call is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GiveUp {
    at: Micros,
    call: QueuedCall,
}

/// Admits calls. A call is admitted where the cap of its tenant and the permits for all tenants leave it one. Until then it
/// waits in its tenant's queue, or is rejected where it cannot be admitted in time.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    /// How far back releases count: the longest that a client waits.
    rate_span: Micros,
    queues: Vec<TenantQueue>,
    allowance: Allowance,
    /// Permits in use, of all tenants.
    in_flight: u32,
    release_rate: ReleaseRate,
    /// The order among the tenants below their fair share, and among the others.
    owners: FairOrder,
    borrowers: FairOrder,
    /// The earliest first.
    give_ups: BTreeSet<GiveUp>,
    next_number: u64,
    /// More may be granted soon: a cap of 0 is no reason yet to reject calls.
    expects_more: bool,
}

impl AdmissionController {
    /// A controller with its first allowance; `expects_more`: more may be granted soon.
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
            owners: FairOrder::new(tenants),
            borrowers: FairOrder::new(tenants),
            give_ups: BTreeSet::new(),
            next_number: 0,
            expects_more,
        };
        controller.set_allowance(now, allowance, expects_more, &mut Vec::new());
        controller
    }

    /// Sets what may be in flight from now on; `expects_more`: more may be granted soon. Where that is less than is in
    /// flight, nothing new is admitted until it fits.
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
            self.owners.reset();
            self.borrowers.reset();
        }
        self.allowance = allowance;
        self.expects_more = expects_more;
        self.admit_waiting(now, verdicts);
    }

    /// A call asks for admission.
    pub fn request(&mut self, now: Micros, request: AdmissionRequest) -> AdmissionDecision {
        let tenant = self.place(request.tenant);
        if self.has_permit(now, tenant) && self.queues[tenant].is_empty() {
            self.admit(now, tenant);
            return AdmissionDecision::Decided(Verdict::Admitted);
        }
        let reserved = self.config.classes.get(request.class).map_or(0, ClassTiming::reserved);
        let give_up_at = request.deadline.saturating_sub(reserved);
        let is_full = self.queues[tenant].len() >= self.config.max_queue;
        let is_hopeless = || now.saturating_add(self.expected_wait(now, tenant)) >= give_up_at;
        if is_full || self.is_closed(now, tenant) || is_hopeless() {
            return AdmissionDecision::Decided(self.reject(now, tenant));
        }
        let call = QueuedCall { tenant, number: self.next_number };
        self.next_number += 1;
        self.queues[tenant].push(call.number, give_up_at);
        self.give_ups.insert(GiveUp { at: give_up_at, call });
        AdmissionDecision::Queued(call)
    }

    /// The client of a queued call has gone.
    pub fn cancel(&mut self, call: QueuedCall) {
        if let Some(at) = self.queues[call.tenant].remove(call.number) {
            self.give_ups.remove(&GiveUp { at, call });
        }
    }

    /// A hedged request of a call of this tenant asks for a permit of its own. Returns whether it got one.
    pub fn acquire_extra(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let tenant = self.place(tenant);
        let has_permit = self.has_permit(now, tenant);
        if has_permit {
            self.acquire(now, tenant);
        } else {
            self.queues[tenant].denied_hedges += 1;
        }
        has_permit
    }

    /// Returns a permit of this tenant.
    pub fn release(&mut self, now: Micros, tenant: Option<usize>, verdicts: &mut Verdicts) {
        let tenant = self.place(tenant);
        let queue = &mut self.queues[tenant];
        queue.in_flight = queue.in_flight.saturating_sub(1);
        queue.release_rate.record(now, self.rate_span);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.release_rate.record(now, self.rate_span);
        self.admit_waiting(now, verdicts);
    }

    /// Does what is due by time alone; [`AdmissionController::next_due`] says when.
    pub fn tick(&mut self, now: Micros, verdicts: &mut Verdicts) {
        self.admit_waiting(now, verdicts);
    }

    /// When time alone next changes something: a queued call is given up, or the allowance expires.
    pub fn next_due(&self) -> Option<Micros> {
        let give_up_at = self.give_ups.first()?.at;
        Some(self.allowance.expires_at.map_or(give_up_at, |at| at.min(give_up_at)))
    }

    /// The usage of each tenant, with peaks and counts since [`AdmissionController::usage_reported`].
    pub fn usage(&self) -> Vec<TenantUsage> {
        self.queues.iter().map(TenantQueue::usage).collect()
    }

    /// The usage was reported.
    pub fn usage_reported(&mut self) {
        self.queues.iter_mut().for_each(TenantQueue::usage_reported);
    }

    /// The tenants as operators see them, in the order of the settings, calls of none last.
    pub fn stats(&self) -> impl Iterator<Item = QueueStats> + '_ {
        self.queues.iter().map(TenantQueue::stats)
    }

    /// Permits in use, of all tenants.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The place of a tenant among the queues.
    fn place(&self, tenant: Option<usize>) -> usize {
        let last = self.queues.len() - 1;
        tenant.map_or(last, |tenant| tenant.min(last))
    }

    /// Whether there is a permit for a tenant.
    fn has_permit(&self, now: Micros, tenant: usize) -> bool {
        let total = self.allowance.total(now);
        total.is_none_or(|total| self.in_flight < total) && self.is_below_cap(now, tenant)
    }

    fn is_below_cap(&self, now: Micros, tenant: usize) -> bool {
        self.allowance.cap(now, tenant).is_none_or(|cap| self.queues[tenant].in_flight < cap)
    }

    /// Whether there will be no permit for a tenant.
    fn is_closed(&self, now: Micros, tenant: usize) -> bool {
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

    /// Gives up the calls whose time is over, and admits those that there are permits for by now.
    fn admit_waiting(&mut self, now: Micros, verdicts: &mut Verdicts) {
        if self.give_ups.is_empty() {
            return;
        }
        while let Some(&give_up) = self.give_ups.first().filter(|give_up| give_up.at <= now) {
            self.give_ups.remove(&give_up);
            self.queues[give_up.call.tenant].remove(give_up.call.number);
            self.reject_queued(now, give_up.call, verdicts);
        }
        while let Some(tenant) = self.next_tenant(now) {
            let Some(call) = self.pop(tenant) else { break };
            self.admit(now, tenant);
            verdicts.push(QueuedVerdict { call, verdict: Verdict::Admitted });
        }
        self.reject_closed(now, verdicts);
    }

    /// Rejects all calls of tenants for which there will be no permit.
    fn reject_closed(&mut self, now: Micros, verdicts: &mut Verdicts) {
        for tenant in 0..self.queues.len() {
            while self.is_closed(now, tenant) {
                let Some(call) = self.pop(tenant) else { break };
                self.reject_queued(now, call, verdicts);
            }
        }
    }

    fn reject_queued(&mut self, now: Micros, call: QueuedCall, verdicts: &mut Verdicts) {
        let verdict = self.reject(now, call.tenant);
        verdicts.push(QueuedVerdict { call, verdict });
    }

    /// Takes the first call out of a queue.
    fn pop(&mut self, tenant: usize) -> Option<QueuedCall> {
        let (number, at) = self.queues[tenant].pop()?;
        let call = QueuedCall { tenant, number };
        self.give_ups.remove(&GiveUp { at, call });
        Some(call)
    }

    /// The tenant whose call is next. Those below their fair share come before the others: permits that were lent go back to
    /// their owner as they are released.
    fn next_tenant(&mut self, now: Micros) -> Option<usize> {
        let AdmissionController { queues, allowance, in_flight, owners, borrowers, .. } = self;
        let is_eligible = |place: usize, queue: &TenantQueue| {
            !queue.is_empty() && allowance.cap(now, place).is_none_or(|cap| queue.in_flight < cap)
        };
        let Some(total) = allowance.total(now) else {
            return queues.iter().enumerate().position(|(place, queue)| is_eligible(place, queue));
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
        let idle = |tenant: usize| queues[tenant].weight();
        owners.next(weight_of(true), idle).or_else(|| borrowers.next(weight_of(false), idle))
    }

    /// How long a call that comes now would wait, by the rate of the releases that it waits for.
    fn expected_wait(&self, now: Micros, tenant: usize) -> Micros {
        let queue = &self.queues[tenant];
        let ahead = (queue.len() + 1) as f64;
        let for_cap = if self.is_below_cap(now, tenant) {
            0
        } else {
            queue.release_rate.time_for(ahead, now, self.rate_span)
        };
        let for_total = match self.allowance.total(now) {
            Some(total) if self.in_flight >= total => {
                let permits = ahead * self.waiting_weight(tenant) / queue.weight();
                self.release_rate.time_for(permits, now, self.rate_span)
            }
            _ => 0,
        };
        for_cap.max(for_total)
    }

    /// The weight of all tenants that wait, this one among them.
    fn waiting_weight(&self, tenant: usize) -> f64 {
        let waits = |(place, queue): &(usize, &TenantQueue)| *place == tenant || !queue.is_empty();
        self.queues.iter().enumerate().filter(waits).map(|(_, queue)| queue.weight()).sum()
    }

    fn retry_after(&self, now: Micros, tenant: usize) -> Micros {
        let max = self.config.max_retry_after;
        if self.is_closed(now, tenant) {
            return max;
        }
        self.expected_wait(now, tenant).min(max)
    }
}
