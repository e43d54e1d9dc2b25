//! What became of kept connections, by how long they had stood idle.

use std::time::Duration;

/// Idle times of kept connections are told apart by powers of two of a millisecond, from this one on: what is
/// used again sooner breaks for other reasons.
const AGES: usize = 16;
const AGE_LEAST: usize = 6;
/// Uses of an age that tell something, and how much oftener than soon ones they break where they are stale.
const AGE_USES: f64 = 4.0;
const STALE_SHARE: f64 = 0.1;
/// What a sweep leaves of those counts: half is forgotten in ten seconds.
const AGE_MEMORY: f64 = 0.93;

/// What became of kept connections, by how long they had stood idle. Hosts keep one for the settings' time at
/// the most; it may be dropped far sooner, and without a sign.
#[derive(Debug, Default)]
pub struct Reuse {
    /// Uses, and those that broke.
    ages: [(f64, f64); AGES],
}

impl Reuse {
    fn age(idle: Duration) -> usize {
        ((u128::BITS - idle.as_millis().leading_zeros()) as usize).min(AGES - 1)
    }

    /// Notes a use of a connection that stood idle for so long.
    pub fn note(&mut self, idle: Duration, broke: bool) {
        let (uses, broken) = &mut self.ages[Reuse::age(idle)];
        *uses += 1.0;
        *broken += f64::from(u8::from(broke));
    }

    /// Whether connections that stood idle for so long, or for less, break clearly oftener than others.
    pub fn is_stale(&self, idle: Duration) -> bool {
        let (soon, later) = self.ages.split_at(AGE_LEAST);
        let (uses, broken) = soon.iter().fold((0.0, 0.0), |sum, age| (sum.0 + age.0, sum.1 + age.1));
        let limit = broken / f64::max(uses, 1.0) + STALE_SHARE;
        let ages = later.iter().take((Reuse::age(idle) + 1).saturating_sub(AGE_LEAST));
        ages.into_iter().any(|&(uses, broken)| uses >= AGE_USES && broken > limit * uses)
    }

    /// Forgets a part; called once a second.
    pub fn forget(&mut self) {
        for (uses, broken) in &mut self.ages {
            (*uses, *broken) = (*uses * AGE_MEMORY, *broken * AGE_MEMORY);
        }
    }
}

#[cfg(test)]
mod tests;
