//! When a watch counts as silent, and when the next one begins. No clock and no I/O: only draws.

use crate::error::WatchError;
use crate::Keeper;
use rand_core::RngCore;
use rand_pcg::Pcg32;
use std::time::Duration;

/// An empty line comes every 2 s, and what a silent watch misses counts as told 6 s after it fell silent. From its last
/// byte on it is given between these: more than one line must be missing, and an answer must fit into the rest. Proxies
/// whose watches fall silent together draw over all of it.
const SILENT_LEAST: Duration = Duration::from_millis(3_200);
const SILENT_SPREAD: Duration = Duration::from_millis(2_200);
/// After so long without an answer there is another call beside the one that waits, where discovery is shared; and where
/// a watch fell silent before, which has used up a part of the time after which the list counts as told.
const ANSWER: Duration = Duration::from_secs(4);
const ANSWER_AFTER_SILENCE: Duration = Duration::from_secs(2);
/// The same for an agent, which answers at once or is silent: doubled with each failure in a row, so that one on a
/// machine that stands still is not asked for ever without being waited for.
const AGENT_ANSWER: Duration = Duration::from_millis(500);
const AGENT_ANSWER_DOUBLINGS: u32 = 2;
/// Pause before an agent is asked again, from a half to all of it, doubled with each failure in a row: what the agent
/// has counts as told, so that the longest stays well under the times in which proxies must follow the list.
const AGENT_PAUSE: Duration = Duration::from_millis(100);
const AGENT_PAUSE_DOUBLINGS: u32 = 1;

/// The pace of one watch.
#[derive(Debug)]
pub(crate) struct Pace {
    keeper: Keeper,
    random: Pcg32,
    /// Failures since something was heard.
    failures: u32,
}

impl Pace {
    /// One that draws by this seed.
    pub fn new(keeper: Keeper, seed: u64) -> Pace {
        Pace { keeper, random: Pcg32::new(seed, 0), failures: 0 }
    }

    /// A part of a span, each as likely.
    fn part(&mut self, span: Duration) -> Duration {
        span.mul_f64(f64::from(self.random.next_u32()) / f64::from(u32::MAX))
    }

    /// How long the next answer is waited for.
    pub fn answer(&self) -> Duration {
        match self.keeper {
            Keeper::Common if self.failures > 0 => ANSWER_AFTER_SILENCE,
            Keeper::Common => ANSWER,
            Keeper::Agent => AGENT_ANSWER * (1 << self.failures.min(AGENT_ANSWER_DOUBLINGS)),
        }
    }

    /// How long the next watch may say nothing.
    pub fn silence(&mut self) -> Duration {
        SILENT_LEAST + self.part(SILENT_SPREAD)
    }

    /// Something was heard.
    pub fn heard(&mut self) {
        self.failures = 0;
    }

    /// The pause before the next watch; `None`: that is not for the watch to say.
    pub fn after(&mut self, error: &WatchError) -> Option<Duration> {
        self.failures = self.failures.saturating_add(1);
        match (self.keeper, error) {
            // Waiting was the pause. Discovery that is silent again does not bear a second ask beside all others'.
            (_, WatchError::Silent(_)) if self.failures == 1 => Some(Duration::ZERO),
            // Waiting was the pause here too, and goes on beside the next call.
            (_, WatchError::Unanswered(_)) => Some(Duration::ZERO),
            (Keeper::Common, _) => None,
            (Keeper::Agent, WatchError::Silent(_)) => Some(Duration::ZERO),
            (Keeper::Agent, _) => {
                let all = AGENT_PAUSE * (1 << (self.failures - 1).min(AGENT_PAUSE_DOUBLINGS));
                Some(all / 2 + self.part(all / 2))
            }
        }
    }

    /// Whether this failure deserves a line of the log: the first in a row, and ever fewer of those that follow.
    pub fn is_news(&self) -> bool {
        self.failures.is_power_of_two()
    }
}

#[cfg(test)]
mod tests;
