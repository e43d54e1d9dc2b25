//! Selection of the next drain. The result depends only on the context, so two leaders that know the same
//! select the same drain.

use super::blocked::BlockedReason;
use crate::config::Limits;
use crate::facts::{HostFacts, HostStatus};
use crate::schedule::{Drain, DrainSchedule};
use crate::stage::Stage;
use std::collections::BTreeSet;

const PER_MILLE: u64 = 1_000;

/// Schedule, limits and knowledge of the leader from which it selects the next drain.
pub(crate) struct SchedulingContext<'a> {
    pub schedule: &'a DrainSchedule,
    pub facts: &'a HostFacts,
    pub limits: &'a Limits,
    /// Load: sum of the mean calls in flight of all processes, in thousandths of a call.
    pub load_millicalls: u64,
    /// Zones in which some process reaches no host, according to its report.
    pub lost_zones: &'a BTreeSet<String>,
    /// Reason that blocks all requested drains, such as a lost schedule; `None`: there is none.
    pub blocked_by: Option<BlockedReason>,
}

/// Drain to schedule next, and the requested drains that must wait.
pub(crate) struct Selection {
    /// Identifier of the drain that may be scheduled now; `None`: there is none.
    pub next: Option<u64>,
    /// Requested drains that must wait, each with the reason that blocks it.
    pub blocked: Vec<BlockedDrain>,
}

/// Requested drain that must wait, and the reason that blocks it.
pub(crate) struct BlockedDrain {
    pub id: u64,
    pub reason: BlockedReason,
}

/// Precedence among requested drains: the drain of the lowest rank is selected first. Ranks are compared
/// field by field, from the first to the last.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    urgency: Urgency,
    /// Some host of the same pod counts as out of service, so hosts of unaffected pods go first.
    pod_is_affected: bool,
    /// Some host of the same zone counts as out of service, so hosts of unaffected zones go first.
    zone_is_affected: bool,
    id: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Calls to the host fail or discovery lists it as not ready, so the drain takes no capacity away and
    /// goes first.
    Failing,
    Normal,
    /// The host is the last one in its pod that is in service and has warmed up, and calls that are sticky to
    /// the pod need it, so its drain goes last.
    LastWarmOfPod,
}

impl SchedulingContext<'_> {
    /// Selects the requested drain to schedule now, and states the reason that blocks each of the remaining
    /// requested drains.
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

    /// Returns whether a host is not in service or will soon not be: discovery lists it as not ready, or its
    /// drain is scheduled or at a later stage.
    fn is_out(&self, name: &str, fact: &HostStatus) -> bool {
        !fact.ready || self.schedule.drain_for_host(name).is_some_and(|drain| drain.stage >= Stage::Scheduled)
    }

    /// Returns the host of each drain that is scheduled or at a later stage; `None`: discovery does not list
    /// that host.
    fn drained_hosts(&self) -> impl Iterator<Item = Option<&HostStatus>> {
        let active = self.schedule.drains.iter().filter(|drain| drain.stage >= Stage::Scheduled);
        active.map(|drain| self.host(drain))
    }

    fn count_drained(&self, matches: impl Fn(&HostStatus) -> bool) -> usize {
        self.drained_hosts().flatten().filter(|fact| matches(fact)).count()
    }

    fn rank(&self, drain: &Drain) -> Rank {
        let id = drain.id;
        let Some(fact) = self.host(drain) else {
            return Rank { urgency: Urgency::Normal, pod_is_affected: true, zone_is_affected: true, id };
        };
        Rank {
            urgency: self.urgency(drain, fact),
            pod_is_affected: self.count_drained(|other| other.pod == fact.pod) > 0,
            zone_is_affected: self.count_drained(|other| other.zone == fact.zone) > 0,
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

    /// Returns the number of concurrent calls that the hosts in service could serve without the host of this
    /// drain, in thousandths of a call. A host that is warming up counts by the share of its full capacity
    /// that it has reached.
    fn capacity_without(&self, drain: &Drain) -> u64 {
        let remains = |(name, fact): &(&String, &HostStatus)| {
            **name != drain.request.host && !fact.failing && !self.is_out(name, fact)
        };
        let capacity = |(_, fact): (&String, &HostStatus)| {
            u64::from(fact.weight) * u64::from(fact.warmth.min(HostStatus::WARM_PER_MILLE))
        };
        let sum: u64 = self.facts.hosts.iter().filter(remains).map(capacity).sum();
        let calls = u128::from(sum) * u128::from(self.limits.millicalls_per_host);
        u64::try_from(calls / u128::from(PER_MILLE * PER_MILLE)).unwrap_or(u64::MAX)
    }

    /// Returns the reason that keeps a requested drain from being scheduled, not counting drains that are
    /// selected before it; `None`: there is none.
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
        if self.drained_hosts().count() >= max_total as usize {
            return Some(BlockedReason::MaxTotal(max_total));
        }
        let Some(fact) = self.host(drain) else { return Some(BlockedReason::NotListed) };
        if self.count_drained(|other| other.zone == fact.zone) >= max_per_zone as usize {
            return Some(BlockedReason::MaxPerZone(fact.zone.clone()));
        }
        if self.count_drained(|other| other.pod == fact.pod) >= max_per_pod as usize {
            return Some(BlockedReason::MaxPerPod(fact.pod));
        }
        self.insufficient_capacity(drain, fact)
    }

    fn insufficient_capacity(&self, drain: &Drain, fact: &HostStatus) -> Option<BlockedReason> {
        // A host that serves no calls adds no capacity, so its drain needs no check of what remains.
        let serves = fact.ready && !fact.failing;
        if self.limits.millicalls_per_host == 0 || !serves {
            return None;
        }
        let needed = self.load_millicalls
            + self.load_millicalls * u64::from(self.limits.load_margin_per_mille) / PER_MILLE;
        let remaining = self.capacity_without(drain);
        (remaining < needed).then_some(BlockedReason::InsufficientCapacity {
            remaining: remaining / PER_MILLE,
            needed: needed.div_ceil(PER_MILLE),
        })
    }
}
