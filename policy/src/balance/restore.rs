//! A balancer that was written down, taken up again. What was written may be damaged: nothing is taken up that a
//! running balancer cannot hold.

use super::{balancer::*, budget::Budget};
use crate::bounds::{MOMENT_MOST, SPAN_MOST};
use std::collections::BTreeSet;

/// Most of whatever is counted one by one.
const COUNT_MOST: u32 = 1 << 30;

/// Why what was written down is not taken up. No running balancer writes such a thing: it is damaged, or of another
/// site's settings, and only a record that begins later can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The settings beside it cannot be those of a proxy.
    #[error("the settings name times that are too long")]
    InvalidSettings,
    /// It has other classes or tenants than the settings.
    #[error("the state is of other settings")]
    SettingsMismatch,
    /// Budgets, backoffs or answer times that no balancer reaches.
    #[error("the state names figures that are too large")]
    ValueOutOfRange,
    /// Counters that no balancer reaches.
    #[error("the state counts too much")]
    CounterOutOfRange,
    /// The servers do not stand in the order of their numbers.
    #[error("the servers are out of order")]
    UnsortedServers,
    /// A call is queued or woken that does not wait, or the other way about.
    #[error("the calls and those that wait are not the same")]
    InconsistentCalls,
    /// Servers listed or set aside are not as many as it says.
    #[error("the servers are counted wrong")]
    InconsistentServers,
}

impl Balancer {
    /// Goes on as the balancer that was written down, with its settings, which are not part of it.
    ///
    /// # Errors
    ///
    /// Where a running balancer with these settings cannot have written it.
    pub fn restore(mut self, settings: Settings) -> Result<Balancer, RestoreError> {
        if !settings.is_in_range() {
            return Err(RestoreError::InvalidSettings);
        }
        let (listed, aside) = (self.listed, self.aside);
        self.settings = settings;
        if self.paces.len() != self.settings.classes.len()
            || self.tenants.len() != self.settings.tenants.len()
        {
            return Err(RestoreError::SettingsMismatch);
        }
        let mut budgets = self.servers.iter().map(|s| &s.budget);
        let budget = |b: &Budget| {
            b.steps <= STEP_CLAMP && b.doublings <= BACKOFF_DOUBLINGS && b.backoff_end <= MOMENT_MOST
        };
        let server =
            |s: &Server| s.in_flight.max(s.answers_since) <= COUNT_MOST && s.not_before <= MOMENT_MOST;
        let pace = |p: &Pace| p.mean <= SPAN_MOST as f64 && p.base <= SPAN_MOST as f64;
        let counts = self.ask_failures <= COUNT_MOST;
        if !budgets.all(budget) || !self.servers.iter().all(server) || !self.paces.iter().all(pace) {
            return Err(RestoreError::ValueOutOfRange);
        }
        if !counts || self.sends.max(self.served) > MOMENT_MOST {
            return Err(RestoreError::CounterOutOfRange);
        }
        if !self.servers.is_sorted_by(|a, b| a.id < b.id) {
            return Err(RestoreError::UnsortedServers);
        }
        let queued: BTreeSet<CallId> = self.queue.iter().copied().collect();
        let waiting = |(id, call): (&CallId, &Call)| {
            let wakes = call.wake == 0 || self.wakes.contains(&(call.wake, *id));
            wakes && call.queued == queued.contains(id) && !(call.queued && call.ended)
        };
        let wakes = self.calls.values().filter(|call| call.wake != 0).count();
        let known = queued.iter().all(|id| self.calls.contains_key(id));
        let once = queued.len() == self.queue.len() && wakes == self.wakes.len();
        if !once || !known || !self.calls.iter().all(waiting) {
            return Err(RestoreError::InconsistentCalls);
        }
        self.count();
        if (listed, aside) != (self.listed, self.aside) {
            return Err(RestoreError::InconsistentServers);
        }
        Ok(self)
    }
}
