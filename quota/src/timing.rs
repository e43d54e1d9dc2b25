//! Time spans of the quota protocol.

use flaxhead_lease::Micros;

/// Divisor of a time span that gives the maximum difference between two machines' clocks.
const DRIFT_DIVISOR: Micros = 64;
/// Minimum time between two reports of one process.
const MIN_REPORT_INTERVAL: Micros = 125_000;
/// Maximum rate of reports to the leader, over all processes.
const MAX_REPORTS_PER_SECOND: Micros = 800;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Number of windows per lease. Reports of a process within one window count as one.
const COALESCING_WINDOWS_PER_LEASE: Micros = 48;
/// Minimum rate of reports of a process, for any number of processes.
const MIN_REPORTS_PER_LEASE: Micros = 4;

/// Time spans, which must be the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaTiming {
    /// Validity of a grant, counted from its request.
    pub lease: Micros,
    /// Maximum duration of a call.
    pub max_call_duration: Micros,
    /// Maximum time that a started process waits for a slot before it assumes one.
    pub autonomy_timeout: Micros,
}

impl QuotaTiming {
    /// Returns the longest duration of `span` by the clock of another machine.
    pub fn with_max_drift(span: Micros) -> Micros {
        span + span / DRIFT_DIVISOR + 1
    }

    /// Time after which no earlier grant is valid, and no call admitted under it is still in flight.
    pub fn max_grant_lifetime(&self) -> Micros {
        QuotaTiming::with_max_drift(self.lease) + QuotaTiming::with_max_drift(self.max_call_duration)
    }

    /// Time between two reports of a process below which the higher of their demands counts.
    pub fn coalescing_window(&self) -> Micros {
        self.lease / COALESCING_WINDOWS_PER_LEASE
    }

    /// Interval between the reports of one of `processes` processes. It is shorter than a lease, so that
    /// grants follow the demand, and limits the rate of reports at the leader.
    pub fn report_interval(&self, processes: usize) -> Micros {
        let shared = processes as Micros * MICROS_PER_SECOND / MAX_REPORTS_PER_SECOND;
        shared.max(MIN_REPORT_INTERVAL).min(self.lease / MIN_REPORTS_PER_LEASE).max(1)
    }
}
