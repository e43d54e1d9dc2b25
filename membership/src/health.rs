//! What a process knows of itself: whether it is slow, and whether it is cut off.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Most of the local health count (Lifeguard's S).
const MAX_HEALTH: u32 = 8;
/// Intervals without hearing anybody after which a process is deaf.
const DEAF_INTERVALS: u64 = 4;
/// Probes in vain without hearing anybody meanwhile, after which a process is deaf; and signs in a row that those who
/// are heard do not hear it, after which it is mute.
const MIN_SIGNS: u32 = 3;

/// How a process is cut off from all others. By its own word: nobody else can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// It hears nobody; whether it is heard it cannot know.
    Deaf,
    /// It hears others, and nobody answers it.
    Mute,
}

/// A process's own health.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Grows with each sign that the fault is its own.
    count: u32,
    /// When anything last came from another, and how many probes ended in nothing since.
    heard: Micros,
    unheard: u32,
    /// Signs since the last answer that those who are heard do not hear this process.
    ignored: u32,
    sign_at: Micros,
    on: bool,
}

impl Health {
    pub(crate) fn new(now: Micros, on: bool) -> Health {
        Health { heard: now, on, ..Health::default() }
    }

    /// By how much waits are stretched.
    pub(crate) fn stretch(&self) -> u64 {
        1 + u64::from(self.count)
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Something that speaks for or against itself.
    pub(crate) fn add(&mut self, change: i32) {
        if self.on {
            self.count = self.count.saturating_add_signed(change).min(MAX_HEALTH);
        }
    }

    /// Anything came from another.
    pub(crate) fn heard_from_other(&mut self, now: Micros) {
        (self.heard, self.unheard) = (now, 0);
    }

    /// Something came that only one who was heard can have sent.
    pub(crate) fn answered(&mut self) {
        self.ignored = 0;
    }

    /// A probe has ended in nothing.
    pub(crate) fn probe_failed(&mut self) {
        self.unheard = self.unheard.saturating_add(1);
    }

    /// One that did not answer speaks all the same, or does not know what this process said long ago.
    ///
    /// One word that others pass on is many packets: what comes within two probes is one sign.
    pub(crate) fn ignored(&mut self, now: Micros, interval: Micros) {
        if now.saturating_sub(self.sign_at) >= 2 * interval {
            self.sign_at = now;
            self.ignored = self.ignored.saturating_add(1);
        }
    }

    /// It did nothing itself for a while: what did not come meanwhile says nothing of others.
    pub(crate) fn paused(&mut self, now: Micros) {
        (self.heard, self.unheard, self.ignored) = (now, 0, 0);
        self.add(1);
    }

    pub(crate) fn cut_off(&self, now: Micros, interval: Micros) -> Option<CutOff> {
        let silent = now.saturating_sub(self.heard) >= DEAF_INTERVALS * interval;
        match () {
            () if !self.on => None,
            () if silent && self.unheard >= MIN_SIGNS => Some(CutOff::Deaf),
            () if self.ignored >= MIN_SIGNS => Some(CutOff::Mute),
            () => None,
        }
    }
}
