//! Which drain is next, and what keeps the others waiting: the same for every leader that knows the same.

use super::blocked::BlockedReason;
use crate::config::Limits;
use crate::facts::{HostFacts, HostStatus};
use crate::schedule::{Drain, DrainSchedule};
use crate::stage::Stage;
use std::collections::BTreeSet;

const THOUSANDTHS: u64 = 1_000;

/// All that the selection depends on.
pub(crate) struct SchedulingContext<'a> {
    pub schedule: &'a DrainSchedule,
    pub facts: &'a HostFacts,
    pub limits: &'a Limits,
    /// Calls in flight at all proxies, in thousandths.
    pub load_millicalls: u64,
    /// Zones that members report as lost.
    pub lost_zones: &'a BTreeSet<String>,
    /// What blocks every drain.
    pub blocked_by: Option<BlockedReason>,
}

/// What was selected.
pub(crate) struct Selection {
    /// The drain that may be scheduled now.
    pub next: Option<u64>,
    /// All other requests.
    pub blocked: Vec<BlockedDrain>,
}

/// A request that is not scheduled now.
pub(crate) struct BlockedDrain {
    pub id: u64,
    pub reason: BlockedReason,
}

/// Which of several requests comes first: the lower one.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    /// A host of its pod is out of service already.
    pod_is_affected: bool,
    /// A host of its zone is out of service already.
    zone_is_affected: bool,
    id: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The host fails: it serves nothing, so its drain costs nothing.
    Failing,
    Normal,
    /// It is the last warm host of its pod: calls that are sticky to the pod have nowhere else to go.
    LastWarmOfPod,
}

impl SchedulingContext<'_> {
    /// Selects the drain that may be scheduled now, and tells what keeps each of the others waiting.
    pub(crate) fn select(&self) -> Selection {
        let drains = self.schedule.drains.iter();
        let mut requested: Vec<&Drain> = drains.filter(|drain| drain.stage == Stage::Requested).collect();
        requested.sort_by_cached_key(|drain| self.rank(drain));
        let mut selection = Selection { next: None, blocked: Vec::new() };
        for drain in requested {
            let id = drain.id;
            match (self.blocked_reason(drain), selection.next) {
                (Some(reason), _) => selection.blocked.push(BlockedDrain { id, reason }),
                (None, Some(next)) => {
                    selection.blocked.push(BlockedDrain { id, reason: BlockedReason::QueuedBehind(next) });
                }
                (None, None) => selection.next = Some(id),
            }
        }
        selection
    }

    fn host(&self, drain: &Drain) -> Option<&HostStatus> {
        self.facts.hosts.get(&drain.request.host)
    }

    /// Whether a host is out of service, or will be: by its drain, or because discovery does not list it as ready.
    fn is_out(&self, name: &str, fact: &HostStatus) -> bool {
        !fact.ready || self.schedule.drain_for_host(name).is_some_and(|drain| drain.stage >= Stage::Scheduled)
    }

    /// The drains that count as out of service, with what is known of their hosts.
    fn active(&self) -> impl Iterator<Item = Option<&HostStatus>> {
        let active = self.schedule.drains.iter().filter(|drain| drain.stage >= Stage::Scheduled);
        active.map(|drain| self.host(drain))
    }

    fn count_active(&self, counts: impl Fn(&HostStatus) -> bool) -> usize {
        self.active().flatten().filter(|fact| counts(fact)).count()
    }

    fn rank(&self, drain: &Drain) -> Rank {
        let id = drain.id;
        let Some(fact) = self.host(drain) else {
            return Rank { urgency: Urgency::Normal, pod_is_affected: true, zone_is_affected: true, id };
        };
        Rank {
            urgency: self.urgency(drain, fact),
            pod_is_affected: self.count_active(|other| other.pod == fact.pod) > 0,
            zone_is_affected: self.count_active(|other| other.zone == fact.zone) > 0,
            id,
        }
    }

    fn urgency(&self, drain: &Drain, fact: &HostStatus) -> Urgency {
        if fact.failing || !fact.ready {
            return Urgency::Failing;
        }
        let is_warm_other = |(name, other): (&String, &HostStatus)| {
            *name != drain.request.host
                && other.pod == fact.pod
                && other.is_warm()
                && !self.is_out(name, other)
        };
        if self.facts.hosts.iter().any(is_warm_other) {
            Urgency::Normal
        } else {
            Urgency::LastWarmOfPod
        }
    }

    /// Calls that can be in flight without this host, in thousandths: a cold host counts by its warmth.
    fn capacity_without(&self, drain: &Drain) -> u64 {
        let stays = |(name, fact): &(&String, &HostStatus)| {
            **name != drain.request.host && !fact.failing && !self.is_out(name, fact)
        };
        let capacity = |(_, fact): (&String, &HostStatus)| {
            u64::from(fact.weight) * u64::from(fact.warmth.min(HostStatus::WARM))
        };
        let sum: u64 = self.facts.hosts.iter().filter(stays).map(capacity).sum();
        let calls = u128::from(sum) * u128::from(self.limits.millicalls_per_host);
        u64::try_from(calls / u128::from(THOUSANDTHS * THOUSANDTHS)).unwrap_or(u64::MAX)
    }

    /// What keeps one drain waiting, were it the next.
    fn blocked_reason(&self, drain: &Drain) -> Option<BlockedReason> {
        if drain.request.not_before > 0 {
            return Some(BlockedReason::TooEarly);
        }
        if let Some(reason) = &self.blocked_by {
            return Some(reason.clone());
        }
        if let Some(zone) = self.facts.lost_zones.union(self.lost_zones).next() {
            return Some(BlockedReason::LostZone(zone.clone()));
        }
        let Limits { max_total, max_per_zone, max_per_pod, .. } = *self.limits;
        if self.active().count() >= max_total as usize {
            return Some(BlockedReason::MaxTotal(max_total));
        }
        let Some(fact) = self.host(drain) else { return Some(BlockedReason::NotListed) };
        if self.count_active(|other| other.zone == fact.zone) >= max_per_zone as usize {
            return Some(BlockedReason::MaxPerZone(fact.zone.clone()));
        }
        if self.count_active(|other| other.pod == fact.pod) >= max_per_pod as usize {
            return Some(BlockedReason::MaxPerPod(fact.pod));
        }
        self.insufficient_capacity(drain, fact)
    }

    fn insufficient_capacity(&self, drain: &Drain, fact: &HostStatus) -> Option<BlockedReason> {
        // A host that serves nothing takes no capacity away.
        let serves = fact.ready && !fact.failing;
        if self.limits.millicalls_per_host == 0 || !serves {
            return None;
        }
        let needed = self.load_millicalls
            + self.load_millicalls * u64::from(self.limits.load_margin_per_mille) / THOUSANDTHS;
        let remaining = self.capacity_without(drain);
        (remaining < needed).then_some(BlockedReason::InsufficientCapacity {
            remaining: remaining / THOUSANDTHS,
            needed: needed.div_ceil(THOUSANDTHS),
        })
    }
}
