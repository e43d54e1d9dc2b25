//! One pair, held long enough that nothing swings.

use crate::pace::Pace;
use crate::word::Sight;
use flaxhead_lease::Micros;

/// A pair that got lost again within so many times what it must be seen better for has not forgotten the last time.
const REMEMBERED: Micros = 32;
/// The wait is doubled so often at the most.
const DOUBLED: u32 = 3;

/// How a pair is judged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Steady {
    /// How.
    pub sight: Sight,
    /// Since when.
    pub since: Micros,
    /// By how many.
    pub witnesses: u32,
    /// How often it got lost lately.
    pub falls: u32,
    /// When anything was said last.
    heard: Micros,
    /// What is said otherwise, and since when.
    turning: Option<(Sight, Micros)>,
}

impl Steady {
    /// Well, as far as is known.
    pub fn new(now: Micros) -> Steady {
        Steady { sight: Sight::Well, since: now, witnesses: 0, falls: 0, heard: now, turning: None }
    }

    /// As another had it.
    pub fn had(sight: Sight, since: Micros, witnesses: u32, falls: u32) -> Steady {
        Steady { sight, since, witnesses, falls, heard: since, turning: None }
    }

    /// How long it must be seen better before it counts as better (flap damping, as RFC 2439 has it for routes).
    pub fn better_for(&self, pace: &Pace) -> Micros {
        pace.better_for << self.falls.saturating_sub(1).min(DOUBLED)
    }

    /// What is said now. Whether it is judged otherwise by it.
    pub fn hear(&mut self, now: Micros, said: Option<(Sight, u32)>, pace: &Pace) -> bool {
        if self.sight < Sight::Lost && now.saturating_sub(self.since) > REMEMBERED * pace.better_for {
            self.falls = 0;
        }
        // Where few look, nothing is said for moments; where nothing is for longer, it begins anew.
        if now.saturating_sub(self.heard) > pace.stale {
            self.turning = None;
        }
        let Some((sight, witnesses)) = said else { return false };
        self.heard = now;
        if sight == self.sight {
            (self.turning, self.witnesses) = (None, witnesses);
            return false;
        }
        // What is said of it may change among the better, or among the worse, while it is waited for.
        let worse = sight > self.sight;
        let since = match self.turning {
            Some((turning, since)) if (turning > self.sight) == worse => since,
            _ => now,
        };
        self.turning = Some((sight, since));
        let wait = if worse { pace.worse_for } else { self.better_for(pace) };
        if now.saturating_sub(since) < wait {
            return false;
        }
        if sight == Sight::Lost {
            self.falls = (self.falls + 1).min(DOUBLED + 1);
        }
        (self.sight, self.since, self.witnesses, self.turning) = (sight, now, witnesses, None);
        true
    }
}
