//! Which turn is next, and what keeps the others waiting: the same for every holder that knows the same.

use super::obstacle::Obstacle;
use crate::board::{Board, Turn};
use crate::facts::{HostFact, HostFacts};
use crate::limits::Limits;
use crate::stage::Stage;
use std::collections::BTreeSet;

/// All that the order goes by.
pub(crate) struct Scene<'a> {
    pub board: &'a Board,
    pub facts: &'a HostFacts,
    pub limits: &'a Limits,
    /// Calls in hand at all proxies, in thousandths.
    pub load: u64,
    /// Zones that members report as lost.
    pub lost: &'a BTreeSet<String>,
    /// What keeps everything waiting.
    pub standstill: Option<Obstacle>,
}

impl Scene<'_> {
    fn host(&self, turn: &Turn) -> Option<&HostFact> {
        self.facts.hosts.get(&turn.ask.host)
    }

    /// Whether a host is away, or will be: by its turn, or because discovery does not have it ready.
    fn away(&self, name: &str, fact: &HostFact) -> bool {
        !fact.ready || self.board.of_host(name).is_some_and(|turn| turn.stage >= Stage::Settled)
    }

    fn taken<'a>(&'a self) -> impl Iterator<Item = (&'a Turn, Option<&'a HostFact>)> + 'a {
        let open = self.board.turns.iter().filter(|turn| turn.stage >= Stage::Settled);
        open.map(|turn| (turn, self.host(turn)))
    }

    fn taken_like(&self, like: impl Fn(&HostFact) -> bool) -> u32 {
        self.taken().filter(|(_, fact)| fact.is_some_and(&like)).count() as u32
    }

    /// Lower is earlier. A host that fails serves nothing: it goes first. The last warm one of a pod goes last, since
    /// calls that keep to their pod have nowhere else to go. Between them, pods and zones with none out come first,
    /// then the oldest.
    fn rank(&self, turn: &Turn) -> (u8, bool, bool, u64) {
        let Some(fact) = self.host(turn) else { return (1, true, true, turn.id) };
        let warm =
            |(name, f): (&String, &HostFact)| f.pod == fact.pod && f.warmth >= 1_000 && !self.away(name, f);
        let others = |(name, f): &(&String, &HostFact)| **name != turn.ask.host && warm((*name, *f));
        let class = match (fact.failing || !fact.ready, self.facts.hosts.iter().any(|each| others(&each))) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        let pod = self.taken_like(|f| f.pod == fact.pod) > 0;
        let zone = self.taken_like(|f| f.zone == fact.zone) > 0;
        (class, pod, zone, turn.id)
    }

    /// Calls that could be in hand without this host, in thousandths: cold hosts count by their warmth.
    fn left_without(&self, turn: &Turn) -> u64 {
        let stays =
            |(name, f): &(&String, &HostFact)| **name != turn.ask.host && !f.failing && !self.away(name, f);
        let bears = |(_, f): (&String, &HostFact)| u64::from(f.weight) * u64::from(f.warmth.min(1_000));
        let sum: u64 = self.facts.hosts.iter().filter(stays).map(bears).sum();
        (u128::from(sum) * u128::from(self.limits.host_calls) / 1_000_000) as u64
    }

    /// What keeps one turn waiting, were it the next.
    fn obstacle(&self, turn: &Turn) -> Option<Obstacle> {
        if turn.ask.not_before > 0 {
            return Some(Obstacle::Early);
        }
        if let Some(all) = &self.standstill {
            return Some(all.clone());
        }
        if let Some(zone) = self.facts.lost_zones.union(self.lost).next() {
            return Some(Obstacle::LostZone(zone.clone()));
        }
        let Limits { all, zone, pod, host_calls, margin, .. } = *self.limits;
        if self.taken().count() as u32 >= all {
            return Some(Obstacle::All(all));
        }
        let Some(fact) = self.host(turn) else { return Some(Obstacle::Unlisted) };
        if self.taken_like(|f| f.zone == fact.zone) >= zone {
            return Some(Obstacle::Zone(fact.zone.clone()));
        }
        if self.taken_like(|f| f.pod == fact.pod) >= pod {
            return Some(Obstacle::Pod(fact.pod));
        }
        let wanted = self.load + self.load * u64::from(margin) / 1_000;
        let left = self.left_without(turn);
        // A host that serves nothing takes nothing away.
        let serves = fact.ready && !fact.failing;
        (host_calls > 0 && serves && left < wanted)
            .then_some(Obstacle::Load { left: left / 1_000, wanted: wanted.div_ceil(1_000) })
    }

    /// The turn that may be settled now, if there is one, and what keeps each of the others.
    pub(crate) fn next(&self) -> (Option<u64>, Vec<(u64, Obstacle)>) {
        let mut asked: Vec<&Turn> =
            self.board.turns.iter().filter(|turn| turn.stage == Stage::Asked).collect();
        asked.sort_by_key(|turn| self.rank(turn));
        let mut next = None;
        let mut kept = Vec::new();
        for turn in asked {
            match (self.obstacle(turn), next) {
                (Some(obstacle), _) => kept.push((turn.id, obstacle)),
                (None, Some(id)) => kept.push((turn.id, Obstacle::Behind(id))),
                (None, None) => next = Some(turn.id),
            }
        }
        (next, kept)
    }
}
