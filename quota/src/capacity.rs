//! What the hosts can carry now.
//!
//! By the facts, each ready host that does not fail carries `calls_per_host` for its size and warmth. How many that should
//! be nobody knows exactly, so what the hosts themselves report lowers it: the share of attempts that they rejected as they
//! were full, over all processes. Source of the way in which it moves: additive increase, multiplicative decrease (Chiu and
//! Jain, Computer Networks and ISDN Systems 17, 1989).

use crate::registry::TenantRegistry;
use flaxhead_lease::Micros;

/// The whole, in thousandths.
const WHOLE: u32 = 1_000;
/// The learned part is never lower than this.
const MIN_PART: u32 = WHOLE / 4;
/// What is added for each window in which hosts rejected few attempts, in thousandths.
const INCREASE: u32 = 10;
/// One in this many is subtracted for each window in which they rejected many.
const DECREASE_PARTS: u32 = 8;
/// More than one attempt in this many rejected are many.
const MAX_REJECTED_PARTS: u64 = 50;
/// Fewer attempts than this say nothing.
const MIN_ATTEMPTS: u64 = 20;
/// How long reports are gathered.
const WINDOW: Micros = 1_000_000;
/// A host's size and warmth and the learned part are in thousandths, the margin in hundredths.
const SCALE: u128 = 1_000 * 1_000 * 1_000 * 100;

/// A host, as discovery lists it and the leader's calls find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostCapacity {
    /// Discovery lists it as ready.
    pub ready: bool,
    /// Calls to it fail.
    pub failing: bool,
    /// How far it has warmed up, in thousandths.
    pub warmth: u32,
    /// Its size relative to the others', in thousandths.
    pub size: u32,
}

/// What was learned from attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnedCapacity {
    part: u32,
    window_began: Micros,
    attempts: u64,
    rejected: u64,
}

impl LearnedCapacity {
    /// Nothing was learned yet.
    pub fn new(now: Micros) -> LearnedCapacity {
        LearnedCapacity { part: WHOLE, window_began: now, attempts: 0, rejected: 0 }
    }

    /// The part that hosts carry of what the facts say, in thousandths.
    pub fn ratio_per_mille(&self) -> u32 {
        self.part
    }

    /// A process reports how many attempts ended, and how many of them were rejected by hosts.
    pub fn record(&mut self, now: Micros, attempts: u32, rejected: u32) {
        self.attempts += u64::from(attempts);
        self.rejected += u64::from(rejected.min(attempts));
        if now.saturating_sub(self.window_began) < WINDOW {
            return;
        }
        let are_many = self.rejected * MAX_REJECTED_PARTS > self.attempts;
        if self.attempts >= MIN_ATTEMPTS && are_many {
            self.part = (self.part - self.part / DECREASE_PARTS).max(MIN_PART);
        } else {
            self.part = (self.part + INCREASE).min(WHOLE);
        }
        *self = LearnedCapacity { part: self.part, ..LearnedCapacity::new(now) };
    }
}

/// Calls that the hosts carry; `None`: not configured, or no host is known.
pub fn fleet_capacity<'a>(
    registry: &TenantRegistry,
    hosts: impl IntoIterator<Item = &'a HostCapacity>,
    learned_part: u32,
) -> Option<u32> {
    if registry.calls_per_host == 0 {
        return None;
    }
    let mut is_known = false;
    let mut sum: u128 = 0;
    for host in hosts {
        is_known = true;
        if host.ready && !host.failing {
            sum += u128::from(host.size) * u128::from(host.warmth.min(WHOLE));
        }
    }
    let remaining_percent = u128::from(100 - registry.margin_percent.min(99));
    let calls =
        sum * u128::from(registry.calls_per_host) * remaining_percent * u128::from(learned_part) / SCALE;
    let calls = u32::try_from(calls).unwrap_or(u32::MAX).max(1);
    is_known.then_some(calls)
}

#[cfg(test)]
mod tests;
