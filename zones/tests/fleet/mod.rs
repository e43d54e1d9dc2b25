//! Simulation of a fleet in virtual time: processes that agree on the plan over a lossy network, and hosts
//! with limited capacity that can be cold, slow or unreachable. A run is determined by its seed.
#![allow(dead_code)]

mod hosts;
mod net;
mod run_stats;

pub use hosts::SimulatedHosts;
pub use run_stats::RunStats;

use flaxhead_lease::Voters;
use flaxhead_zones::{
    Facts, FailoverSettings, Machine, Message, Micros, Name, Process, Routing, Topology, TopologySettings,
    ZoneApplication,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// Interval at which calls are simulated.
pub const TICK: Micros = 50_000;
pub const LEASE: Micros = 6 * SECOND;

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub process_count: usize,
    pub host_count: usize,
    /// Names of the zones, with the name of the region of each.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Demand relative to the capacity of warm hosts less the margin.
    pub load_per_mille: u32,
    /// Part of the messages that are lost, from 0 to 1.
    pub message_loss: f64,
    /// Whether the processes follow the plan; otherwise each routes by itself.
    pub follows_plan: bool,
    pub seed: u64,
}

pub const FOUR_ZONES: [(&str, &str); 4] = [("a", "south"), ("b", "south"), ("c", "south"), ("d", "south")];

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        let zones = FOUR_ZONES.to_vec();
        FleetConfig {
            process_count: 300,
            host_count: 200,
            zones,
            load_per_mille: 600,
            message_loss: 0.01,
            follows_plan: true,
            seed: 1,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Wake(usize, u64),
    Arrive { to: usize, message_id: u64 },
    Tick,
}

pub struct SimulatedProcess {
    machine: Option<Machine>,
    /// Difference between its clock and the simulation's.
    clock_offset: Micros,
    pub zone: usize,
    is_paused: bool,
    is_cut_off: bool,
    state_since: Micros,
    wake_at: Micros,
    incarnation: u64,
    /// By zone: the fraction of a successful call that is not counted yet.
    completed: Vec<f64>,
    /// By zone: the fraction of a failed call that is not counted yet.
    failed: Vec<f64>,
    /// By class: the fraction of a request that is not counted yet.
    requested: [f64; 3],
    /// By zone: the number of calls without an answer since the last answer, and the time of that answer.
    unanswered: Vec<(u32, Micros)>,
    /// Calls that will time out: when, the zone, and how many.
    pending_timeouts: Vec<(Micros, usize, f64)>,
    pub routing: Option<Routing>,
}

pub struct Fleet {
    pub config: FleetConfig,
    pub topology: Topology,
    pub settings: FailoverSettings,
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, SimulatedEvent)>>,
    sequence: u64,
    messages: BTreeMap<u64, (usize, Message)>,
    pub processes: Vec<SimulatedProcess>,
    process_by_name: BTreeMap<Name, usize>,
    random: Pcg64,
    last_incarnation: u64,
    pub hosts: SimulatedHosts,
    pub stats: RunStats,
    cached_facts: Option<(Micros, Facts)>,
}

impl SimulatedProcess {
    pub fn local_time(&self, now: Micros) -> Micros {
        self.clock_offset + now
    }
}

fn process_name(process: usize) -> Name {
    Name::new(&format!("p{process:03}")).expect("a valid name")
}

fn process_address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (process / 250) as u8, (process % 250) as u8], 7_946))
}

pub fn topology(zones: &[(&str, &str)]) -> Topology {
    let zones = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
    Topology::new(&TopologySettings { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() })
        .expect("valid settings")
}

impl Fleet {
    pub fn new(config: FleetConfig) -> Fleet {
        let (topology, settings) = (topology(&config.zones), FailoverSettings::default());
        let zone_count = topology.count();
        let mut random = Pcg64::seed_from_u64(config.seed);
        let processes = (0..config.process_count).map(|process| SimulatedProcess {
            machine: None,
            clock_offset: u64::from(random.next_u32()),
            zone: process % zone_count,
            is_paused: false,
            is_cut_off: false,
            state_since: 0,
            wake_at: 0,
            incarnation: 0,
            completed: vec![0.0; zone_count],
            failed: vec![0.0; zone_count],
            requested: [0.0; 3],
            unanswered: vec![(0, 0); zone_count],
            pending_timeouts: Vec::new(),
            routing: None,
        });
        let mut fleet = Fleet {
            now: SECOND,
            queue: BinaryHeap::new(),
            sequence: 0,
            messages: BTreeMap::new(),
            processes: processes.collect(),
            process_by_name: (0..config.process_count)
                .map(|process| (process_name(process), process))
                .collect(),
            random,
            last_incarnation: 0,
            hosts: SimulatedHosts::new(&config, &topology, &settings),
            stats: RunStats::new(zone_count),
            cached_facts: None,
            topology,
            settings,
            config,
        };
        (0..fleet.config.process_count).for_each(|process| fleet.start(process));
        fleet.schedule(TICK, SimulatedEvent::Tick);
        fleet
    }

    pub fn run_for(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            match event {
                SimulatedEvent::Tick => {
                    self.tick();
                    self.schedule(TICK, SimulatedEvent::Tick);
                }
                SimulatedEvent::Wake(process, at)
                    if self.processes[process].wake_at == at && !self.processes[process].is_paused =>
                {
                    self.run_machine(process, |machine, context, effects| machine.tick(context, effects));
                }
                SimulatedEvent::Wake(..) => {}
                SimulatedEvent::Arrive { to, message_id } => self.deliver(to, message_id),
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds. Returns how long that took; `None`: it did not hold within `timeout`.
    pub fn run_until(&mut self, timeout: Micros, condition: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run_for(TICK);
        }
        None
    }

    fn schedule(&mut self, delay: Micros, event: SimulatedEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn local_time(&self, process: usize) -> Micros {
        self.processes[process].clock_offset + self.now
    }

    pub fn start(&mut self, process: usize) {
        self.last_incarnation += 1;
        let voters = (0..5.min(self.config.process_count | 1)).map(process_name).collect();
        let voters = Voters::new(voters, Vec::new()).expect("valid voters");
        let me = Process {
            name: process_name(process),
            incarnation: self.last_incarnation,
            address: process_address(process),
        };
        let now = self.local_time(process);
        let application = ZoneApplication::new(
            now,
            self.topology.clone(),
            self.settings.clone(),
            self.processes[process].zone,
        );
        let machine = Machine::new(ZoneApplication::lease_config(LEASE), application, voters, me, now);
        let (incarnation, state_since) = (self.last_incarnation, self.now);
        let state = &mut self.processes[process];
        (state.machine, state.incarnation, state.state_since) = (Some(machine), incarnation, state_since);
        (state.is_paused, state.is_cut_off, state.routing) = (false, false, None);
        state.unanswered.iter_mut().for_each(|unanswered| *unanswered = (0, 0));
        state.pending_timeouts.clear();
        self.run_machine(process, |_, _, _| {});
    }

    pub fn kill(&mut self, process: usize) {
        let state = &mut self.processes[process];
        (state.machine, state.state_since, state.routing) = (None, self.now, None);
    }

    pub fn pause(&mut self, process: usize) {
        let state = &mut self.processes[process];
        (state.is_paused, state.state_since) = (true, self.now);
    }

    /// Continues a paused process with the state that it had.
    pub fn resume(&mut self, process: usize) {
        let state = &mut self.processes[process];
        (state.is_paused, state.state_since) = (false, self.now);
        self.schedule_wake(process);
    }

    pub fn set_cut_off(&mut self, process: usize, is_cut_off: bool) {
        let state = &mut self.processes[process];
        (state.is_cut_off, state.state_since) = (is_cut_off, self.now);
    }

    /// Makes a zone's hosts unreachable and cuts off its processes.
    pub fn fail_zone(&mut self, zone: usize) {
        self.hosts.fail(zone);
        let zone_processes =
            (0..self.processes.len()).filter(|process| self.processes[*process].zone == zone);
        zone_processes.collect::<Vec<_>>().into_iter().for_each(|process| self.set_cut_off(process, true));
    }

    pub fn recover_zone(&mut self, zone: usize, warmth: f64) {
        self.hosts.recover(zone, warmth);
        let zone_processes =
            (0..self.processes.len()).filter(|process| self.processes[*process].zone == zone);
        zone_processes.collect::<Vec<_>>().into_iter().for_each(|process| self.set_cut_off(process, false));
    }

    /// Submits an operator's command at a process. The result is added to [`RunStats::command_results`].
    pub fn submit(&mut self, process: usize, id: u64, command: flaxhead_zones::Command) {
        self.run_machine(process, |machine, context, effects| {
            machine.submit(context, id, command, 5 * SECOND, effects)
        });
    }

    pub fn leader(&self) -> Option<usize> {
        (0..5.min(self.processes.len())).find(|process| {
            let state = &self.processes[*process];
            !state.is_paused
                && !state.is_cut_off
                && state
                    .machine
                    .as_ref()
                    .is_some_and(|m| m.leading_ballot(self.local_time(*process)).is_some())
        })
    }

    pub fn machine(&self, process: usize) -> Option<&Machine> {
        self.processes[process].machine.as_ref()
    }

    /// Makes a process report all zones as unreachable, whatever its calls show, until its next successful
    /// call.
    pub fn report_all_unreachable(&mut self, process: usize) {
        let zone_count = self.topology.count();
        let Some(machine) = self.processes[process].machine.as_mut() else { return };
        let stats = machine.application_mut().local_stats_mut();
        (0..zone_count).for_each(|zone| stats.set_connectivity(zone, 1, true));
    }

    pub fn random_number(&mut self, bound: u64) -> u64 {
        self.random_below(bound)
    }

    /// Injects a random fault at a random zone. Returns the kind of fault and the zone.
    pub fn inject_fault(&mut self, zone_count: usize) -> (&'static str, usize) {
        let zone = self.random_below(zone_count as u64) as usize;
        let kind = match self.random_below(6) {
            0 => {
                self.hosts.fail(zone);
                "hosts unreachable"
            }
            1 => {
                self.fail_zone(zone);
                "zone unreachable"
            }
            2 => {
                self.hosts.set_slowdown(zone, 2.0);
                "slow"
            }
            3 => {
                self.hosts.cut_links.push(((zone + 1) % zone_count, zone));
                "link cut"
            }
            4 => {
                if let Some(leader) = self.leader() {
                    self.kill(leader);
                }
                "leader killed"
            }
            _ => {
                self.hosts.fail(zone);
                self.run_for(2 * SECOND);
                self.hosts.recover(zone, 0.1);
                "hosts unreachable for 2 s"
            }
        };
        (kind, zone)
    }

    /// Ends all faults. Hosts that were unreachable are cold.
    pub fn end_faults(&mut self) {
        self.hosts.cut_links.clear();
        for zone in 0..self.topology.count() {
            self.hosts.set_slowdown(zone, 1.0);
            if self.hosts.capacity(zone) == 0.0 {
                self.recover_zone(zone, 0.1);
            }
        }
        for process in 0..self.processes.len() {
            if self.processes[process].machine.is_none() {
                self.start(process);
            }
        }
    }

    /// Weight of a target for an origin in the leader's plan; `None`: there is no leader, or no split for the
    /// origin.
    pub fn weight(&self, origin: usize, target: usize) -> Option<u32> {
        let machine = self.machine(self.leader()?)?;
        let split = machine.state().split(self.topology.name(origin))?;
        Some(
            split
                .weights
                .iter()
                .find(|(zone, _)| zone == self.topology.name(target))
                .map_or(0, |(_, weight)| *weight),
        )
    }

    /// Whether all traffic but `max_weight` stays in its zone, and no call is rejected.
    pub fn is_traffic_local(&self, max_weight: u32) -> bool {
        let is_local =
            |zone: usize| self.weight(zone, zone).is_some_and(|weight| weight + max_weight >= 10_000);
        (0..self.topology.count()).all(is_local) && self.stats.rejected_in_tick == 0.0
    }
}
