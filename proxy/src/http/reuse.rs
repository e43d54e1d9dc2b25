//! What became of kept connections, by how long they had stood idle.

use std::time::Duration;

/// Idle times of kept connections are told apart by powers of two of a millisecond, from this one on: what is
/// used again sooner breaks for other reasons.
const AGE_CLASSES: usize = 16;
const FIRST_STALE_CLASS: usize = 6;
/// Uses of an age that tell something, and how much oftener than soon ones they break where they are stale.
const MIN_USES: f64 = 4.0;
const STALE_EXCESS: f64 = 0.1;
/// What a sweep leaves of those counts: half is forgotten in ten seconds.
const DECAY: f64 = 0.93;

/// What became of kept connections, by how long they had stood idle. Hosts keep one for the settings' time at
/// the most; it may be dropped far sooner, and without a sign.
#[derive(Debug, Default)]
pub struct ReuseStats {
    /// Uses, and those that broke.
    ages: [(f64, f64); AGE_CLASSES],
}

impl ReuseStats {
    fn age(idle: Duration) -> usize {
        ((u128::BITS - idle.as_millis().leading_zeros()) as usize).min(AGE_CLASSES - 1)
    }

    /// Notes a use of a connection that stood idle for so long.
    pub fn record(&mut self, idle: Duration, broke: bool) {
        let (uses, broken) = &mut self.ages[ReuseStats::age(idle)];
        *uses += 1.0;
        *broken += f64::from(u8::from(broke));
    }

    /// Whether connections that stood idle for so long, or for less, break clearly oftener than others.
    pub fn is_stale(&self, idle: Duration) -> bool {
        let (soon, later) = self.ages.split_at(FIRST_STALE_CLASS);
        let (uses, broken) = soon.iter().fold((0.0, 0.0), |sum, age| (sum.0 + age.0, sum.1 + age.1));
        let limit = broken / f64::max(uses, 1.0) + STALE_EXCESS;
        let ages = later.iter().take((ReuseStats::age(idle) + 1).saturating_sub(FIRST_STALE_CLASS));
        ages.into_iter().any(|&(uses, broken)| uses >= MIN_USES && broken > limit * uses)
    }

    /// Forgets a part; called once a second.
    pub fn decay(&mut self) {
        for (uses, broken) in &mut self.ages {
            (*uses, *broken) = (*uses * DECAY, *broken * DECAY);
        }
    }
}

#[cfg(test)]
mod tests;
