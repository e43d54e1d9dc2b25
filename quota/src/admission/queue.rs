//! Permits in use, queued calls and statistics of one tenant.

use super::release_rate::ReleaseRate;
use crate::{Micros, TenantUsage};
use std::collections::BTreeMap;

/// Statistics of one tenant at one process, for the status pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Number of permits in use now, including those of hedged requests.
    pub in_flight: u32,
    /// Number of calls queued for a permit now.
    pub queued: u32,
    /// Number of calls admitted since the start of the process.
    pub admitted: u64,
    /// Number of calls rejected since the start of the process.
    pub rejected: u64,
    /// Number of hedged requests that got no permit since the start of the process.
    pub denied_hedges: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct TenantQueue {
    /// Part of the tenant's fair share that falls to this process, in permits.
    pub fair_share: u32,
    pub in_flight: u32,
    pub release_rate: ReleaseRate,
    /// Timeout of each queued call by its arrival number; lower numbers arrived earlier.
    queued: BTreeMap<u64, Micros>,
    pub admitted: u64,
    pub rejected: u64,
    pub denied_hedges: u64,
    /// Highest number of calls in flight and queued together since the last report.
    peak: u32,
    /// Number of calls rejected since the last report.
    rejected_since_report: u32,
}

impl TenantQueue {
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns whether the tenant uses fewer permits than its part of the fair share. A part of 0 counts as
    /// 1, so that a tenant whose demand the leader does not know yet gets a first permit before tenants above
    /// their part.
    pub fn is_below_fair_share(&self) -> bool {
        self.in_flight < self.fair_share.max(1)
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.fair_share.max(1))
    }

    pub fn push(&mut self, arrival_number: u64, times_out_at: Micros) {
        self.queued.insert(arrival_number, times_out_at);
        self.update_peak();
    }

    pub fn acquire(&mut self) {
        self.in_flight += 1;
        self.update_peak();
    }

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

    /// Removes the call that arrived first. Returns its arrival number and its timeout.
    pub fn pop(&mut self) -> Option<(u64, Micros)> {
        self.queued.pop_first()
    }

    /// Removes a call. Returns its timeout; `None`: the call was not queued.
    pub fn remove(&mut self, arrival_number: u64) -> Option<Micros> {
        self.queued.remove(&arrival_number)
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
