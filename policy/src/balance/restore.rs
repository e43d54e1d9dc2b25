//! Restores a balancer from a serialized state, which may be damaged: states that no running balancer can
//! have are rejected.

use super::{balancer::*, budget::Budget};
use crate::bounds::{MAX_DURATION_US, MAX_TIMESTAMP_US};
use std::collections::BTreeSet;

/// Upper bound of counters, which a running balancer increments one by one and never brings so far.
const MAX_COUNT: u32 = 1 << 30;

/// Reason for which a serialized state is rejected: it is damaged, or belongs to other settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// A duration in the settings exceeds its bound.
    #[error("a duration in the settings is too long")]
    InvalidSettings,
    /// The number of classes or tenants differs from the settings.
    #[error("the classes or tenants in the state differ from the settings")]
    SettingsMismatch,
    /// A budget, backoff or latency exceeds its bound.
    #[error("a budget, backoff or latency in the state is out of range")]
    ValueOutOfRange,
    /// A counter exceeds its bound.
    #[error("a counter in the state is out of range")]
    CounterOutOfRange,
    /// The servers are not in ascending order of their ids.
    #[error("the servers in the state are not sorted by id")]
    UnsortedServers,
    /// The queue or the timers do not match the calls.
    #[error("the queue or the timers in the state do not match its calls")]
    InconsistentCalls,
    /// The counts of listed or ejected servers do not match the servers.
    #[error("the server counts in the state do not match its servers")]
    InconsistentServers,
}

impl Balancer {
    /// Completes a deserialized balancer with its settings, which are not serialized.
    ///
    /// # Errors
    ///
    /// If a running balancer with these settings cannot have had this state.
    pub fn restore(mut self, settings: Settings) -> Result<Balancer, RestoreError> {
        if !settings.is_in_range() {
            return Err(RestoreError::InvalidSettings);
        }
        let (listed_count, ejected_count) = (self.listed_count, self.ejected_count);
        self.settings = settings;
        if self.latencies.len() != self.settings.classes.len()
            || self.tenant_shares.len() != self.settings.tenants.len()
        {
            return Err(RestoreError::SettingsMismatch);
        }
        let mut budgets = self.servers.iter().map(|s| &s.budget);
        let budget = |b: &Budget| {
            b.steps <= MAX_STEP_COUNT
                && b.doublings <= MAX_BACKOFF_DOUBLINGS
                && b.backoff_until <= MAX_TIMESTAMP_US
        };
        let server =
            |s: &Server| s.in_flight.max(s.answers_since) <= MAX_COUNT && s.not_before <= MAX_TIMESTAMP_US;
        let class_latency = |class: &ClassLatency| {
            class.mean <= MAX_DURATION_US as f64 && class.base_us <= MAX_DURATION_US as f64
        };
        let failures_in_range = self.subscribe_failures <= MAX_COUNT;
        if !budgets.all(budget)
            || !self.servers.iter().all(server)
            || !self.latencies.iter().all(class_latency)
        {
            return Err(RestoreError::ValueOutOfRange);
        }
        if !failures_in_range || self.send_count.max(self.served_count) > MAX_TIMESTAMP_US {
            return Err(RestoreError::CounterOutOfRange);
        }
        if !self.servers.is_sorted_by(|a, b| a.id < b.id) {
            return Err(RestoreError::UnsortedServers);
        }
        let queued: BTreeSet<CallId> = self.queue.iter().copied().collect();
        let is_consistent = |(id, call): (&CallId, &Call)| {
            let has_timer = call.timer_at == 0 || self.call_timers.contains(&(call.timer_at, *id));
            has_timer && call.queued == queued.contains(id) && !(call.queued && call.ended)
        };
        let timer_count = self.calls.values().filter(|call| call.timer_at != 0).count();
        let all_known = queued.iter().all(|id| self.calls.contains_key(id));
        let counts_match = queued.len() == self.queue.len() && timer_count == self.call_timers.len();
        if !counts_match || !all_known || !self.calls.iter().all(is_consistent) {
            return Err(RestoreError::InconsistentCalls);
        }
        self.update_counts();
        if (listed_count, ejected_count) != (self.listed_count, self.ejected_count) {
            return Err(RestoreError::InconsistentServers);
        }
        Ok(self)
    }
}
