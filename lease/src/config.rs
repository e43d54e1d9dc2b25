//! The time spans of the protocol.

use flaxhead_membership::Micros;

/// Bound on clock drift: two machines' clocks run apart by less than one part in this many.
const MAX_DRIFT_PARTS: Micros = 64;
/// Renewals within the duration of a lease, so that two lost ones in a row do not end it.
const RENEWALS_PER_LEASE: Micros = 4;
/// Resends of an unconfirmed state within a renewal interval, so that a lost message costs a fraction of it.
const RESENDS_PER_RENEWAL: Micros = 6;

/// Time spans of one process. They must be the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Duration of a lease, of the leader's as well as of each process's own. It bounds the time without a leader after
    /// one fails; a process may pause for half of it without losing its lease.
    pub lease_duration: Micros,
    /// The longest that a request may take: how long a process that is no longer heard may still have it in flight.
    pub max_call_duration: Micros,
    /// After all voters have lost their state: how long the leader treats the state as incomplete, unless its application
    /// declares it recovered.
    pub state_loss_timeout: Micros,
    /// How long a restarted process waits for admission while no process with the complete state replies; then it serves
    /// autonomously.
    pub autonomy_timeout: Micros,
    /// How long, from its start, a process waits for operators to declare the state once it is known to be lost.
    pub operator_timeout: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            lease_duration: 6_000_000,
            max_call_duration: 10_000_000,
            state_loss_timeout: 3_600_000_000,
            autonomy_timeout: 15_000_000,
            operator_timeout: 0,
        }
    }
}

impl Config {
    /// The longest that a span may take by another machine's clock.
    pub fn with_max_drift(span: Micros) -> Micros {
        span + span / MAX_DRIFT_PARTS + 1
    }

    /// How long a restarted voter is quarantined: longer than any lease that it may have granted.
    pub(crate) fn quarantine(&self) -> Micros {
        Config::with_max_drift(Config::with_max_drift(self.lease_duration))
    }

    /// How often leases are renewed.
    pub(crate) fn renewal_interval(&self) -> Micros {
        (self.lease_duration / RENEWALS_PER_LEASE).max(1)
    }

    /// After which time a state that was not confirmed is sent again.
    pub(crate) fn state_resend_interval(&self) -> Micros {
        (self.renewal_interval() / RESENDS_PER_RENEWAL).max(1)
    }
}
