//! A tenant at the admission controller: what it has in flight, and its calls that wait, in order.

use super::release_rate::ReleaseRate;
use crate::{Micros, TenantUsage};
use std::collections::BTreeMap;

/// A tenant at the admission controller, as operators see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Permits in use.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls admitted since the start.
    pub admitted: u64,
    /// Calls rejected since the start.
    pub rejected: u64,
    /// Hedged requests that were denied a permit since the start.
    pub denied_hedges: u64,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantQueue {
    /// Its fair share of the permits for all tenants.
    pub fair_share: u32,
    pub in_flight: u32,
    pub release_rate: ReleaseRate,
    /// When each call is given up, by its number: the first that came has the lowest.
    queued: BTreeMap<u64, Micros>,
    pub admitted: u64,
    pub rejected: u64,
    pub denied_hedges: u64,
    /// In flight and queued together, at the most, and how many were rejected, since usage was last reported.
    peak: u32,
    rejected_since_report: u32,
}

impl TenantQueue {
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Whether it has less in flight than its fair share. That counts as one call at least: a tenant of which nothing is
    /// known yet must not wait for all the others.
    pub fn is_below_fair_share(&self) -> bool {
        self.in_flight < self.fair_share.max(1)
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.fair_share.max(1))
    }

    /// Queues a call.
    pub fn push(&mut self, number: u64, give_up_at: Micros) {
        self.queued.insert(number, give_up_at);
        self.update_peak();
    }

    /// One permit more is in use.
    pub fn acquire(&mut self) {
        self.in_flight += 1;
        self.update_peak();
    }

    /// A call is rejected.
    pub fn reject(&mut self) {
        self.rejected += 1;
        self.rejected_since_report += 1;
    }

    fn update_peak(&mut self) {
        self.peak = self.peak.max(self.in_flight_and_queued());
    }

    fn queued_count(&self) -> u32 {
        u32::try_from(self.queued.len()).unwrap_or(u32::MAX)
    }

    fn in_flight_and_queued(&self) -> u32 {
        self.in_flight.saturating_add(self.queued_count())
    }

    /// Takes the first call out of the queue: its number, and when it would have been given up.
    pub fn pop(&mut self) -> Option<(u64, Micros)> {
        self.queued.pop_first()
    }

    /// Takes a call out of the queue. Returns when it would have been given up, if it was there.
    pub fn remove(&mut self, number: u64) -> Option<Micros> {
        self.queued.remove(&number)
    }

    pub fn usage(&self) -> TenantUsage {
        TenantUsage {
            in_flight: self.in_flight,
            peak: self.peak,
            queued: self.queued_count(),
            rejected: self.rejected_since_report,
        }
    }

    pub fn usage_reported(&mut self) {
        self.peak = self.in_flight_and_queued();
        self.rejected_since_report = 0;
    }

    pub fn stats(&self) -> QueueStats {
        QueueStats {
            in_flight: self.in_flight,
            queued: self.queued_count(),
            admitted: self.admitted,
            rejected: self.rejected,
            denied_hedges: self.denied_hedges,
        }
    }
}
