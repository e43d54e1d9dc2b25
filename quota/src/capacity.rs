//! Capacity of the hosts, in calls in flight.
//!
//! By configuration, each ready host whose calls do not fail carries `calls_per_host`, scaled by its size and
//! warm-up. As the configured figure may be too high, the capacity is lowered by a learned ratio, which
//! follows the share of attempts that hosts rejected for being full, over all processes. Source: additive
//! increase, multiplicative decrease (Chiu and Jain, Computer Networks and ISDN Systems 17, 1989).

use crate::registry::TenantRegistry;
use flaxhead_lease::Micros;

const FULL_PER_MILLE: u32 = 1_000;
const MIN_RATIO_PER_MILLE: u32 = FULL_PER_MILLE / 4;
/// Increase of the ratio after a window in which hosts rejected few attempts.
const INCREASE_PER_MILLE: u32 = 10;
/// Divisor of the ratio's decrease after a window in which hosts rejected many attempts.
const DECREASE_DIVISOR: u32 = 8;
/// Hosts rejected many attempts if they rejected more than one in this number.
const ATTEMPTS_PER_TOLERATED_REJECTION: u64 = 50;
/// Attempts in a window below which rejections do not lower the ratio.
const MIN_ATTEMPT_COUNT: u64 = 20;
/// Duration of a window of reports.
const REPORT_WINDOW: Micros = 1_000_000;
/// Product of the scales of size, warm-up and ratio, in thousandths, and of the margin, in percent.
const CAPACITY_SCALE: u128 = 1_000 * 1_000 * 1_000 * 100;

/// Capacity of a host by its discovery entry and the results of the leader's calls to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostCapacity {
    /// Whether discovery lists the host as ready.
    pub ready: bool,
    /// Whether calls to the host fail.
    pub failing: bool,
    /// Progress of the warm-up, in thousandths.
    pub warmth: u32,
    /// Size relative to the other hosts, in thousandths.
    pub size: u32,
}

/// Ratio between learned and configured capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnedCapacity {
    ratio_per_mille: u32,
    window_started_at: Micros,
    attempts: u64,
    rejected: u64,
}

impl LearnedCapacity {
    /// Creates a ratio of 1, with a window that begins at `now`.
    pub fn new(now: Micros) -> LearnedCapacity {
        LearnedCapacity { ratio_per_mille: FULL_PER_MILLE, window_started_at: now, attempts: 0, rejected: 0 }
    }

    /// Returns the learned part of the configured capacity, in thousandths.
    pub fn ratio_per_mille(&self) -> u32 {
        self.ratio_per_mille
    }

    /// Records the attempts that ended at a process, and how many of them hosts rejected. Adjusts the ratio
    /// once per window.
    pub fn record(&mut self, now: Micros, attempts: u32, rejected: u32) {
        self.attempts += u64::from(attempts);
        self.rejected += u64::from(rejected.min(attempts));
        if now.saturating_sub(self.window_started_at) < REPORT_WINDOW {
            return;
        }
        let are_rejections_frequent = self.rejected * ATTEMPTS_PER_TOLERATED_REJECTION > self.attempts;
        if self.attempts >= MIN_ATTEMPT_COUNT && are_rejections_frequent {
            self.ratio_per_mille =
                (self.ratio_per_mille - self.ratio_per_mille / DECREASE_DIVISOR).max(MIN_RATIO_PER_MILLE);
        } else {
            self.ratio_per_mille = (self.ratio_per_mille + INCREASE_PER_MILLE).min(FULL_PER_MILLE);
        }
        *self = LearnedCapacity { ratio_per_mille: self.ratio_per_mille, ..LearnedCapacity::new(now) };
    }
}

/// Returns the calls that all hosts carry at a time; `None`: fair shares are off, or no host is known.
/// `learned_per_mille` is [`LearnedCapacity::ratio_per_mille`].
pub fn fleet_capacity<'a>(
    registry: &TenantRegistry,
    hosts: impl IntoIterator<Item = &'a HostCapacity>,
    learned_per_mille: u32,
) -> Option<u32> {
    if registry.calls_per_host == 0 {
        return None;
    }
    let mut has_hosts = false;
    let mut scaled_size: u128 = 0;
    for host in hosts {
        has_hosts = true;
        if host.ready && !host.failing {
            scaled_size += u128::from(host.size) * u128::from(host.warmth.min(FULL_PER_MILLE));
        }
    }
    let remaining_percent = u128::from(100 - registry.margin_percent.min(99));
    let calls =
        scaled_size * u128::from(registry.calls_per_host) * remaining_percent * u128::from(learned_per_mille)
            / CAPACITY_SCALE;
    let calls = u32::try_from(calls).unwrap_or(u32::MAX).max(1);
    has_hosts.then_some(calls)
}

#[cfg(test)]
mod tests;
