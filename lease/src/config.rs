//! Time limits of the protocol.

use flaxhead_membership::Micros;

/// Reciprocal of the maximum clock drift: two clocks diverge by less than 1/64 of the elapsed time.
const MAX_DRIFT_DIVISOR: Micros = 64;
/// Renewals of a lease during its duration, so that two consecutive lost renewals do not end it.
const RENEWALS_PER_LEASE: Micros = 4;
/// Number of times per renewal interval that the leader sends a state again to a process that has not
/// confirmed it.
const RESENDS_PER_RENEWAL: Micros = 6;

/// Time limits of the protocol, in microseconds. All processes must use the same values.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Duration of the leader's lease and of the lease of each process. It limits the time without a leader
    /// after a failure. A process may pause for half of it without losing its lease.
    pub lease_duration: Micros,
    /// Maximum duration of a call through the proxy. A process that no longer reports may have calls in
    /// flight for this long.
    pub max_call_duration: Micros,
    /// Time for which a new leader treats its state as incomplete, if a majority of voters had lost theirs
    /// when it was elected. It ends earlier if the application calls
    /// [`crate::LeaderContext::declare_recovered`].
    pub state_loss_timeout: Micros,
    /// Time for which a started process waits before it serves without admission. It waits longer while the
    /// replies show both a process with the complete state and a leader or voters that can elect one.
    pub autonomy_timeout: Micros,
    /// Time, from its start, for which a process waits for operators to restore the lost state and declare it
    /// complete, before it serves without admission; 0: it does not wait.
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
    /// Returns the longest time, in microseconds, that another clock may measure while one clock measures
    /// `span`.
    pub fn with_max_drift(span: Micros) -> Micros {
        span + span / MAX_DRIFT_DIVISOR + 1
    }

    /// Time after its start during which a voter does not vote, longer than any lease that it may have
    /// granted before a restart.
    pub(crate) fn quarantine(&self) -> Micros {
        Config::with_max_drift(Config::with_max_drift(self.lease_duration))
    }

    /// Time between two regular renewals of a lease, of the leader or of a process.
    pub(crate) fn renewal_interval(&self) -> Micros {
        (self.lease_duration / RENEWALS_PER_LEASE).max(1)
    }

    /// Time after which the leader sends a state again to a process that has not confirmed it.
    pub(crate) fn state_resend_interval(&self) -> Micros {
        (self.renewal_interval() / RESENDS_PER_RENEWAL).max(1)
    }
}
