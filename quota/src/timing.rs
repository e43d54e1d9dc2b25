//! Time spans of grants, reports and calls, and the bound on clock drift.

use flaxhead_lease::Micros;

/// Bound on clock drift: the clocks of two machines diverge by at most 1 us in this many microseconds.
const DRIFT_DIVISOR: Micros = 64;
const MIN_REPORT_INTERVAL: Micros = 125_000;
/// Highest rate at which all processes together may send reports to the leader.
const MAX_REPORTS_PER_SECOND: Micros = 800;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Number of coalescing windows per lease. Two reports of a process that arrive within the length of one
/// window count as one report.
const COALESCING_WINDOWS_PER_LEASE: Micros = 48;
/// Lowest number of reports that a process sends per lease, however many processes there are.
const MIN_REPORTS_PER_LEASE: Micros = 4;

/// Time spans, in microseconds, which must be configured the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaTiming {
    /// Duration of the leader's and of each process's lease, and validity of the grant that a process gets
    /// with its lease, counted from the process's request.
    pub lease: Micros,
    /// Longest time that a call can be in flight; callers have to ensure it. After a grant has expired, its
    /// permits count as in use for this long.
    pub max_call_duration: Micros,
    /// Longest time that a started process waits for a leader to decide on its slot. After that, it uses its
    /// guaranteed minimums without a decision.
    pub autonomy_timeout: Micros,
}

impl QuotaTiming {
    /// Returns the longest time that `span` on one machine's clock can take on another machine's clock.
    pub fn with_max_drift(span: Micros) -> Micros {
        span + span / DRIFT_DIVISOR + 1
    }

    /// Returns how long the permits of a grant can be in use after its issue: until the grant has expired by
    /// any machine's clock, and all calls admitted under it have ended.
    pub fn max_grant_lifetime(&self) -> Micros {
        QuotaTiming::with_max_drift(self.lease) + QuotaTiming::with_max_drift(self.max_call_duration)
    }

    /// Returns the time within which two reports of a process count as one report. The higher demand of the
    /// two applies.
    pub fn coalescing_window(&self) -> Micros {
        self.lease / COALESCING_WINDOWS_PER_LEASE
    }

    /// Returns the interval at which each of `processes` processes reports. The interval is shorter than a
    /// lease, so that grants follow changes of demand, and grows with the fleet to limit the load of the
    /// leader.
    pub fn report_interval(&self, processes: usize) -> Micros {
        let shared = processes as Micros * MICROS_PER_SECOND / MAX_REPORTS_PER_SECOND;
        shared.max(MIN_REPORT_INTERVAL).min(self.lease / MIN_REPORTS_PER_LEASE).max(1)
    }
}
