//! When a watch counts as silent, and when the next one begins. Without I/O or a clock: only random draws.

use crate::error::WatchError;
use crate::Deployment;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::time::Duration;

/// An empty line comes every 2 s, and what a silent watch misses counts as known 6 s after it fell silent. A watch is given
/// up between these from its last byte on: more than one line must be missing, and a response must fit into the rest.
/// Proxies whose watches fall silent together draw over all of it.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(3_200);
const IDLE_TIMEOUT_JITTER: Duration = Duration::from_millis(2_200);
/// After so long without a response there is another poll beside the one that waits, where discovery is shared.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// The same where a watch fell silent before, which has used up a part of the time after which the list counts as known.
const RESPONSE_TIMEOUT_AFTER_FAILURE: Duration = Duration::from_secs(2);
/// The same for an agent, which responds at once or is silent: doubled with each failure in a row, so that one on a machine
/// that stands still is not polled for ever without being waited for.
const AGENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_AGENT_TIMEOUT_DOUBLINGS: u32 = 2;
/// Delay before an agent is polled again, from a half to all of it, doubled with each failure in a row: what the agent has
/// counts as known, so the longest stays well under the times in which proxies must follow the list.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_AGENT_DELAY_DOUBLINGS: u32 = 1;

/// Timeouts and delays of one watch.
#[derive(Debug)]
pub(crate) struct PollBackoff {
    deployment: Deployment,
    random: Pcg32,
    /// Failures since the last success.
    failures: u32,
}

impl PollBackoff {
    /// Without failures; draws by this seed.
    pub(crate) fn new(deployment: Deployment, seed: u64) -> PollBackoff {
        PollBackoff { deployment, random: Pcg32::new(seed, 0), failures: 0 }
    }

    /// A uniformly drawn part of a span.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }

    /// How long the next response is waited for.
    pub(crate) fn response_timeout(&self) -> Duration {
        match self.deployment {
            Deployment::Shared if self.failures > 0 => RESPONSE_TIMEOUT_AFTER_FAILURE,
            Deployment::Shared => RESPONSE_TIMEOUT,
            Deployment::LocalAgent => {
                AGENT_RESPONSE_TIMEOUT * (1 << self.failures.min(MAX_AGENT_TIMEOUT_DOUBLINGS))
            }
        }
    }

    /// How long the next watch may say nothing.
    pub(crate) fn idle_timeout(&mut self) -> Duration {
        MIN_IDLE_TIMEOUT + self.jitter(IDLE_TIMEOUT_JITTER)
    }

    /// Something came on the watch.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next watch; `None`: that is for the caller to say.
    pub(crate) fn next_delay(&mut self, error: &WatchError) -> Option<Duration> {
        self.failures = self.failures.saturating_add(1);
        match (self.deployment, error) {
            // Waiting was the delay. Discovery that is silent again does not bear a second poll beside all others'.
            (_, WatchError::IdleTimeout(_)) if self.failures == 1 => Some(Duration::ZERO),
            // Waiting was the delay here too, and goes on beside the next poll.
            (_, WatchError::ResponseTimeout(_)) => Some(Duration::ZERO),
            (Deployment::Shared, _) => None,
            (Deployment::LocalAgent, WatchError::IdleTimeout(_)) => Some(Duration::ZERO),
            (Deployment::LocalAgent, _) => {
                let longest = AGENT_RETRY_DELAY * (1 << (self.failures - 1).min(MAX_AGENT_DELAY_DOUBLINGS));
                Some(longest / 2 + self.jitter(longest / 2))
            }
        }
    }

    /// Whether this failure deserves a line of the log: the first in a row, and ever fewer of those that follow.
    pub(crate) fn should_log(&self) -> bool {
        self.failures.is_power_of_two()
    }
}

#[cfg(test)]
mod tests;
