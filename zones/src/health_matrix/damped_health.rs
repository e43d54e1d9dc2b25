//! One pair, held long enough that nothing swings.
use crate::report::ZoneHealth;
use crate::settings::FailoverSettings;
use flaxhead_lease::Micros;

/// A pair that got lost again within so many times what it must be seen better for has not forgotten the last time.
const OUTAGE_MEMORY_RATIO: Micros = 32;

/// The wait is doubled so often at the most.
const MAX_DOUBLING_COUNT: u32 = 3;

/// How a pair is judged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DampedHealth {
    /// How.
    pub health: ZoneHealth,

    /// Since when.
    pub since: Micros,

    /// By how many.
    pub witnesses: u32,

    /// How often it got lost lately.
    pub recent_outages: u32,

    /// When anything was said last.
    last_vote_at: Micros,

    /// What is said otherwise, and since when.
    pending: Option<(ZoneHealth, Micros)>,
}

impl DampedHealth {
    /// Well, as far as is known.
    pub fn new(now: Micros) -> DampedHealth {
        DampedHealth {
            health: ZoneHealth::Healthy,
            since: now,
            witnesses: 0,
            recent_outages: 0,
            last_vote_at: now,
            pending: None,
        }
    }

    /// As another had it.
    pub fn restore(health: ZoneHealth, since: Micros, witnesses: u32, recent_outages: u32) -> DampedHealth {
        DampedHealth { health, since, witnesses, recent_outages, last_vote_at: since, pending: None }
    }

    /// How long it must be seen better before it counts as better (flap damping, as RFC 2439 has it for routes).
    pub fn recovery_delay(&self, settings: &FailoverSettings) -> Micros {
        settings.recovery_delay << self.recent_outages.saturating_sub(1).min(MAX_DOUBLING_COUNT)
    }

    /// What is said now. Whether it is judged otherwise by it.
    pub fn update(
        &mut self,
        now: Micros,
        vote: Option<(ZoneHealth, u32)>,
        settings: &FailoverSettings,
    ) -> bool {
        if self.health < ZoneHealth::Unavailable
            && now.saturating_sub(self.since) > OUTAGE_MEMORY_RATIO * settings.recovery_delay
        {
            self.recent_outages = 0;
        }

        // Where few look, nothing is said for moments; where nothing is for longer, it begins anew.
        if now.saturating_sub(self.last_vote_at) > settings.max_report_age {
            self.pending = None;
        }
        let Some((health, witnesses)) = vote else { return false };
        self.last_vote_at = now;
        if health == self.health {
            (self.pending, self.witnesses) = (None, witnesses);
            return false;
        }

        // What is said of it may change among the better, or among the worse, while it is waited for.
        let is_worse = health > self.health;
        let since = match self.pending {
            Some((pending, since)) if (pending > self.health) == is_worse => since,
            _ => now,
        };
        self.pending = Some((health, since));
        let delay = if is_worse { settings.worsening_delay } else { self.recovery_delay(settings) };
        if now.saturating_sub(since) < delay {
            return false;
        }
        if health == ZoneHealth::Unavailable {
            self.recent_outages = (self.recent_outages + 1).min(MAX_DOUBLING_COUNT + 1);
        }
        (self.health, self.since, self.witnesses, self.pending) = (health, now, witnesses, None);
        true
    }
}
