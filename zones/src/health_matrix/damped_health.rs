//! Health of one pair of zones, damped so that it does not flap.

use crate::report::ZoneHealth;
use crate::settings::FailoverSettings;
use flaxhead_lease::Micros;

/// Time without an outage after which earlier ones are forgotten, as a multiple of the recovery delay.
const OUTAGE_MEMORY_RATIO: Micros = 32;
/// Maximum number of times that the recovery delay is doubled.
const MAX_DOUBLING_COUNT: u32 = 3;

/// Health of a pair that changes only after the votes have differed from it for some time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DampedHealth {
    /// Present health.
    pub health: ZoneHealth,
    /// Time of its last change.
    pub since: Micros,
    /// Number of processes that agree on it.
    pub witnesses: u32,
    /// Number of recent outages, which are changes to [`ZoneHealth::Unavailable`]. Those that could not
    /// lengthen the recovery delay any further are not counted.
    pub recent_outages: u32,
    /// Time of the last votes.
    last_vote_at: Micros,
    /// The health that the votes are for if it differs from the present one, and the time since which they
    /// are better or worse.
    pending: Option<(ZoneHealth, Micros)>,
}

impl DampedHealth {
    /// Healthy, without outages.
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

    /// Health as a previous leader left it in the plan.
    pub fn restore(health: ZoneHealth, since: Micros, witnesses: u32, recent_outages: u32) -> DampedHealth {
        DampedHealth { health, since, witnesses, recent_outages, last_vote_at: since, pending: None }
    }

    /// Time for which the votes must be better before the health becomes better. It grows exponentially with
    /// the number of recent outages (flap damping, as RFC 2439 has it for routes).
    pub fn recovery_delay(&self, settings: &FailoverSettings) -> Micros {
        settings.recovery_delay << self.recent_outages.saturating_sub(1).min(MAX_DOUBLING_COUNT)
    }

    /// Updates the health with the result of the present votes, which is a health and the number of votes for
    /// it; `None`: there are too few votes. Returns whether the health changed.
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
        // A pair with few observers may have no votes for a moment. Only a longer pause restarts the delay
        // after which the health changes.
        if now.saturating_sub(self.last_vote_at) > settings.max_report_age {
            self.pending = None;
        }
        let Some((health, witnesses)) = vote else { return false };
        self.last_vote_at = now;
        if health == self.health {
            (self.pending, self.witnesses) = (None, witnesses);
            return false;
        }
        // The delay also restarts if the votes turn from better than the present health to worse, or from
        // worse to better.
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
