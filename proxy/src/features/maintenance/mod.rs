//! Hosts taken out for work, in an order that the proxies settle among themselves. Off where proxies may not talk to
//! each other.

use super::audit::{Actor, Trail};
use super::hosts::{HostCondition, HostMonitor};
use super::peers::voters;
use super::sections::{Problem, Section};
use crate::http::Engine;
use flaxhead_engine::{EndpointList, Health, ListHandler, ListSource, WatchFuture};
use flaxhead_lease::{Config, Micros};
use flaxhead_maintenance::{DrainEvent, HostFact, HostFacts, HostUsage, Limits, SchedulerConfig};
use flaxhead_maintenance_driver::{ExcludedUntilNotice, Hosts, Settings};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// How long the list that was known before the start may do until discovery is asked.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_millis(400);
/// Memory of the calls in hand.
const LOAD_DECAY_SECONDS: f64 = 10.0;

/// What `[work]` says; the longest request comes from the configuration.
pub fn read(section: &mut Section) -> Result<Settings, Problem> {
    let voters = voters(section)?;
    let (mut config, mut rules) = (Config::default(), SchedulerConfig::default());
    let mut span = |key: &str, (least, most): (u64, u64), unit: Micros, to: &mut Micros| {
        let good = |value: &u64| match (least..=most).contains(value) {
            true => Ok(()),
            false => Err(format!("{least} to {most}")),
        };
        let value = section.take_if(key, good)?;
        *to = value.map_or(*to, |value| value * unit);
        Ok::<_, Problem>(())
    };
    let second = 1_000_000;
    span("lease_ms", (500, 60_000), 1_000, &mut config.lease)?;
    span("drain_s", (1, 86_400), second, &mut rules.max_drain_time)?;
    span("forgotten_s", (1, 86_400), second, &mut config.state_loss_timeout)?;
    span("alone_s", (1, 3_600), second, &mut config.autonomy_timeout)?;
    span("known_s", (0, 3_600), second, &mut config.operator_wait)?;
    span("back_s", (1, 3_600), second, &mut rules.max_recovery_time)?;
    let Limits {
        mut max_total,
        mut max_per_zone,
        mut max_per_pod,
        mut calls_per_host,
        mut load_margin,
        mut max_duration,
    } = rules.limits;
    span("longest_s", (1, 7 * 86_400), second, &mut max_duration)?;
    let mut count = |key: &str, (least, most): (u32, u32), to: &mut u32| {
        let good = |value: &u32| match (least..=most).contains(value) {
            true => Ok(()),
            false => Err(format!("{least} to {most}")),
        };
        *to = section.take_if(key, good)?.unwrap_or(*to);
        Ok::<_, Problem>(())
    };
    // None at all would forbid every turn: whoever wants that leaves the section out.
    count("hosts", (1, 1_000), &mut max_total)?;
    count("hosts_zone", (1, 1_000), &mut max_per_zone)?;
    count("hosts_pod", (1, 1_000), &mut max_per_pod)?;
    count("host_calls", (0, 100_000), &mut calls_per_host)?;
    count("margin_percent", (0, 1_000), &mut load_margin)?;
    calls_per_host *= 1_000;
    if load_margin != rules.limits.load_margin {
        load_margin *= 10;
    }
    rules.limits = Limits { max_total, max_per_zone, max_per_pod, calls_per_host, load_margin, max_duration };
    Ok(Settings { voters, config, scheduler: rules })
}

/// The hosts, as the turns go by them.
pub struct EngineHosts {
    engine: Engine,
    known: HostMonitor,
    trail: Option<Trail>,
    load: Cell<(f64, Instant)>,
}

impl EngineHosts {
    /// Of an engine that is watched.
    pub fn new(engine: Engine, known: HostMonitor, trail: Option<Trail>) -> EngineHosts {
        EngineHosts { engine, known, trail, load: Cell::new((0.0, Instant::now())) }
    }
}

impl Hosts for EngineHosts {
    fn facts(&self) -> HostFacts {
        let fact = |HostCondition { endpoint, failing, warmth, size }: HostCondition<'_>| {
            let (zone, pod, ready) =
                (endpoint.site.clone(), endpoint.block, endpoint.health == Health::Ready);
            (endpoint.host.clone(), HostFact { zone, pod, ready, failing, warmth, weight: size })
        };
        HostFacts { hosts: self.known.facts(&self.engine, fact).collect(), lost_zones: self.known.lost() }
    }

    fn usage(&self) -> HostUsage {
        let (in_hand, open) = self.engine.view(|view| {
            let out = view.attempts_by_host();
            let open: u32 = out.values().sum();
            (out.into_iter().map(|(name, calls)| (name.to_owned(), calls)).collect(), open)
        });
        let (mean, at) = self.load.get();
        let kept = (-at.elapsed().as_secs_f64() / LOAD_DECAY_SECONDS).exp();
        let mean = mean * kept + f64::from(open) * (1.0 - kept);
        self.load.set((mean, Instant::now()));
        HostUsage { in_flight: in_hand, load: (mean * 1_000.0) as u32 }
    }

    fn exclude(&self, hosts: Vec<ExcludedUntilNotice>) {
        self.engine.exclude(hosts.into_iter().map(|excluded| (excluded.host, excluded.from)));
    }

    fn event(&self, step: &DrainEvent) {
        if let Some(trail) = &self.trail {
            let DrainEvent { drain, host, change, reason } = step;
            trail.note("work", Actor::Operator, &format!("turn {drain} {host} {change}: {reason}"));
        }
    }
}

/// Discovery that is not asked before the process may send to hosts; then the list that it had comes first.
pub struct GatedSource<S> {
    source: Rc<S>,
    open: watch::Receiver<bool>,
    known: Cell<Option<EndpointList>>,
    first_poll_delay: Duration,
}

impl<S> GatedSource<S> {
    /// Opens with the watched value. Where a list was known, discovery is asked a part of `ASKED_WITHIN` later that
    /// the seed gives: the gates of all may open at once.
    pub fn new(
        source: S,
        open: watch::Receiver<bool>,
        known: Option<EndpointList>,
        seed: u64,
    ) -> GatedSource<S> {
        // Seeds of proxies that were started together may differ in few bits.
        let mut drawn = DefaultHasher::new();
        seed.hash(&mut drawn);
        let asks_after = MAX_FIRST_POLL_DELAY.mul_f64((drawn.finish() >> 32) as f64 / f64::from(u32::MAX));
        GatedSource { source: Rc::new(source), open, known: Cell::new(known), first_poll_delay: asks_after }
    }
}

impl<S: ListSource + 'static> ListSource for GatedSource<S> {
    fn watch(&self, since: Option<u64>, mut news: ListHandler) -> WatchFuture {
        let asks_after = self.first_poll_delay;
        let (source, mut open, known) = (self.source.clone(), self.open.clone(), self.known.take());
        Box::pin(async move {
            if let Err(error) = open.wait_for(|open| *open).await {
                return error.into();
            }
            let since = known.as_ref().map(|known| known.seq).or(since);
            if let Some(known) = known {
                news(known);
                sleep(asks_after).await;
            }
            source.watch(since, news).await
        })
    }
}

#[cfg(test)]
mod tests;
