//! How fast things are judged and moved, and by what bounds.

use flaxhead_lease::Micros;

/// Settings, the same at all processes. Portions are in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pace {
    /// Calls a second that a warm host of size 1 does.
    pub host_rate: u32,
    /// What is left of that.
    pub margin: u32,
    /// An answer that takes longer makes its zone strained.
    pub slow_ms: u32,
    /// So many failures make it strained, and so many lost.
    pub failing: u32,
    /// See [`Pace::failing`].
    pub lost: u32,
    /// Part of those of one zone who speak of another that must say the same, and how many at the least.
    pub quorum: u32,
    /// See [`Pace::quorum`].
    pub witnesses: u32,
    /// How old a word may be that is a witness.
    pub stale: Micros,
    /// For how long a zone must be seen worse before it counts as worse.
    pub worse_for: Micros,
    /// For how long it must be seen better; doubled with each time that it got worse again, up to eight times.
    pub better_for: Micros,
    /// How often the plan moves at the most.
    pub step_every: Micros,
    /// How much of what a zone can do its traffic may rise by in a step, and for one that is just back.
    pub step: u32,
    /// See [`Pace::step`].
    pub step_back: u32,
    /// How long a zone counts as just back.
    pub back_for: Micros,
    /// Moves of less than this wait for more.
    pub still: u32,
    /// How long an order to hold the plan lasts.
    pub hold_most: Micros,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            host_rate: 100,
            margin: 100,
            slow_ms: 500,
            failing: 100,
            lost: 500,
            quorum: 667,
            witnesses: 2,
            stale: 4_000_000,
            worse_for: 250_000,
            better_for: 4_000_000,
            step_every: 500_000,
            step: 250,
            step_back: 60,
            back_for: 30_000_000,
            still: 20,
            hold_most: 3_600_000_000,
        }
    }
}

/// A portion in thousandths of a number.
pub(crate) fn portion(of: u64, thousandths: u32) -> u64 {
    (u128::from(of) * u128::from(thousandths) / 1_000).min(u128::from(u64::MAX)) as u64
}
