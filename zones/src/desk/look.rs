//! What the holder hears, and how the zones stand by it.

use super::state::Work;
use crate::facts;
use crate::fill::{Scene, Way};
use crate::judge::{Opinions, Stand, Turned};
use crate::pace::portion;
use crate::steps::Step;
use crate::word::{Doubt, Sight};
use crate::zones::Noted;
use flaxhead_lease::Process;
use std::collections::BTreeMap;

/// So much of a zone's room is reckoned with where it is strained, each time that the plan may move; and so much of
/// the whole more where it is not, down to the least.
const LESS: u32 = 930;
const MORE: u32 = 2;
const LEAST: u32 = 250;
/// A process that asks for more than so many times what all hosts can do is not believed.
const BELIEVED: u64 = 4;

impl Work<'_, '_> {
    pub(super) fn note(&mut self, what: &'static str, whom: &str, why: String) {
        self.room.record_event(Noted { what, whom: whom.to_owned(), why });
    }

    /// What each zone can do now, and would if all its hosts were warm.
    fn rooms(&self) -> (Vec<u64>, Vec<u64>) {
        let (mut now, whole) = facts::rooms(&self.room.facts.application, self.map, self.pace);
        now.iter_mut().zip(&self.desk.learned).for_each(|(room, learned)| *room = portion(*room, *learned));
        (now, whole)
    }

    /// Reads all words, and judges.
    pub(super) fn look(&mut self) {
        let (map, pace, now) = (self.map, self.pace, self.room.now);
        let most = self.rooms().1.iter().sum::<u64>() / 1_000 * BELIEVED;
        let mut opinions = Opinions::new(map);
        let mut asked: Vec<Vec<u64>> = vec![Vec::new(); map.count()];
        let mut done = vec![0_u64; map.count()];
        let mut doubts: BTreeMap<Process, Doubt> = BTreeMap::new();
        for (process, heard) in self.room.processes().filter(|(_, heard)| self.room.heard_recently(heard)) {
            let Some(word) = heard.report() else { continue };
            let fresh = heard.last_report_at().is_some_and(|at| now.saturating_sub(at) <= pace.stale);
            let own = word.check(map, most.max(1)).and_then(|own| {
                if fresh {
                    opinions.add(own, word, map, pace)?;
                }
                Ok(own)
            });
            match own {
                Ok(own) => {
                    for toward in &word.toward {
                        let zone = map.index(&toward.zone).and_then(|zone| done.get_mut(zone));
                        zone.into_iter().for_each(|done| *done += u64::from(toward.done));
                    }
                    let sums = &mut asked[own];
                    sums.resize(sums.len().max(word.asked.len()), 0);
                    sums.iter_mut()
                        .zip(&word.asked)
                        .for_each(|(sum, asked)| *sum += u64::from(*asked) * 1_000);
                }
                Err(doubt) => {
                    doubts.insert(process.clone(), doubt);
                }
            }
        }
        // Each is named once, until it is believed again.
        let new = doubts.iter().filter(|(process, _)| !self.desk.doubts.contains_key(process));
        let new: Vec<(String, String)> =
            new.map(|(of, why)| (of.name.to_string(), why.to_string())).collect();
        new.into_iter().for_each(|(whom, why)| self.note("left out", &whom, why));
        (self.desk.doubts, self.desk.asked, self.desk.done) = (doubts, asked, done);
        for (zone, (last, since)) in self.desk.seen.iter_mut().enumerate() {
            if opinions.speak(zone) > 0 {
                if now.saturating_sub(*last) > pace.stale {
                    *since = now;
                }
                *last = now;
            }
        }
        for turned in self.desk.judge.hear(now, &opinions, pace) {
            self.turned(&turned);
        }
    }

    fn turned(&mut self, turned: &Turned) {
        let Turned { from, to, is, witnesses, .. } = turned;
        self.desk.urgent |= *is == Sight::Lost;
        let what = match is {
            Sight::Well => "well",
            Sight::Strained => "strained",
            Sight::Lost => "lost",
        };
        let stand = match self.desk.judge.stand(*to) {
            Stand::In => "in".to_owned(),
            Stand::Strained => "strained".to_owned(),
            Stand::Lost => "lost".to_owned(),
            Stand::CutFrom(from) => {
                let from: Vec<&str> = from.into_iter().map(|from| self.map.name(from)).collect();
                format!("cut from {}", from.join(", "))
            }
        };
        let from = self.map.name(*from);
        let why = format!("to {from}, by the word of {witnesses}; the zone is {stand}");
        self.note(what, self.map.name(*to), why);
    }

    /// Whether enough is heard that what is asked for is known.
    pub(super) fn knows(&self) -> bool {
        let all = self.room.processes().count();
        let heard = self.room.processes().filter(|(_, heard)| self.room.heard_recently(heard)).count();
        let long = self.room.now.saturating_sub(self.desk.began) > self.room.config.lease_duration;
        (heard * 3 >= all * 2 || long) && self.desk.asked.iter().flatten().any(|asked| *asked > 0)
    }

    /// What is found of a zone's room. One that is strained does no more than it does now.
    pub(super) fn learn(&mut self) {
        let (rooms, _) = facts::rooms(&self.room.facts.application, self.map, self.pace);
        for (zone, learned) in self.desk.learned.iter_mut().enumerate() {
            if self.desk.judge.strained(zone) {
                let does = self.desk.done[zone].saturating_mul(1_000_000) / rooms[zone].max(1);
                *learned = (u64::from(*learned).min(does) as u32 * LESS / 1_000).max(LEAST);
            } else {
                *learned = (*learned + MORE).min(1_000);
            }
        }
    }

    /// What a step works on.
    pub(super) fn scene(&self) -> Step<'_> {
        let (map, judge) = (self.map, &self.desk.judge);
        let (now, (mut room, whole)) = (self.room.now, self.rooms());
        let unseen = |zone: usize| now.saturating_sub(self.desk.seen[zone].0) > self.pace.stale;
        // Spare that nobody measures is none: trials come first.
        room.iter_mut().enumerate().filter(|(zone, _)| unseen(*zone)).for_each(|(_, room)| *room = 0);
        let way = |from: usize, to: usize| match judge.pair(from, to).sight {
            Sight::Well => Way::Open,
            Sight::Strained => Way::Last,
            Sight::Lost => Way::Shut,
        };
        let ways = (0..map.count()).map(|from| (0..map.count()).map(|to| way(from, to)).collect()).collect();
        let mut asked = self.desk.asked.clone();
        // Whoever begins to ask where nobody did finds a row: that of one call a second.
        for asked in &mut asked {
            if asked.iter().all(|asked| *asked == 0) {
                *asked = vec![1_000];
            }
        }
        let new = |zone: usize| now.saturating_sub(self.desk.seen[zone].1) < self.pace.back_for;
        let back = |zone: usize| judge.just_back(now, zone, self.pace) || new(zone);
        let back = (0..map.count()).map(back).collect();
        let emptied = (0..map.count()).map(|zone| self.room.state().emptied(map.name(zone))).collect();
        Step { scene: Scene { map, asked, room, ways }, whole, back, emptied }
    }
}
