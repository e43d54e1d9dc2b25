//! Capacity of all hosts together, as a number of calls in flight.
//!
//! A host that is ready and answers calls carries `calls_per_host` calls, scaled by its size and by the
//! progress of its warm-up. Because the configured figure can be too high, the sum is multiplied by a learned
//! ratio. The ratio falls if hosts reject many attempts because they are full, and rises otherwise. Source:
//! additive increase, multiplicative decrease (Chiu and Jain, Computer Networks and ISDN Systems 17, 1989).

use crate::registry::TenantRegistry;
use flaxhead_lease::Micros;

const FULL_PER_MILLE: u32 = 1_000;
const MIN_RATIO_PER_MILLE: u32 = FULL_PER_MILLE / 4;
/// Amount by which the learned ratio rises after a window with few rejected attempts.
const INCREASE_PER_MILLE: u32 = 10;
/// Divisor for the decrease: the learned ratio falls by this fraction of itself after a window with many
/// rejected attempts.
const DECREASE_DIVISOR: u32 = 8;
/// Number of attempts among which one rejected attempt is tolerated. If hosts reject more attempts than that,
/// the learned ratio falls.
const ATTEMPTS_PER_TOLERATED_REJECTION: u64 = 50;
/// Number of attempts in a window below which rejected attempts do not lower the learned ratio.
const MIN_ATTEMPT_COUNT: u64 = 20;
/// Time over which attempts are counted before the learned ratio is adjusted.
const REPORT_WINDOW: Micros = 1_000_000;
/// Divisor for the product of size, warm-up and learned ratio, which are in thousandths, and the percentage
/// that the margin leaves.
const CAPACITY_SCALE: u128 = 1_000 * 1_000 * 1_000 * 100;

/// State of one host that determines how many calls it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostCapacity {
    /// Whether discovery lists the host as ready.
    pub ready: bool,
    /// Whether the leader's own calls to the host fail.
    pub failing: bool,
    /// Progress of the host's warm-up, in thousandths; 1000: fully warmed up.
    pub warmth: u32,
    /// Size of the host in thousandths; a host of size 1000 carries `calls_per_host` calls.
    pub size: u32,
}

/// Learned ratio between the calls that hosts accept and the calls that the configuration expects, 250 to
/// 1000 thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnedCapacity {
    ratio_per_mille: u32,
    window_started_at: Micros,
    attempts: u64,
    rejected: u64,
}

impl LearnedCapacity {
    /// Starts with a learned ratio of 1, and with a window that begins at `now`.
    pub fn new(now: Micros) -> LearnedCapacity {
        LearnedCapacity { ratio_per_mille: FULL_PER_MILLE, window_started_at: now, attempts: 0, rejected: 0 }
    }

    /// Returns the learned ratio in thousandths.
    pub fn ratio_per_mille(&self) -> u32 {
        self.ratio_per_mille
    }

    /// Counts the attempts that a process has reported as ended, and how many of them hosts rejected. At the
    /// end of a window, adjusts the learned ratio and starts a new window.
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

/// Returns the number of calls that all `hosts` together carry, at least 1; `None`: `calls_per_host` is 0, or
/// there is no host. `learned_per_mille` is [`LearnedCapacity::ratio_per_mille`].
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
