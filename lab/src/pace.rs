//! How often something happens over a whole run, by tenths of a second: whether all do the same at once.

use crate::model::node::Micros;
use serde::{Deserialize, Serialize};

/// A tenth of a second, in microseconds.
const TENTH: Micros = 100_000;
/// Tenths that are looked at for a peak: ten seconds.
const LOOK: usize = 100;
/// Tenths that are counted at the most: an hour and some.
const MOST: usize = 40_000;

/// Counts by tenths of a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Pace(Vec<u32>);

/// How much came at once after all could begin again.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stampede {
    /// What is counted.
    pub kind: String,
    /// How often it came in the fullest second of the ten that are looked at.
    pub count: u32,
    /// How often in the fullest tenth of that second.
    pub peak: u32,
    /// That tenth over the mean of those of the second, 1 to 10; 0 where nothing came.
    pub over_mean: f64,
    /// When that second began after all could begin, in milliseconds.
    pub from_ms: f64,
}

impl Pace {
    /// It happened at a moment; what comes past the bound is not counted.
    pub fn note(&mut self, at: Micros) {
        let tenth = (at / TENTH) as usize;
        if tenth >= MOST {
            return;
        }
        if self.0.len() <= tenth {
            self.0.resize(tenth + 1, 0);
        }
        self.0[tenth] += 1;
    }

    /// The ten seconds from a moment on, which count from the tenth that holds it.
    pub fn stampede(&self, kind: &str, from: Micros) -> Stampede {
        let tenths: Vec<u32> = self.0.iter().skip((from / TENTH) as usize).take(LOOK).copied().collect();
        let second = |place: usize| tenths.iter().skip(place).take(10);
        // Of two that are alike the first.
        let fullest = (0..tenths.len()).rev().max_by_key(|&place| second(place).sum::<u32>()).unwrap_or(0);
        let (count, peak) = second(fullest).fold((0, 0), |(sum, peak), &of| (sum + of, of.max(peak)));
        let over_mean = if count > 0 { f64::from(peak) * 10.0 / f64::from(count) } else { 0.0 };
        let from_ms = fullest as f64 * TENTH as f64 / 1e3;
        Stampede { kind: kind.to_owned(), count, peak, over_mean, from_ms }
    }
}

#[cfg(test)]
mod tests;
