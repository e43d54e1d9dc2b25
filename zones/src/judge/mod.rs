//! How zones stand, by pairs of who looks and who is looked at.

mod opinions;
mod steady;

pub use opinions::Opinions;
pub use steady::Steady;

use crate::map::Map;
use crate::pace::Pace;
use crate::word::Sight;
use flaxhead_lease::Micros;

/// How a zone stands, from all sides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stand {
    /// It takes traffic.
    In,
    /// It answers late, or some calls fail, from more than half of the zones.
    Strained,
    /// It is not reached from these, and from others it is.
    CutFrom(Vec<usize>),
    /// It is reached from nowhere.
    Lost,
}

/// The judgement of all pairs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Judge {
    pairs: Vec<Vec<Steady>>,
}

/// A pair is judged otherwise from now on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Turned {
    /// Who looks.
    pub from: usize,
    /// At whom.
    pub to: usize,
    /// How it was.
    pub was: Sight,
    /// How it is.
    pub is: Sight,
    /// How many say so.
    pub witnesses: u32,
}

impl Judge {
    /// All is well as far as is known.
    pub fn new(now: Micros, map: &Map) -> Judge {
        Judge { pairs: vec![vec![Steady::new(now); map.count()]; map.count()] }
    }

    /// A pair.
    pub fn pair(&self, from: usize, to: usize) -> &Steady {
        &self.pairs[from][to]
    }

    /// A pair as another holder had it.
    pub fn set(&mut self, from: usize, to: usize, pair: Steady) {
        if let Some(own) = self.pairs.get_mut(from).and_then(|pairs| pairs.get_mut(to)) {
            *own = pair;
        }
    }

    /// What is said now; what turned by it.
    pub fn hear(&mut self, now: Micros, opinions: &Opinions, pace: &Pace) -> Vec<Turned> {
        let mut turned = Vec::new();
        for (from, pairs) in self.pairs.iter_mut().enumerate() {
            for (to, pair) in pairs.iter_mut().enumerate() {
                let was = pair.sight;
                if pair.hear(now, opinions.of(from, to, pace), pace) {
                    let (is, witnesses) = (pair.sight, pair.witnesses);
                    turned.push(Turned { from, to, was, is, witnesses });
                }
            }
        }
        turned
    }

    /// A zone, from all sides.
    pub fn stand(&self, zone: usize) -> Stand {
        let count = self.pairs.len();
        let seen = |sight: Sight| (0..count).filter(move |from| self.pairs[*from][zone].sight == sight);
        let lost: Vec<usize> = seen(Sight::Lost).collect();
        match lost.len() {
            all if all == count => Stand::Lost,
            0 if seen(Sight::Strained).count() * 2 > count => Stand::Strained,
            0 => Stand::In,
            _ => Stand::CutFrom(lost),
        }
    }

    /// Whether more than half of those that reach a zone find it strained.
    pub fn strained(&self, zone: usize) -> bool {
        let pairs = || self.pairs.iter().map(|pairs| &pairs[zone]).filter(|pair| pair.sight < Sight::Lost);
        pairs().filter(|pair| pair.sight == Sight::Strained).count() * 2 > pairs().count()
    }

    /// Whether a zone was lost to somebody, and is back since a short time.
    pub fn just_back(&self, now: Micros, zone: usize, pace: &Pace) -> bool {
        self.pairs.iter().any(|pairs| {
            let pair = &pairs[zone];
            pair.falls > 0 && pair.sight < Sight::Lost && now.saturating_sub(pair.since) < pace.back_for
        })
    }
}
