//! What the holder keeps.

use crate::judge::{Judge, Steady};
use crate::map::Map;
use crate::pace::Pace;
use crate::plan::Plan;
use crate::steps::{Share, Shares};
use crate::word::{Doubt, Sight};
use crate::zones::Zones;
use flaxhead_lease::{LeaderContext, Micros, Process, Version};
use std::collections::BTreeMap;

/// What the holder keeps of the plan; gone with the lease. All that must outlive it is in the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Desk {
    pub(super) judge: Judge,
    /// By zone, how much of what it should do it does, in thousandths.
    pub(super) learned: Vec<u32>,
    /// By zone, when somebody spoke of it last, and since when somebody does without a break.
    pub(super) seen: Vec<(Micros, Micros)>,
    /// By zone, calls a second that are answered there.
    pub(super) done: Vec<u64>,
    /// Processes whose words are left out, and why.
    pub(super) doubts: BTreeMap<Process, Doubt>,
    /// By origin and class, in thousandths of a call a second.
    pub(super) asked: Vec<Vec<u64>>,
    pub(super) began: Micros,
    pub(super) look_at: Micros,
    pub(super) move_at: Micros,
    /// A pair got lost, and the plan does not know it yet.
    pub(super) urgent: bool,
}

/// The holder, with the rules of the plan.
pub(crate) struct Work<'a, 'b> {
    pub map: &'a Map,
    pub pace: &'a Pace,
    pub desk: &'a mut Desk,
    pub room: &'a mut LeaderContext<'b, Zones>,
}

impl Desk {
    /// Goes on where the last holder was, as far as the plan says it.
    pub(crate) fn begin(map: &Map, pace: &Pace, room: &mut LeaderContext<'_, Zones>) -> Desk {
        let now = room.now;
        let mut judge = Judge::new(now, map);
        let mut learned = vec![1_000; map.count()];
        if room.state().check(map).is_err() {
            // Nobody could go by it: only what it is not wrong about is of use, and that is not known.
            *room.state_mut() = Plan::default();
        }
        for pair in &room.state().pairs {
            let places = map.index(&pair.from).zip(map.index(&pair.to));
            let sight = [Sight::Well, Sight::Strained, Sight::Lost].get(usize::from(pair.sight)).copied();
            if let (Some((from, to)), Some(sight)) = (places, sight) {
                let since = now.saturating_sub(pair.age);
                judge.set(from, to, Steady::had(sight, since, pair.witnesses, pair.falls));
            }
        }
        for of in &room.state().rooms {
            if let Some(zone) = map.index(&of.zone) {
                learned[zone] = of.learned.clamp(1, 1_000);
            }
        }
        let number = Version { ballot: Some(room.ballot().clone()), seq: room.state_seq() };
        room.state_mut().number = number;
        Desk {
            judge,
            learned,
            seen: vec![(now, 0); map.count()],
            done: vec![0; map.count()],
            doubts: BTreeMap::new(),
            asked: vec![Vec::new(); map.count()],
            began: now,
            look_at: now,
            move_at: now + pace.step_every,
            urgent: false,
        }
    }

    /// How zones stand, by pairs.
    pub fn judge(&self) -> &Judge {
        &self.judge
    }

    /// Whose words are left out, and why.
    pub fn doubts(&self) -> &BTreeMap<Process, Doubt> {
        &self.doubts
    }

    /// By origin and class, what is asked for, in thousandths of a call a second.
    pub fn asked(&self) -> &[Vec<u64>] {
        &self.asked
    }

    pub(crate) fn forget(&mut self, process: &Process) {
        self.doubts.remove(process);
    }
}

/// The shares of a checked plan, by places.
pub(super) fn shares(plan: &Plan, map: &Map) -> Shares {
    let row = |from: usize| {
        let row = plan.row(map.name(from))?;
        let mut parts = vec![0; map.count()];
        for (to, part) in &row.shares {
            if let Some(to) = map.index(to) {
                parts[to] = *part;
            }
        }
        Some(Share { level: row.level, parts })
    };
    (0..map.count()).map(row).collect()
}
