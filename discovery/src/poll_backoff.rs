//! Timeouts of polls and list streams, and delays between polls. Performs no I/O and reads no clock.

use crate::error::WatchError;
use crate::Deployment;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::time::Duration;

/// Minimum idle time after which a list stream is closed: longer than the 2 s between keep-alives, so that
/// one late keep-alive does not close it.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Maximum random addition to the idle timeout, which spreads the polls of proxies whose list streams become
/// idle together. The sum leaves time for a response within the 6 s in which a change of the list must be
/// followed.
const IDLE_TIMEOUT_JITTER: Duration = Duration::from_millis(2_200);
/// Time to wait for a response of a shared server before another poll is sent in parallel.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Response timeout of a shared server after a failure, shorter because the failure has used part of the 6 s
/// in which a change of the list must be followed.
const RESPONSE_TIMEOUT_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// Response timeout of a local agent before it is doubled. It doubles with each consecutive failure, so that
/// an agent on a stalled machine has time to respond.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the doublings of the agent's response timeout: the longest is 2 s.
const MAX_AGENT_TIMEOUT_DOUBLINGS: u32 = 2;
/// Maximum delay before the first retry of a local agent; the actual delay is random between half of it and
/// all of it. It doubles with each consecutive failure, and stays well below the time in which a change of
/// the list must be followed.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Limit on the doublings of the agent's retry delay: the longest is 200 ms.
const MAX_AGENT_DELAY_DOUBLINGS: u32 = 1;

/// Timeouts and retry delays of one watch, which depend on its consecutive failures.
#[derive(Debug)]
pub(crate) struct PollBackoff {
    deployment: Deployment,
    random: Pcg32,
    /// Number of failures since data was last received.
    consecutive_failures: u32,
}

impl PollBackoff {
    /// Creates the backoff of a new watch; `seed` determines the random timeouts and delays.
    pub(crate) fn new(deployment: Deployment, seed: u64) -> PollBackoff {
        PollBackoff { deployment, random: Pcg32::new(seed, 0), consecutive_failures: 0 }
    }

    /// Returns a uniformly distributed duration of at most `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }

    /// Returns the time to wait for the next response.
    pub(crate) fn response_timeout(&self) -> Duration {
        match self.deployment {
            Deployment::Shared if self.consecutive_failures > 0 => RESPONSE_TIMEOUT_AFTER_FAILURE,
            Deployment::Shared => RESPONSE_TIMEOUT,
            Deployment::LocalAgent => {
                AGENT_RESPONSE_TIMEOUT * (1 << self.consecutive_failures.min(MAX_AGENT_TIMEOUT_DOUBLINGS))
            }
        }
    }

    /// Returns the idle time after which the next list stream is closed, drawn anew for each stream.
    pub(crate) fn idle_timeout(&mut self) -> Duration {
        MIN_IDLE_TIMEOUT + self.jitter(IDLE_TIMEOUT_JITTER)
    }

    /// Resets the count of failures, after data was received on the list stream.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure. Returns the delay before the next poll of this watch; `None` if the watch ends.
    pub(crate) fn next_delay(&mut self, error: &WatchError) -> Option<Duration> {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        match (self.deployment, error) {
            // The idle timeout has spread the polls already. A second idle timeout in a row ends the watch of
            // a shared server, which immediate polls of all proxies would overload.
            (_, WatchError::IdleTimeout(_)) if self.consecutive_failures == 1 => Some(Duration::ZERO),
            // The response timeout has passed already, and earlier polls stay pending in parallel with the
            // next one.
            (_, WatchError::ResponseTimeout(_)) => Some(Duration::ZERO),
            (Deployment::Shared, _) => None,
            (Deployment::LocalAgent, WatchError::IdleTimeout(_)) => Some(Duration::ZERO),
            (Deployment::LocalAgent, _) => {
                let longest =
                    AGENT_RETRY_DELAY * (1 << (self.consecutive_failures - 1).min(MAX_AGENT_DELAY_DOUBLINGS));
                Some(longest / 2 + self.jitter(longest / 2))
            }
        }
    }

    /// Returns whether to log the current failure: the 1st, 2nd, 4th, 8th and so on of consecutive failures.
    pub(crate) fn should_log(&self) -> bool {
        self.consecutive_failures.is_power_of_two()
    }
}

#[cfg(test)]
mod tests;
