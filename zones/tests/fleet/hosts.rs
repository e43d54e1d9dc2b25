//! The hosts of the zones, and the calls of the processes to them.

use super::{Fleet, FleetConfig, SECOND, TICK};
use flaxhead_lease::Application;
use flaxhead_zones::{FailoverSettings, Host, LocalHealth, Micros, Routing, Topology};
use rand_core::RngCore;

/// Latency of a call to a host without a queue.
const BASE_LATENCY_MS: f64 = 40.0;
/// Timeout of a call.
const CALL_TIMEOUT_US: Micros = 250_000;
/// Maximum queue of a zone, relative to the calls that it completes in a second.
const MAX_QUEUE_S: f64 = 0.5;
/// Time in which a cold host with calls warms up.
const WARM_UP_S: f64 = 10.0;
/// Ratio of each priority class to the demand.
const CLASS_RATIOS: [f64; 3] = [0.5, 0.3, 0.2];
/// Duration of a tick.
const TICK_S: f64 = TICK as f64 / SECOND as f64;

#[derive(Clone, Debug)]
struct ZoneHosts {
    host_count: usize,
    drained_count: usize,
    is_unreachable: bool,
    warmth: f64,
    /// Factor on the latency, and divisor of the capacity.
    slowdown: f64,
    queue: f64,
}

#[derive(Clone, Debug)]
pub struct SimulatedHosts {
    zones: Vec<ZoneHosts>,
    /// Pairs of zones: calls from the first do not reach the second.
    pub cut_links: Vec<(usize, usize)>,
    /// Whether the list from discovery is empty.
    pub is_list_empty: bool,
    /// Pairs of a process and a zone that it cannot reach.
    pub unreachable_zones: Vec<(usize, usize)>,
    host_calls_per_second: f64,
    /// Demand by zone, in calls per second.
    pub demand: Vec<f64>,
}

impl SimulatedHosts {
    pub fn new(config: &FleetConfig, topology: &Topology, settings: &FailoverSettings) -> SimulatedHosts {
        let zone_count = topology.count();
        let host_count =
            |zone: usize| config.host_count / zone_count + usize::from(zone < config.host_count % zone_count);
        let zones = (0..zone_count).map(|zone| ZoneHosts {
            host_count: host_count(zone),
            drained_count: 0,
            is_unreachable: false,
            warmth: 1.0,
            slowdown: 1.0,
            queue: 0.0,
        });
        let host_calls_per_second = f64::from(settings.host_calls_per_second);
        let load = f64::from(config.load_per_mille) / 1_000.0
            * (1.0 - f64::from(settings.margin_per_mille) / 1_000.0);
        let demand =
            (0..zone_count).map(|zone| host_count(zone) as f64 * host_calls_per_second * load).collect();
        SimulatedHosts {
            zones: zones.collect(),
            cut_links: Vec::new(),
            is_list_empty: false,
            unreachable_zones: Vec::new(),
            host_calls_per_second,
            demand,
        }
    }

    pub fn fail(&mut self, zone: usize) {
        self.zones[zone].is_unreachable = true;
    }

    pub fn recover(&mut self, zone: usize, warmth: f64) {
        (self.zones[zone].is_unreachable, self.zones[zone].warmth, self.zones[zone].queue) =
            (false, warmth, 0.0);
    }

    pub fn drain(&mut self, zone: usize, host_count: usize) {
        self.zones[zone].drained_count = host_count;
    }

    pub fn set_slowdown(&mut self, zone: usize, slowdown: f64) {
        self.zones[zone].slowdown = slowdown;
    }

    fn is_reachable(&self, process: usize, origin: usize, target: usize) -> bool {
        !self.cut_links.contains(&(origin, target)) && !self.unreachable_zones.contains(&(process, target))
    }

    /// Capacity of a zone in calls per second.
    pub fn capacity(&self, zone: usize) -> f64 {
        let hosts = &self.zones[zone];
        if hosts.is_unreachable {
            0.0
        } else {
            (hosts.host_count - hosts.drained_count) as f64 * self.host_calls_per_second * hosts.warmth
                / hosts.slowdown
        }
    }

    /// The list from discovery. Unreachable hosts stay on it as ready.
    pub fn list(&self) -> Vec<Host> {
        let zone_hosts = |(zone, hosts): (usize, &ZoneHosts)| {
            let warmth_per_mille = (hosts.warmth * 1_000.0) as u32;
            let host = move |index: usize| Host {
                zone,
                ready: index >= hosts.drained_count,
                warmth_per_mille,
                size_per_mille: 1_000,
            };
            (0..hosts.host_count).map(host).collect::<Vec<Host>>()
        };
        self.zones.iter().enumerate().filter(|_| !self.is_list_empty).flat_map(zone_hosts).collect()
    }

    /// Simulates the calls to a zone in a tick. Returns the ratio of served calls, the ratio of rejected
    /// calls, and the latency in milliseconds.
    fn serve(&mut self, zone: usize, calls: f64) -> (f64, f64, f64) {
        let capacity = self.capacity(zone);
        let hosts = &mut self.zones[zone];
        if hosts.is_unreachable {
            return (0.0, 0.0, 0.0);
        }
        let max_queue = capacity * MAX_QUEUE_S;
        let waiting = hosts.queue + calls;
        let completed = waiting.min(capacity * TICK_S);
        let rejected = (waiting - completed - max_queue).max(0.0);
        hosts.queue = waiting - completed - rejected;
        if calls > 0.0 {
            hosts.warmth = (hosts.warmth + TICK_S / WARM_UP_S).min(1.0);
        }
        let latency_ms = BASE_LATENCY_MS * hosts.slowdown + hosts.queue / capacity.max(1.0) * 1_000.0;
        let rejected = if calls > 0.0 { (rejected / calls).min(1.0) } else { 0.0 };
        (1.0 - rejected, rejected, latency_ms)
    }
}

impl Fleet {
    fn local_health(&self, process: usize) -> Vec<LocalHealth> {
        let state = &self.processes[process];
        let all_failing =
            |(count, last_answer_at): &(u32, Micros)| *count >= 3 && self.now > last_answer_at + 300_000;
        state
            .unanswered
            .iter()
            .map(|unanswered| LocalHealth { is_listed: true, all_failing: all_failing(unanswered) })
            .collect()
    }

    /// The calls that a process sends to each zone in a tick, and the number that it rejects.
    fn route_calls(&mut self, process: usize, calls: [f64; 3]) -> (Vec<f64>, f64) {
        let (zone_count, local_time, local_health) =
            (self.topology.count(), self.local_time(process), self.local_health(process));
        let requested: f64 = calls.iter().sum();
        let routing = self.processes[process]
            .machine
            .as_ref()
            .map(|m| m.application().routing(local_time, m.local_replica(), &local_health));
        let mut sent = vec![0.0; zone_count];
        let admitted;
        let mut trial_zones: Vec<usize> =
            (0..zone_count).filter(|zone| local_health[*zone].all_failing).collect();
        match &routing {
            Some(Routing::Planned(planned)) if self.config.follows_plan => {
                let admitted_ratio = |class: usize| f64::from(planned.admission.ratio_of(class)) / 10_000.0;
                admitted = calls.iter().enumerate().map(|(class, calls)| calls * admitted_ratio(class)).sum();
                for (target, weight) in planned.weights.iter().enumerate() {
                    sent[target] = admitted * f64::from(*weight) / 10_000.0;
                }
                trial_zones.extend(&planned.trial_zones);
                trial_zones.sort_unstable();
                trial_zones.dedup();
            }
            _ => {
                // Without a plan, calls go to the process's own zone, or to all reachable zones if that one
                // is not.
                let own_zone = self.processes[process].zone;
                let reachable: Vec<usize> =
                    (0..zone_count).filter(|zone| !local_health[*zone].all_failing).collect();
                let targets = if !local_health[own_zone].all_failing { vec![own_zone] } else { reachable };
                targets.iter().for_each(|zone| sent[*zone] = requested / targets.len() as f64);
                admitted = if targets.is_empty() { 0.0 } else { requested };
            }
        }
        self.processes[process].routing = routing;
        // Zones that get only trial calls, to detect their recovery, get one every two seconds.
        trial_zones.into_iter().for_each(|zone| sent[zone] = sent[zone].max(0.5 * TICK_S));
        (sent, requested - admitted)
    }

    pub(super) fn tick(&mut self) {
        let zone_count = self.topology.count();
        let mut total = vec![0.0; zone_count];
        let mut planned = vec![0.0; zone_count];
        let mut sent_calls = Vec::new();
        let (mut total_requested, mut total_rejected) = (0.0, 0.0);
        let is_serving = |process: &super::SimulatedProcess| {
            process.machine.is_some() && !process.is_paused && !process.is_cut_off
        };
        let mut serving_count = vec![0_usize; zone_count];
        self.processes
            .iter()
            .filter(|process| is_serving(process))
            .for_each(|process| serving_count[process.zone] += 1);
        for process in (0..self.processes.len())
            .filter(|process| is_serving(&self.processes[*process]))
            .collect::<Vec<_>>()
        {
            let zone = self.processes[process].zone;
            let noise = 0.8 + 0.4 * f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            let requested = self.hosts.demand[zone] / serving_count[zone] as f64 * TICK_S * noise;
            let calls = CLASS_RATIOS.map(|ratio| ratio * requested);
            let (sent, rejected) = self.route_calls(process, calls);
            total_requested += requested;
            total_rejected += rejected;
            let follows_plan = matches!(self.processes[process].routing, Some(Routing::Planned(_)));
            for (target, calls) in sent.iter().enumerate() {
                if self.hosts.is_reachable(process, zone, target) {
                    total[target] += calls;
                    planned[target] += if follows_plan { *calls } else { 0.0 };
                }
            }
            sent_calls.push((process, calls, sent));
        }
        let results: Vec<(f64, f64, f64)> =
            (0..zone_count).map(|zone| self.hosts.serve(zone, total[zone])).collect();
        let capacity: Vec<f64> = (0..zone_count).map(|zone| self.hosts.capacity(zone) * TICK_S).collect();
        let mut total_served = 0.0;
        for (process, calls, sent) in sent_calls {
            total_served += self.record_results(process, calls, &sent, &results);
        }
        for process in 0..self.processes.len() {
            let local_time = self.local_time(process);
            let state = &mut self.processes[process];
            let wants_early_renewal = !state.is_paused
                && state.machine.as_mut().is_some_and(|machine| {
                    machine.application_mut().update_early_renewal(local_time);
                    machine.application().wants_early_renewal()
                });
            if wants_early_renewal {
                self.schedule_wake(process);
            }
        }
        let weights = (0..zone_count * zone_count)
            .map(|index| self.weight(index / zone_count, index % zone_count))
            .collect::<Vec<_>>();
        self.stats.record_tick(
            self.now,
            (&planned, &total, &capacity),
            (total_requested, total_rejected, total_served),
            &weights,
        );
    }

    /// Records the results of a process's calls in its statistics. Returns the number of calls that were
    /// served.
    fn record_results(
        &mut self,
        process: usize,
        calls: [f64; 3],
        sent: &[f64],
        results: &[(f64, f64, f64)],
    ) -> f64 {
        let (now, local_time) = (self.now, self.local_time(process));
        let origin = self.processes[process].zone;
        let is_unanswered: Vec<bool> = (0..sent.len())
            .map(|target| {
                self.hosts.zones[target].is_unreachable || !self.hosts.is_reachable(process, origin, target)
            })
            .collect();
        let state = &mut self.processes[process];
        let Some(machine) = state.machine.as_mut() else { return 0.0 };
        let stats = machine.application_mut().local_stats_mut();
        let add_and_take_whole = |sum: &mut f64, amount: f64| {
            *sum += amount;
            let count = sum.floor();
            *sum -= count;
            count as u32
        };
        for (class, calls) in calls.iter().enumerate() {
            let count = add_and_take_whole(&mut state.requested[class], *calls);
            stats.record_requests(local_time, class, count);
        }
        let mut total_served = 0.0;
        for (target, calls) in sent.iter().enumerate() {
            let (served, rejected, latency_ms) = results[target];
            if is_unanswered[target] {
                state.pending_timeouts.push((now + CALL_TIMEOUT_US, target, *calls));
                continue;
            }
            total_served += calls * served;
            let count = add_and_take_whole(&mut state.completed[target], calls * served);
            if count > 0 {
                stats.record_successes(local_time, target, count, latency_ms as u32);
                state.unanswered[target] = (0, now);
            }
            let count = add_and_take_whole(&mut state.failed[target], calls * rejected);
            stats.record_failures(local_time, target, count);
        }
        let timed_out: Vec<(usize, f64)> = state
            .pending_timeouts
            .iter()
            .filter(|(at, ..)| *at <= now)
            .map(|(_, target, calls)| (*target, *calls))
            .collect();
        state.pending_timeouts.retain(|(at, ..)| *at > now);
        for (target, calls) in timed_out {
            let count = add_and_take_whole(&mut state.failed[target], calls);
            stats.record_failures(local_time, target, count);
            state.unanswered[target].0 += count;
        }
        for (target, unanswered) in state.unanswered.iter().enumerate() {
            stats.set_connectivity(target, 0, unanswered.0 >= 3 && now > unanswered.1 + 300_000);
        }
        total_served
    }
}
