//! What a process finds out about itself: whether it is slow, and whether it is cut off.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Maximum of the local health count (Lifeguard's S).
const MAX_HEALTH: u32 = 8;
/// Probe intervals without receiving anything after which a process is deaf.
const DEAF_INTERVALS: u64 = 4;
/// Failed probes without receiving anything meanwhile, after which a process is deaf; and signs in a row that members which
/// are received do not receive it, after which it is mute.
const MIN_SIGNS: u32 = 3;
/// Signs that come within this many probe intervals are one.
const SIGN_INTERVALS: Micros = 2;

/// How a process is cut off from all others, by its own finding: no other can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOff {
    /// It receives nothing; whether it is received it cannot know.
    Deaf,
    /// It receives from others, and none answers it.
    Mute,
}

/// A process's own health.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Grows with each sign that the fault is its own.
    count: u32,
    /// When anything was last received, and how many probes failed since.
    received_at: Micros,
    failed_probes: u32,
    /// Signs, since the last answer, that members which are received do not receive this process.
    ignored: u32,
    last_sign_at: Micros,
    is_enabled: bool,
}

impl Health {
    pub(crate) fn new(now: Micros, is_enabled: bool) -> Health {
        Health { received_at: now, is_enabled, ..Health::default() }
    }

    /// The factor by which timeouts are stretched.
    pub(crate) fn stretch(&self) -> u64 {
        1 + u64::from(self.count)
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Something speaks against the own health (above 0), or for it.
    pub(crate) fn add(&mut self, change: i32) {
        if self.is_enabled {
            self.count = self.count.saturating_add_signed(change).min(MAX_HEALTH);
        }
    }

    /// Something was received.
    pub(crate) fn received(&mut self, now: Micros) {
        self.received_at = now;
        self.failed_probes = 0;
    }

    /// Something was received that only a member which had received this process can have sent.
    pub(crate) fn answered(&mut self) {
        self.ignored = 0;
    }

    /// A probe has failed.
    pub(crate) fn probe_failed(&mut self) {
        self.failed_probes = self.failed_probes.saturating_add(1);
    }

    /// A member that did not answer sends all the same, or does not know what this process announced long ago. One update
    /// that others pass on comes in many packets: what comes within two probe intervals is one sign.
    pub(crate) fn ignored(&mut self, now: Micros, probe_interval: Micros) {
        if now.saturating_sub(self.last_sign_at) >= SIGN_INTERVALS * probe_interval {
            self.last_sign_at = now;
            self.ignored = self.ignored.saturating_add(1);
        }
    }

    /// The process did nothing itself for a while: what was not received meanwhile says nothing of others.
    pub(crate) fn paused(&mut self, now: Micros) {
        self.received(now);
        self.ignored = 0;
        self.add(1);
    }

    pub(crate) fn cut_off(&self, now: Micros, probe_interval: Micros) -> Option<CutOff> {
        if !self.is_enabled {
            return None;
        }
        let is_silent = now.saturating_sub(self.received_at) >= DEAF_INTERVALS * probe_interval;
        if is_silent && self.failed_probes >= MIN_SIGNS {
            Some(CutOff::Deaf)
        } else if self.ignored >= MIN_SIGNS {
            Some(CutOff::Mute)
        } else {
            None
        }
    }
}
