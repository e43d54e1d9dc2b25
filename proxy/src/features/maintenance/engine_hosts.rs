//! The engine's hosts, as maintenance sees them and excludes them.

use super::super::audit::{Actor, Trail};
use super::super::hosts::{HostCondition, HostMonitor};
use crate::http::Engine;
use flaxhead_engine::Health;
use flaxhead_maintenance::{DrainEvent, HostFacts, HostStatus, HostUsage};
use flaxhead_maintenance_driver::{Hosts, TimedExclusion};
use std::cell::Cell;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Time constant, in seconds, of the mean number of attempts in flight.
const LOAD_TIME_CONSTANT: f64 = 10.0;
/// The load is reported in thousandths of an attempt.
const LOAD_SCALE: f64 = 1_000.0;

/// A mean that decays with time.
#[derive(Clone, Copy, Debug)]
struct MeanLoad {
    value: f64,
    at: Instant,
}

/// The hosts of an engine.
pub struct EngineHosts {
    engine: Engine,
    monitor: HostMonitor,
    trail: Option<Trail>,
    load: Cell<MeanLoad>,
}

impl EngineHosts {
    /// The hosts of an engine that this monitor observes; events of drains go to the trail, if there is one.
    pub fn new(engine: Engine, monitor: HostMonitor, trail: Option<Trail>) -> EngineHosts {
        let load = Cell::new(MeanLoad { value: 0.0, at: Instant::now() });
        EngineHosts { engine, monitor, trail, load }
    }

    /// The mean number of attempts in flight, with this many now.
    fn update_load(&self, in_flight: u32) -> f64 {
        let MeanLoad { value, at } = self.load.get();
        let weight = (-at.elapsed().as_secs_f64() / LOAD_TIME_CONSTANT).exp();
        let value = value * weight + f64::from(in_flight) * (1.0 - weight);
        self.load.set(MeanLoad { value, at: Instant::now() });
        value
    }
}

impl Hosts for EngineHosts {
    fn facts(&self) -> HostFacts {
        let fact = |HostCondition { endpoint, failing, warmth, weight }: HostCondition<'_>| {
            let fact = HostStatus {
                zone: endpoint.site.clone(),
                pod: endpoint.block,
                ready: endpoint.health == Health::Ready,
                failing,
                warmth,
                weight,
            };
            (endpoint.host.clone(), fact)
        };
        let hosts = self.monitor.conditions(&self.engine, fact).into_iter().collect();
        HostFacts { hosts, lost_zones: self.monitor.lost_zones() }
    }

    fn usage(&self) -> HostUsage {
        let in_flight = self.engine.view(|view| {
            let by_host = view.attempts_by_host().into_iter();
            by_host.map(|(name, attempts)| (name.to_owned(), attempts)).collect::<BTreeMap<_, _>>()
        });
        let load = self.update_load(in_flight.values().sum());
        HostUsage { in_flight, load_millicalls: (load * LOAD_SCALE) as u32 }
    }

    fn exclude(&self, hosts: Vec<TimedExclusion>) {
        self.engine.set_excluded_hosts(hosts.into_iter().map(|excluded| (excluded.host, excluded.from)));
    }

    fn event(&self, event: &DrainEvent) {
        if let Some(trail) = &self.trail {
            let DrainEvent { drain, host, change, reason } = event;
            trail.note("work", Actor::Operator, &format!("turn {drain} {host} {change}: {reason}"));
        }
    }
}
