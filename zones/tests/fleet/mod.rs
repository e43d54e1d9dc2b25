//! A fleet in virtual time: proxies that settle the plan by messages that take time and are lost, and the zones'
//! hosts as they do calls, get cold, slow and unreached. One seed gives one run.
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

/// How often calls are reckoned.
pub const TICK: Micros = 50_000;
pub const LEASE: Micros = 6 * SECOND;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub process_count: usize,
    pub host_count: usize,

    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,

    /// What is asked for, of all that warm hosts do less the margin, in thousandths.
    pub load_per_mille: u32,

    /// Share of messages that are lost.
    pub message_loss: f64,

    /// Whether the plan is gone by.
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

    /// Its clock: how far ahead.
    clock_offset: Micros,
    pub zone: usize,
    is_paused: bool,
    is_cut_off: bool,
    state_since: Micros,
    wake_at: Micros,
    incarnation: u64,

    /// By zone: parts of calls not yet whole, failures since the last answer, when that was.
    completed: Vec<f64>,

    failed: Vec<f64>,

    requested: [f64; 3],

    unanswered: Vec<(u32, Micros)>,

    /// Attempts that will turn out to have failed.
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

    /// Plays on for so long.
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

    /// Plays until it is so, at the most for so long; for how long.
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

    /// It goes on, with what it had.
    pub fn resume(&mut self, process: usize) {
        let state = &mut self.processes[process];
        (state.is_paused, state.state_since) = (false, self.now);
        self.schedule_wake(process);
    }

    /// The process is cut off, or no longer.
    pub fn set_cut_off(&mut self, process: usize, is_cut_off: bool) {
        let state = &mut self.processes[process];
        (state.is_cut_off, state.state_since) = (is_cut_off, self.now);
    }

    /// A zone's hosts are lost, and its processes with them.
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

    /// An operator orders something at a process; the answer comes to [`Seen::answers`].
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

    /// A process's word says, whatever it sees, that it reaches nothing.
    pub fn report_all_unreachable(&mut self, process: usize) {
        let zone_count = self.topology.count();
        let Some(machine) = self.processes[process].machine.as_mut() else { return };
        let stats = machine.application_mut().local_stats_mut();
        (0..zone_count).for_each(|zone| stats.set_connectivity(zone, 1, true));
    }

    pub fn random_number(&mut self, bound: u64) -> u64 {
        self.random_below(bound)
    }

    /// One of the faults, at one of the zones.
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

    /// All is well again, and cold where it was lost.
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

    /// How much of what is asked for in a zone goes to another, by the plan at the holder, in parts of ten thousand.
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

    /// All traffic stays at home, but for so much, and nothing is refused.
    pub fn is_traffic_local(&self, max_weight: u32) -> bool {
        let is_local =
            |zone: usize| self.weight(zone, zone).is_some_and(|weight| weight + max_weight >= 10_000);
        (0..self.topology.count()).all(is_local) && self.stats.rejected_in_tick == 0.0
    }
}
