//! Which turn is settled next.

use super::state::Desk;
use crate::plan::{Obstacle, Scene};
use crate::stage::Stage;
use flaxhead_lease::{MemberStatus, Name, Presence};
use std::collections::BTreeSet;

impl Desk<'_, '_> {
    pub(super) fn settle_next(&mut self) -> bool {
        let words = || self.room.processes().filter_map(|(_, heard)| heard.report());
        let load = words().map(|word| u64::from(word.load)).sum();
        let lost: BTreeSet<String> = words().flat_map(|word| word.lost.iter().cloned()).collect();
        let standstill = self.standstill();
        let (board, facts, limits) = (self.board(), &self.room.facts.application, &self.rules.limits);
        let (next, kept) = Scene { board, facts, limits, load, lost: &lost, standstill }.next();
        for (id, obstacle) in kept {
            self.waits(id, obstacle.to_string());
        }
        let Some(id) = next else { return false };
        self.note(id, "settled", "it is its turn".to_owned());
        self.move_to(id, Stage::Settled);
        true
    }

    /// What keeps every turn waiting.
    fn standstill(&self) -> Option<Obstacle> {
        if self.room.state_lost_since().is_some() {
            return Some(Obstacle::Forgotten);
        }
        // Its own word is not enough to know the fleet: it must have heard all, or know what became of them.
        let doubted = self.room.facts.members.iter().find(|(_, f)| f.presence == Presence::Suspected);
        if let Some((name, _)) = doubted {
            return Some(Obstacle::Unsettled(format!("{name} is doubted")));
        }
        let enrolled = |name: &Name, life: u64| {
            self.room.processes().any(|(process, _)| process.name == *name && process.incarnation == life)
        };
        let outside = |(name, fact): &(&Name, &MemberStatus)| {
            fact.presence == Presence::Alive && !enrolled(name, fact.incarnation)
        };
        if let Some((name, _)) = self.room.facts.members.iter().find(outside) {
            return Some(Obstacle::Unsettled(format!("{name} runs and is not let in yet")));
        }
        let unheard = self.room.processes().find(|(_, heard)| !self.room.heard_recently(heard));
        unheard.map(|(p, _)| Obstacle::Unsettled(format!("{} is not heard and may still send", p.name)))
    }
}
