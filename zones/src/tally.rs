//! What a process has seen of the zones lately, smoothed and rounded so that its word does not change without need.

use crate::map::Map;
use crate::pace::Pace;
use crate::word::{Toward, Word, CLASSES};
use flaxhead_lease::Micros;

/// A span is counted in so many parts, each of that length: a second in all.
const PARTS: usize = 8;
const PART: Micros = 125_000;
/// What was said stays said while it is right to so many eighths.
const EIGHTHS: u64 = 1;
/// Ends of calls beyond this number in a part are not counted.
const COUNT_MOST: u32 = 1 << 24;

/// A count over the last second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Count {
    parts: [u32; PARTS],
}

impl Count {
    fn add(&mut self, part: u64, count: u32) {
        let at = &mut self.parts[(part % PARTS as u64) as usize];
        *at = at.saturating_add(count).min(COUNT_MOST);
    }

    fn sum(&self) -> u64 {
        self.parts.iter().map(|count| u64::from(*count)).sum()
    }

    /// A second's. The part that now is in has lasted so long.
    fn rate(&self, part: Micros) -> u64 {
        let span = (PARTS as u64 - 1) * PART + part;
        (self.sum() * 1_000_000 + span / 2) / span
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Zone {
    done: Count,
    failed: Count,
    time_ms: Count,
    in_hand: u32,
    unreached: bool,
}

/// The tally of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tally {
    own: usize,
    part: u64,
    /// For how long the part has lasted.
    lasted: Micros,
    asked: Vec<Count>,
    zones: Vec<Zone>,
    said: Option<Word>,
}

impl Tally {
    /// Of a process in a zone of the map, by its place.
    pub fn new(now: Micros, map: &Map, own: usize) -> Tally {
        let zones = vec![Zone::default(); map.count()];
        let asked = vec![Count::default(); CLASSES];
        Tally { own, part: now / PART, lasted: now % PART, asked, zones, said: None }
    }

    /// Its own zone.
    pub fn own(&self) -> usize {
        self.own
    }

    /// Calls were asked for, of a class of worth.
    pub fn asked(&mut self, now: Micros, class: usize, count: u32) {
        self.turn(now);
        let part = self.part;
        if let Some(asked) = self.asked.get_mut(class.min(CLASSES - 1)) {
            asked.add(part, count);
        }
    }

    /// Attempts at a zone were answered, in so many milliseconds each.
    pub fn done(&mut self, now: Micros, zone: usize, count: u32, time_ms: u32) {
        self.turn(now);
        let part = self.part;
        if let Some(of) = self.zones.get_mut(zone) {
            of.done.add(part, count);
            of.time_ms.add(part, count.saturating_mul(time_ms));
            of.unreached &= count == 0;
        }
    }

    /// Attempts at a zone failed.
    pub fn failed(&mut self, now: Micros, zone: usize, count: u32) {
        self.turn(now);
        let part = self.part;
        if let Some(of) = self.zones.get_mut(zone) {
            of.failed.add(part, count);
        }
    }

    /// Calls in hand at a zone, and whether all its hosts fail here.
    pub fn stands(&mut self, zone: usize, in_hand: u32, unreached: bool) {
        if let Some(of) = self.zones.get_mut(zone) {
            (of.in_hand, of.unreached) = (in_hand, unreached);
        }
    }

    /// Time goes on: what is older than the span counts no more. A clock that stands still or goes back turns nothing.
    fn turn(&mut self, now: Micros) {
        let part = now / PART;
        let turned = part.saturating_sub(self.part).min(PARTS as u64);
        for gone in 1..=turned {
            let at = ((part - turned + gone) % PARTS as u64) as usize;
            self.asked.iter_mut().for_each(|count| count.parts[at] = 0);
            for zone in &mut self.zones {
                for count in [&mut zone.done, &mut zone.failed, &mut zone.time_ms] {
                    count.parts[at] = 0;
                }
            }
        }
        self.lasted = if part >= self.part { now % PART } else { PART };
        self.part = self.part.max(part);
    }

    fn toward(&self, map: &Map, zone: usize, said: Option<&Toward>) -> Option<Toward> {
        let of = &self.zones[zone];
        let (done, failed) = (of.done.rate(self.lasted), of.failed.rate(self.lasted));
        if done + failed == 0 && !of.unreached && of.in_hand == 0 {
            return None;
        }
        let time = of.time_ms.sum() / of.done.sum().max(1);
        let said = |old: fn(&Toward) -> u32| said.map_or(0, old);
        Some(Toward {
            zone: map.name(zone).to_owned(),
            in_hand: round(u64::from(of.in_hand), said(|old| old.in_hand)),
            done: round(done, said(|old| old.done)),
            failed: round(failed, said(|old| old.failed)),
            time_ms: round(time, said(|old| old.time_ms)),
            unreached: of.unreached,
        })
    }

    /// The word as it is now.
    pub fn word(&mut self, now: Micros, map: &Map) -> Word {
        self.turn(now);
        let old = self.said.take().unwrap_or_default();
        let asked =
            self.asked.iter().enumerate().map(|(class, asked)| {
                round(asked.rate(self.lasted), old.asked.get(class).copied().unwrap_or(0))
            });
        let mut asked: Vec<u32> = asked.collect();
        while asked.last() == Some(&0) {
            asked.pop();
        }
        let toward = (0..self.zones.len()).filter_map(|zone| {
            let said = old.toward.iter().find(|toward| toward.zone == map.name(zone));
            self.toward(map, zone, said)
        });
        let word = Word { zone: map.name(self.own).to_owned(), asked, toward: toward.collect() };
        self.said = Some(word.clone());
        word
    }

    /// Whether some zone is found otherwise than was said last.
    pub(crate) fn news(&mut self, now: Micros, map: &Map, pace: &Pace) -> bool {
        self.turn(now);
        let said = |zone: usize| {
            let said = self.said.as_ref()?;
            said.toward.iter().find(|toward| toward.zone == map.name(zone))?.sight(pace)
        };
        (0..self.zones.len()).any(|zone| {
            let found = self.toward(map, zone, None).and_then(|toward| toward.sight(pace));
            found.is_some() && found != said(zone)
        })
    }

    /// What was said last.
    pub fn said(&self) -> Option<&Word> {
        self.said.as_ref()
    }
}

/// What was said, while it is near enough; else the number, to three places of two.
fn round(number: u64, said: u32) -> u32 {
    let old = u64::from(said);
    if old > 0 && number > 0 && number.abs_diff(old) * 8 <= old.max(number) * EIGHTHS {
        return said;
    }
    let number = number.min(u64::from(u32::MAX >> 1));
    let shift = (u64::BITS - number.leading_zeros()).saturating_sub(4);
    let half = if shift == 0 { 0 } else { 1 << (shift - 1) };
    ((number + half) >> shift << shift) as u32
}

#[cfg(test)]
mod tests;
