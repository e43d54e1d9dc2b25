//! What a proxy knows of the hosts, for features that settle something by it: from lists, and from attempts.

use crate::http::{Engine, Http};
use flaxhead_engine::{Endpoint, EndpointList, EngineEvent, EngineView, Health, Observer};
use flaxhead_policy::{Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long what an attempt showed of a host tells of it.
const SHOWN: Duration = Duration::from_secs(10);
/// Weight of a new attempt in a host's share of failures, and the share that counts as failing.
const WEIGHT: f64 = 0.2;
const FAILING: f64 = 0.5;
/// Hosts of a zone that must have failed, and none served, for the zone to count as lost.
const LOST_LEAST: usize = 2;
/// How long a zone whose last host has left the list counts as lost: one that was given up for good is forgotten.
const ZONE_MEMORY: Duration = Duration::from_secs(600);

/// A host, as it is known.
pub struct HostCondition<'a> {
    /// What the list says.
    pub endpoint: &'a Endpoint,
    /// Half of the calls to it fail, lately.
    pub failing: bool,
    /// How warm it is, in thousandths.
    pub warmth: u32,
    /// Its size beside the others', in thousandths.
    pub size: u32,
}

/// What attempts lately showed of a host.
#[derive(Clone, Copy, Debug)]
struct Seen {
    failing: f64,
    served: bool,
    at: Instant,
}

/// What is known of the hosts: from lists, and from attempts.
#[derive(Debug, Default)]
struct Observations {
    /// Zones that had a host that was ready, and when last.
    zones: BTreeMap<String, Instant>,
    hosts: BTreeMap<String, (ServerId, Endpoint)>,
    seen: HashMap<ServerId, Seen>,
    /// Attempts that ended, and those that were turned away as full.
    attempts: (u32, u32),
}

impl Observations {
    fn listed(&mut self, list: &EndpointList, servers: &[ServerId]) {
        if list.whole {
            self.hosts.clear();
        }
        for (host, server) in list.hosts.iter().zip(servers) {
            match host.health {
                Health::Gone => drop(self.hosts.remove(&host.host)),
                _ => drop(self.hosts.insert(host.host.clone(), (*server, host.clone()))),
            }
        }
        let now = Instant::now();
        let ready = self.hosts.values().filter(|(_, host)| host.health == Health::Ready);
        self.zones.extend(ready.map(|(_, host)| (host.site.clone(), now)));
        self.zones.retain(|_, at| now.duration_since(*at) < ZONE_MEMORY);
    }

    fn ended(&mut self, server: ServerId, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Served => false,
            Outcome::CalledOff | Outcome::NotSent => return,
            _ => true,
        };
        self.attempts.0 = self.attempts.0.saturating_add(1);
        self.attempts.1 = self.attempts.1.saturating_add(u32::from(outcome == Outcome::TurnedAway));
        let now = Instant::now();
        let seen = self.seen.entry(server).or_insert(Seen { failing: 0.0, served: true, at: now });
        seen.failing += (f64::from(u8::from(failed)) - seen.failing) * WEIGHT;
        (seen.served, seen.at) = (!failed, now);
    }

    fn lately(&self, server: ServerId) -> Option<&Seen> {
        self.seen.get(&server).filter(|seen| seen.at.elapsed() < SHOWN)
    }

    /// Zones that had hosts and have none that is ready, and those all of whose hosts that were lately tried failed last.
    fn lost(&self) -> BTreeSet<String> {
        let ready = |zone: &str| {
            self.hosts.values().any(|(_, host)| host.health == Health::Ready && host.site == zone)
        };
        let empty = self.zones.keys().filter(|zone| !ready(zone)).cloned();
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (server, host) in self.hosts.values() {
            if let Some(seen) = self.lately(*server) {
                let (failed, served) = zones.entry(&host.site).or_default();
                *if seen.served { served } else { failed } += 1;
            }
        }
        let lost = |(_, (failed, served)): &(&str, (usize, usize))| *served == 0 && *failed >= LOST_LEAST;
        zones.into_iter().filter(lost).map(|(zone, _)| zone.to_owned()).chain(empty).collect()
    }
}

/// The board, as the engine notes on it.
#[derive(Clone, Debug, Default)]
pub struct HostMonitor(Rc<RefCell<Observations>>);

impl HostMonitor {
    /// Each host of the list, by name.
    pub fn facts<R>(
        &self,
        engine: &Engine,
        fact: impl Fn(HostCondition<'_>) -> R,
    ) -> impl Iterator<Item = R> {
        let board = self.0.borrow();
        let (now, rules) = engine.view(|view| (view.now(), view.settings().rules));
        let warmth = |born_ms: u64| {
            let age = now.saturating_sub(born_ms.saturating_mul(1_000));
            if born_ms == 0 || age >= rules.cold_time {
                return 1_000;
            }
            let grown = age as f64 / rules.cold_time as f64;
            (1_000.0 * (rules.cold_share + (1.0 - rules.cold_share) * grown)) as u32
        };
        let facts = board.hosts.values().map(|(server, host)| {
            let share = if host.share.is_finite() && host.share > 0.0 { host.share } else { 1.0 };
            fact(HostCondition {
                endpoint: host,
                failing: board.lately(*server).is_some_and(|seen| seen.failing > FAILING),
                warmth: warmth(host.born_ms),
                size: (share * 1_000.0).min(1e6) as u32,
            })
        });
        facts.collect::<Vec<R>>().into_iter()
    }

    /// Zones that this process reaches no host of.
    pub fn lost(&self) -> BTreeSet<String> {
        self.0.borrow().lost()
    }

    /// Attempts that ended since this was last asked, and those of them that a host turned away as full.
    pub fn attempts(&self) -> (u32, u32) {
        std::mem::take(&mut self.0.borrow_mut().attempts)
    }
}

impl Observer<Http> for HostMonitor {
    fn observe(&mut self, note: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        match note {
            EngineEvent::ListReceived { list, servers } => self.0.borrow_mut().listed(list, servers),
            EngineEvent::AttemptEnded { server, outcome } => self.0.borrow_mut().ended(*server, *outcome),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
