//! What the hosts can carry now.
//!
//! From facts: each ready host that does not fail carries `host_calls` for its size and warmth. How many that should be
//! nobody knows exactly, so what the hosts themselves say lowers it: the share of attempts that they turned away as full,
//! over all processes. Source of the way in which it moves: additive increase, multiplicative decrease (Chiu and Jain,
//! Computer Networks and ISDN Systems 17, 1989).

use crate::book::Book;
use flaxhead_lease::Micros;

/// The whole, in thousandths.
const WHOLE: u32 = 1_000;
/// It is never lowered under this.
const LEAST: u32 = WHOLE / 4;
/// How much is added for each window without trouble, in thousandths.
const STEP: u32 = 10;
/// One in this many attempts turned away is too many.
const TROUBLE: u64 = 50;
/// Fewer attempts than this say nothing.
const ENOUGH: u64 = 20;
/// How long words are gathered.
const WINDOW: Micros = 1_000_000;

/// A host, as discovery lists it and the holder's calls find it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Host {
    /// Discovery lists it as ready.
    pub ready: bool,
    /// Calls to it fail.
    pub failing: bool,
    /// How warm it is, in thousandths.
    pub warmth: u32,
    /// Its size beside the others', in thousandths.
    pub size: u32,
}

/// What was learned from attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Learned {
    part: u32,
    since: Micros,
    attempts: u64,
    turned_away: u64,
}

impl Learned {
    /// Nothing yet.
    pub fn new(now: Micros) -> Learned {
        Learned { part: WHOLE, since: now, attempts: 0, turned_away: 0 }
    }

    /// Of what the facts say, in thousandths.
    pub fn part(&self) -> u32 {
        self.part
    }

    /// A process says how many attempts ended, and how many of them were turned away.
    pub fn heard(&mut self, now: Micros, attempts: u32, turned_away: u32) {
        self.attempts += u64::from(attempts);
        self.turned_away += u64::from(turned_away.min(attempts));
        if now.saturating_sub(self.since) < WINDOW {
            return;
        }
        if self.attempts >= ENOUGH && self.turned_away * TROUBLE > self.attempts {
            self.part = (self.part - self.part / 8).max(LEAST);
        } else {
            self.part = (self.part + STEP).min(WHOLE);
        }
        (self.since, self.attempts, self.turned_away) = (now, 0, 0);
    }
}

/// Calls that the hosts carry; `None`: the settings do not say, or no host is known.
pub fn carried<'a>(book: &Book, hosts: impl IntoIterator<Item = &'a Host>, learned: u32) -> Option<u32> {
    if book.host_calls == 0 {
        return None;
    }
    let mut known = false;
    let mut sum: u128 = 0;
    for host in hosts {
        known = true;
        if host.ready && !host.failing {
            sum += u128::from(host.size) * u128::from(host.warmth.min(WHOLE));
        }
    }
    let left = u128::from(100 - book.margin_percent.min(99));
    let calls = sum * u128::from(book.host_calls) * left * u128::from(learned) / 100_000_000_000;
    known.then(|| calls.clamp(1, u128::from(u32::MAX)) as u32)
}

#[cfg(test)]
mod tests;
