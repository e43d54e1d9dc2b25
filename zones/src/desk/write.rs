//! When the plan moves, and how it is written.

use super::state::{shares, Work};
use crate::plan::{Pair, Room, Row};
use crate::steps::{moved, Shares};
use crate::word::Sight;
use flaxhead_lease::{Micros, Version};

/// How often words are read at the most.
const LOOK: Micros = 50_000;

impl Work<'_, '_> {
    /// Does what can be done.
    pub(crate) fn step(&mut self) {
        let now = self.room.now;
        if now < self.desk.look_at {
            return;
        }
        self.desk.look_at = now + LOOK;
        // Before it has a list itself it can say nothing of what zones can do.
        if self.room.facts.application.is_empty() {
            return;
        }
        let forgotten = self.room.state().held.as_ref().filter(|held| held.age > self.pace.hold_most);
        if let Some(by) = forgotten.map(|held| held.by.clone()) {
            self.note("released", "", format!("{by} held it for too long"));
            self.room.state_mut().held = None;
            self.desk.move_at = now;
            self.tell();
        }
        self.look();
        if !self.knows() || !(self.desk.urgent || now >= self.desk.move_at) {
            return;
        }
        if now >= self.desk.move_at {
            self.learn();
        }
        self.desk.move_at = now + self.pace.step_every;
        let urgent = std::mem::take(&mut self.desk.urgent);
        if self.room.state().held.is_some() && !urgent {
            return;
        }
        let step = self.scene();
        let had = shares(self.room.state(), self.map);
        let none = self.room.state().rows.is_empty();
        let next = step.next((!none).then_some(&had), self.pace);
        if none || urgent || moved(&step, &had, &next, self.pace) {
            let rooms = step.scene.room.clone();
            self.write(&next, &rooms);
        }
    }

    fn write(&mut self, next: &Shares, rooms: &[u64]) {
        let (map, now) = (self.map, self.room.now);
        let named = |zone: usize| map.name(zone).to_owned();
        let row = |(from, share): (usize, &Option<crate::steps::Share>)| {
            let share = share.as_ref()?;
            let parts = share.parts.iter().enumerate().filter(|(_, part)| **part > 0);
            let shares = parts.map(|(to, part)| (named(to), *part)).collect();
            Some(Row { from: named(from), level: share.level, shares })
        };
        let rows = next.iter().enumerate().filter_map(row).collect();
        let room = |(zone, calls): (usize, &u64)| Room {
            zone: named(zone),
            calls: (*calls / 1_000).min(u64::from(u32::MAX)) as u32,
            learned: self.desk.learned[zone],
        };
        let rooms = rooms.iter().enumerate().map(room).collect();
        let mut pairs = Vec::new();
        for from in 0..map.count() {
            for to in 0..map.count() {
                let pair = self.desk.judge.pair(from, to);
                if pair.sight != Sight::Well || pair.falls > 0 {
                    let (sight, witnesses, falls) = (pair.sight as u8, pair.witnesses, pair.falls);
                    let age = now.saturating_sub(pair.since);
                    pairs.push(Pair { from: named(from), to: named(to), sight, witnesses, falls, age });
                }
            }
        }
        let plan = self.room.state_mut();
        (plan.rows, plan.rooms, plan.pairs) = (rows, rooms, pairs);
        self.tell();
        let crossing = |(from, share): (usize, &Option<crate::steps::Share>)| {
            share.as_ref().map(|share| format!("{} keeps {}", map.name(from), share.parts[from] / 100))
        };
        let shares: Vec<String> = next.iter().enumerate().filter_map(crossing).collect();
        let number = self.room.state().number.to_string();
        self.note("plan", "", format!("{number}: {} of 100", shares.join(", ")));
    }

    /// The plan is another: it gets the next number, and all are told.
    pub(super) fn tell(&mut self) {
        self.room.publish();
        let number = Version { ballot: Some(self.room.ballot().clone()), seq: self.room.state_seq() };
        self.room.state_mut().number = number;
    }
}
