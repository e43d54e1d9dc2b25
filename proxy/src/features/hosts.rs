//! What a proxy observes of the hosts, for features that agree upon something by it: from endpoint lists and attempts.

use crate::http::{Engine, Http};
use flaxhead_engine::{Endpoint, EndpointList, EngineEvent, EngineView, Health, Observer};
use flaxhead_policy::{Micros, Outcome, SafetyLimits, ServerId};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long the outcome of an attempt says something of its host.
const OUTCOME_LIFETIME: Duration = Duration::from_secs(10);
/// Weight of a new attempt in a host's failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// The failure rate over which a host counts as failing.
const FAILING_RATE: f64 = 0.5;
/// Hosts of a zone that must have failed, and none served, for the zone to count as lost.
const MIN_FAILED_HOSTS: usize = 2;
/// How long a zone whose last host has left the list counts as lost: one that was given up for good is forgotten.
const ZONE_LIFETIME: Duration = Duration::from_secs(600);
/// Warmth and weight are reported in thousandths.
const SCALE: f64 = 1_000.0;
const FULLY_WARM: u32 = 1_000;
const MAX_WEIGHT: f64 = 1e6;
const MICROS_PER_MILLI: Micros = 1_000;

/// A listed host, as it is known.
pub struct HostCondition<'a> {
    /// What the list says of it.
    pub endpoint: &'a Endpoint,
    /// Whether half of the recent attempts at it failed.
    pub failing: bool,
    /// How far it has warmed up, in thousandths.
    pub warmth: u32,
    /// Its capacity relative to the other hosts', in thousandths.
    pub weight: u32,
}

/// Attempts that ended in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTotals {
    /// All attempts, without those that were cancelled or not sent.
    pub ended: u32,
    /// Those of them that a host rejected as full.
    pub rejected: u32,
}

/// What attempts showed of a host.
#[derive(Clone, Copy, Debug)]
struct AttemptHistory {
    failure_rate: f64,
    last_served: bool,
    last_at: Instant,
}

/// A listed host and its number.
#[derive(Clone, Debug)]
struct ListedHost {
    server: ServerId,
    endpoint: Endpoint,
}

impl ListedHost {
    fn is_ready(&self) -> bool {
        self.endpoint.health == Health::Ready
    }
}

/// The recent attempts at the hosts of a zone, by their last outcome.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneOutcomes {
    failed_hosts: usize,
    serving_hosts: usize,
}

/// What was observed so far.
#[derive(Debug, Default)]
struct Observations {
    /// Zones that had a host that was ready, and when last.
    zones: BTreeMap<String, Instant>,
    hosts: BTreeMap<String, ListedHost>,
    histories: HashMap<ServerId, AttemptHistory>,
    /// Since they were last taken.
    totals: AttemptTotals,
}

impl Observations {
    fn record_list(&mut self, list: &EndpointList, servers: &[ServerId]) {
        if list.whole {
            self.hosts.clear();
        }
        for (endpoint, &server) in list.hosts.iter().zip(servers) {
            let name = endpoint.host.clone();
            match endpoint.health {
                Health::Gone => drop(self.hosts.remove(&name)),
                _ => drop(self.hosts.insert(name, ListedHost { server, endpoint: endpoint.clone() })),
            }
        }
        let now = Instant::now();
        let ready = self.hosts.values().filter(|host| host.is_ready());
        self.zones.extend(ready.map(|host| (host.endpoint.site.clone(), now)));
        self.zones.retain(|_, last_ready| now.duration_since(*last_ready) < ZONE_LIFETIME);
    }

    fn record_outcome(&mut self, server: ServerId, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Served => false,
            Outcome::Cancelled | Outcome::NotSent => return,
            _ => true,
        };
        let rejected = u32::from(outcome == Outcome::Rejected);
        self.totals.ended = self.totals.ended.saturating_add(1);
        self.totals.rejected = self.totals.rejected.saturating_add(rejected);
        let now = Instant::now();
        let new = AttemptHistory { failure_rate: 0.0, last_served: true, last_at: now };
        let history = self.histories.entry(server).or_insert(new);
        history.failure_rate += (f64::from(u8::from(failed)) - history.failure_rate) * FAILURE_WEIGHT;
        history.last_served = !failed;
        history.last_at = now;
    }

    fn recent_history(&self, server: ServerId) -> Option<&AttemptHistory> {
        self.histories.get(&server).filter(|history| history.last_at.elapsed() < OUTCOME_LIFETIME)
    }

    fn is_failing(&self, server: ServerId) -> bool {
        self.recent_history(server).is_some_and(|history| history.failure_rate > FAILING_RATE)
    }

    /// Zones that had hosts and have none that is ready, and those all of whose recently attempted hosts failed last.
    fn lost_zones(&self) -> BTreeSet<String> {
        let empty = self.zones.keys().filter(|zone| !self.has_ready_host(zone)).cloned();
        let failing = self.recent_outcomes().into_iter();
        let failing =
            failing.filter(|(_, zone)| zone.serving_hosts == 0 && zone.failed_hosts >= MIN_FAILED_HOSTS);
        failing.map(|(zone, _)| zone.to_owned()).chain(empty).collect()
    }

    fn has_ready_host(&self, zone: &str) -> bool {
        self.hosts.values().any(|host| host.is_ready() && host.endpoint.site == zone)
    }

    fn recent_outcomes(&self) -> BTreeMap<&str, ZoneOutcomes> {
        let mut zones: BTreeMap<&str, ZoneOutcomes> = BTreeMap::new();
        for host in self.hosts.values() {
            let Some(history) = self.recent_history(host.server) else { continue };
            let zone = zones.entry(&host.endpoint.site).or_default();
            match history.last_served {
                true => zone.serving_hosts += 1,
                false => zone.failed_hosts += 1,
            }
        }
        zones
    }
}

/// The observations, shared by the engine, which adds to them, and the features.
#[derive(Clone, Debug, Default)]
pub struct HostMonitor(Rc<RefCell<Observations>>);

impl HostMonitor {
    /// Makes something of the condition of each listed host, by name.
    pub fn conditions<R>(&self, engine: &Engine, make: impl Fn(HostCondition<'_>) -> R) -> Vec<R> {
        let observations = self.0.borrow();
        let (now, safety) = engine.view(|view| (view.now(), view.settings().safety));
        let made = observations.hosts.values().map(|ListedHost { server, endpoint }| {
            make(HostCondition {
                endpoint,
                failing: observations.is_failing(*server),
                warmth: warmth(now, endpoint, &safety),
                weight: weight(endpoint),
            })
        });
        made.collect()
    }

    /// Zones of which this process reaches no host.
    pub fn lost_zones(&self) -> BTreeSet<String> {
        self.0.borrow().lost_zones()
    }

    /// Attempts that ended since this was last called.
    pub fn take_attempt_totals(&self) -> AttemptTotals {
        std::mem::take(&mut self.0.borrow_mut().totals)
    }
}

/// How far a host has warmed up, in thousandths.
fn warmth(now: Micros, endpoint: &Endpoint, safety: &SafetyLimits) -> u32 {
    let age = now.saturating_sub(endpoint.born_ms.saturating_mul(MICROS_PER_MILLI));
    if endpoint.born_ms == 0 || age >= safety.slow_start_window {
        return FULLY_WARM;
    }
    let progress = age as f64 / safety.slow_start_window as f64;
    (SCALE * (safety.slow_start_ratio + (1.0 - safety.slow_start_ratio) * progress)) as u32
}

/// A host's capacity relative to the other hosts', in thousandths.
fn weight(endpoint: &Endpoint) -> u32 {
    let is_usable = endpoint.share.is_finite() && endpoint.share > 0.0;
    let weight = if is_usable { endpoint.share } else { 1.0 };
    (weight * SCALE).min(MAX_WEIGHT) as u32
}

impl Observer<Http> for HostMonitor {
    fn observe(&mut self, event: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        match event {
            EngineEvent::ListReceived { list, servers } => self.0.borrow_mut().record_list(list, servers),
            EngineEvent::AttemptEnded { server, outcome } => {
                self.0.borrow_mut().record_outcome(*server, *outcome);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
