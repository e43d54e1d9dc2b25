//! The time spans of quotas.

use flaxhead_lease::Micros;

/// Bound on clock drift: two machines' clocks run apart by less than one part in this many.
const MAX_DRIFT_PARTS: Micros = 64;
/// Minimum time between two reports of one process.
const MIN_REPORT_INTERVAL: Micros = 125_000;
/// Reports that the leader takes each second, over all processes.
const MAX_REPORTS_PER_SECOND: Micros = 800;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Windows, within a lease, in which reports count as one.
const COALESCING_WINDOWS_PER_LEASE: Micros = 48;
/// Reports within a lease, however many processes there are.
const MIN_REPORTS_PER_LEASE: Micros = 4;

/// Time spans, the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaTiming {
    /// How long a grant is valid, from its request.
    pub lease: Micros,
    /// The longest that a call may take.
    pub max_call_duration: Micros,
    /// How long a process that started waits for a slot at the most.
    pub autonomy_timeout: Micros,
}

impl QuotaTiming {
    /// The longest that a span may take by another machine's clock.
    pub fn with_max_drift(span: Micros) -> Micros {
        span + span / MAX_DRIFT_PARTS + 1
    }

    /// After this, nothing that was granted before is valid, nor is a call in flight that was admitted under it.
    pub fn max_grant_lifetime(&self) -> Micros {
        QuotaTiming::with_max_drift(self.lease) + QuotaTiming::with_max_drift(self.max_call_duration)
    }

    /// Reports of one process that come closer than this count together when its demand is estimated.
    pub fn coalescing_window(&self) -> Micros {
        self.lease / COALESCING_WINDOWS_PER_LEASE
    }

    /// How often each of so many processes reports: more often than it renews its lease, so that quotas follow demand, and
    /// no more often than the leader can take.
    pub fn report_interval(&self, processes: usize) -> Micros {
        let shared = processes as Micros * MICROS_PER_SECOND / MAX_REPORTS_PER_SECOND;
        shared.max(MIN_REPORT_INTERVAL).min(self.lease / MIN_REPORTS_PER_LEASE).max(1)
    }
}
