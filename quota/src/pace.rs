//! Spans that the holder and the processes go by.

use flaxhead_lease::Micros;

/// Clocks of two machines run apart by less than one part in this many.
const DRIFT: Micros = 64;
/// Words come at most this often from one process.
const PACE_LEAST: Micros = 125_000;
/// Words that the holder takes each second, over all processes.
const WORDS: Micros = 800;

/// Spans; the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// How long a grant lasts, from its asking.
    pub lease: Micros,
    /// The longest that a call may take.
    pub longest_call: Micros,
    /// How long a started process waits for a seat at the most.
    pub alone_after: Micros,
}

impl Pace {
    /// A span as the other side's clock may see it at the longest.
    pub fn longest(span: Micros) -> Micros {
        span + span / DRIFT + 1
    }

    /// After this, nothing that was granted before is used, nor does a call run that was begun under it.
    pub fn all_over(&self) -> Micros {
        Pace::longest(self.lease) + Pace::longest(self.longest_call)
    }

    /// Words that come closer than this are taken together, where it is asked what is wanted.
    pub fn together(&self) -> Micros {
        self.lease / 48
    }

    /// How often each of so many processes says a word: more often than it renews its leave, so that shares follow
    /// demand, and no more often than the holder can hear.
    pub fn between_words(&self, processes: usize) -> Micros {
        let shared = processes as Micros * 1_000_000 / WORDS;
        shared.max(PACE_LEAST).min(self.lease / 4).max(1)
    }
}
