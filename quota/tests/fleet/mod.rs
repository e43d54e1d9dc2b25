//! Deterministic simulation of a fleet in virtual time. Messages are delayed, lost and duplicated; processes
//! crash without stored state, pause and are partitioned; clocks drift, and the demand changes. Whenever a
//! process acts, the permits that all processes may use or have in use are checked against each cap.
#![allow(dead_code, reason = "each test and the benchmark use only a part of this module")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "the counts and times of a simulation are small, and its setup is one long function"
)]

mod simulation;
mod sites;

pub use sites::{site, Site};

use flaxhead_lease::{Config, MemberStatus, PersistentState, Presence, Voters};
use flaxhead_quota::{
    Allowance, Facts, HostCapacity, Machine, Message, Micros, Name, Process, QuotaApplication, QuotaConfig,
    QuotaTiming, TenantRegistry,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// Age at which a process reads the membership again instead of using its cached copy, in microseconds.
const MAX_FACTS_AGE: Micros = 200_000;

/// Source of the limits that processes apply to their calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Grants of the leader, by the quota protocol.
    Coordinated,
    /// Constant limits, with an equal fraction of each cap for each process.
    StaticSplit,
    /// No limits at all.
    Unlimited,
}

/// Parameters of one simulation; times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub processes: usize,
    pub voters: usize,
    pub max_proxies: u32,
    pub site: Site,
    pub hosts: usize,
    pub calls_per_host: u32,
    pub timing: QuotaTiming,
    /// Median duration of a call.
    pub call_duration: Micros,
    /// Whether one call in 200 lasts for [`QuotaTiming::max_call_duration`].
    pub has_long_calls: bool,
    /// Interval at which each process ends calls that are due and starts new ones.
    pub call_interval: Micros,
    /// Mean time between two faults; 0: there are no faults.
    pub fault_interval: Micros,
    /// Mean time between two changes of demand at random processes; 0: the demand does not change.
    pub demand_change_interval: Micros,
    /// Fraction of messages that are lost; a quarter as many are duplicated.
    pub loss_ratio: f64,
    pub mode: Mode,
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    pub faults: usize,
    pub calls: u64,
    pub messages: u64,
    pub bytes: u64,
    /// Highest number of permits that all processes together could use or had in use, by tenant.
    pub peak_usage: Vec<u32>,
    /// Number of checks in which a tenant's permits were above its cap.
    pub cap_violations: u64,
    /// Number of changes of any process's allowance.
    pub allowance_changes: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Wake(usize, u64),
    Deliver { to: usize, message_id: u64 },
    ServeCalls(usize),
    InjectFault,
    Recover(usize),
    ChangeDemand,
}

struct Node {
    machine: Option<Machine>,
    /// Difference between the process's clock and virtual time at the start.
    clock_offset: Micros,
    /// Drift of the process's clock against virtual time, in parts per ten thousand.
    clock_drift: i64,
    is_paused: bool,
    is_partitioned: bool,
    changed_at: Micros,
    wake_at: Micros,
    incarnation: u64,
    allowance: Allowance,
    /// Number of calls that the process wants to have in flight, by tenant.
    demands: Vec<u32>,
    /// Tenant and end time of each call in flight.
    calls: Vec<(usize, Micros)>,
    /// Number of calls in flight, by tenant.
    in_flight: Vec<u32>,
    facts: Option<(Micros, Facts)>,
}

pub struct Fleet {
    scenario: Scenario,
    registry: TenantRegistry,
    pub now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    sequence: u64,
    messages_in_transit: BTreeMap<u64, (usize, Message)>,
    nodes: Vec<Node>,
    indices_by_name: BTreeMap<Name, usize>,
    rng: Pcg64,
    pub hosts: Vec<HostCapacity>,
    incarnations: u64,
    /// Permits that each process could use or had in use when it last acted, by process, then by tenant.
    usable_permits: Vec<Vec<u32>>,
    /// Sums of `usable_permits` over all processes, by tenant.
    usable_totals: Vec<u32>,
    pub stats: Stats,
}

fn node_name(index: usize) -> Name {
    Name::new(&format!("p{index:03}")).expect("valid name")
}

fn node_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_946))
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Fleet {
        let mut rng = Pcg64::seed_from_u64(scenario.seed);
        let config = QuotaConfig {
            max_proxies: scenario.max_proxies,
            calls_per_host: scenario.calls_per_host,
            caps: scenario.site.caps.clone(),
            ..QuotaConfig::default()
        };
        let tenants =
            scenario.site.tenants.iter().map(|(tenant_name, portion)| (tenant_name.as_str(), *portion));
        let registry = TenantRegistry::new(&config, tenants).expect("valid config");
        let tenant_count = registry.tenants.len();
        let nodes = (0..scenario.processes).map(|_| Node {
            machine: None,
            clock_offset: u64::from(rng.next_u32()),
            // Within the protocol's bound on the drift between two clocks.
            clock_drift: i64::from(rng.next_u32() % 140) - 70,
            is_paused: false,
            is_partitioned: false,
            changed_at: 0,
            wake_at: 0,
            incarnation: 0,
            allowance: Allowance::default(),
            demands: vec![0; tenant_count],
            calls: Vec::new(),
            in_flight: vec![0; tenant_count],
            facts: None,
        });
        let host = HostCapacity { ready: true, failing: false, warmth: 1_000, size: 1_000 };
        let mut fleet = Fleet {
            now: SECOND,
            events: BinaryHeap::new(),
            sequence: 0,
            messages_in_transit: BTreeMap::new(),
            nodes: nodes.collect(),
            indices_by_name: (0..scenario.processes).map(|index| (node_name(index), index)).collect(),
            hosts: vec![host; scenario.hosts],
            incarnations: 0,
            usable_permits: vec![vec![0; tenant_count]; scenario.processes],
            usable_totals: vec![0; tenant_count],
            stats: Stats { peak_usage: vec![0; tenant_count], ..Stats::default() },
            rng,
            registry,
            scenario,
        };
        for index in 0..fleet.scenario.processes {
            fleet.start(index);
            let after = fleet.random_below(fleet.scenario.call_interval);
            fleet.schedule(after, SimEvent::ServeCalls(index));
        }
        let (fault_interval, demand_change_interval) =
            (fleet.scenario.fault_interval, fleet.scenario.demand_change_interval);
        if fault_interval > 0 {
            fleet.schedule(3 * fleet.scenario.timing.lease, SimEvent::InjectFault);
        }
        if demand_change_interval > 0 {
            fleet.schedule(demand_change_interval, SimEvent::ChangeDemand);
        }
        fleet
    }

    pub fn registry(&self) -> &TenantRegistry {
        &self.registry
    }

    /// Sets how many calls of a tenant a process wants to have in flight.
    pub fn set_demand(&mut self, index: usize, tenant: usize, calls: u32) {
        self.nodes[index].demands[tenant] = calls;
    }

    pub fn total_demand(&self, tenant: usize) -> u32 {
        self.nodes.iter().map(|node| node.demands[tenant]).sum()
    }

    pub fn in_flight(&self, tenant: usize) -> u32 {
        self.nodes.iter().map(|node| node.in_flight[tenant]).sum()
    }

    /// Returns the permits of a tenant that all processes together may use now.
    pub fn total_usable(&self, tenant: usize) -> u32 {
        (0..self.nodes.len()).map(|index| self.usable_at(index, tenant)).sum()
    }

    /// Returns the permits of a tenant that one process may use now, by its own clock.
    pub fn usable_at(&self, index: usize, tenant: usize) -> u32 {
        self.nodes[index].allowance.cap(self.local_time(index), tenant).unwrap_or(0)
    }

    pub fn total_fair_share(&self, tenant: usize) -> u32 {
        self.nodes
            .iter()
            .map(|node| node.allowance.tenants.get(tenant).map_or(0, |tenant| tenant.fair_share))
            .sum()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.scenario.voters.min(self.nodes.len())).find(|index| {
            let node = &self.nodes[*index];
            !node.is_paused
                && node.machine.as_ref().is_some_and(|m| m.leading_ballot(self.local_time(*index)).is_some())
        })
    }

    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        (node.machine, node.changed_at, node.allowance) = (None, self.now, Allowance::default());
        node.calls.clear();
        node.in_flight.iter_mut().for_each(|calls| *calls = 0);
        self.check_caps(index);
    }

    fn schedule(&mut self, after: Micros, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn local_time(&self, index: usize) -> Micros {
        let Node { clock_offset, clock_drift, .. } = self.nodes[index];
        clock_offset + (self.now as i64 + self.now as i64 / 10_000 * clock_drift) as Micros
    }

    /// Returns the state that a process has stored; `None`: the process is not running.
    pub fn persistent_state(&self, index: usize) -> Option<PersistentState<QuotaApplication>> {
        self.nodes[index].machine.as_ref().map(|machine| machine.persistent_state(self.local_time(index)))
    }

    /// Starts a process that does not store its state.
    pub fn start(&mut self, index: usize) {
        self.start_machine(index, |machine, _| machine);
    }

    /// Starts a process that stores its state, and reads `found` from storage; `None`: the storage is empty.
    pub fn start_with_state(&mut self, index: usize, found: Option<PersistentState<QuotaApplication>>) {
        self.start_machine(index, |machine, now| machine.with_persistence(now, found, SECOND));
    }

    fn start_machine(&mut self, index: usize, configure: impl FnOnce(Machine, Micros) -> Machine) {
        self.incarnations += 1;
        let voter_names = (0..self.scenario.voters).map(node_name).collect();
        let voters = Voters::new(voter_names, Vec::new()).expect("valid voters");
        let config: Config = QuotaApplication::config(&self.scenario.timing);
        let process =
            Process { name: node_name(index), incarnation: self.incarnations, address: node_address(index) };
        let now = self.local_time(index);
        let quota = QuotaApplication::new(now, self.registry.clone(), self.scenario.timing.clone());
        let (incarnation, changed_at) = (self.incarnations, self.now);
        let node = &mut self.nodes[index];
        node.machine = Some(configure(Machine::new(config, quota, voters, process, now), now));
        (node.incarnation, node.changed_at, node.is_paused, node.is_partitioned) =
            (incarnation, changed_at, false, false);
        self.step(index, |_, _, _| {});
    }

    fn schedule_wake(&mut self, index: usize) {
        let local_time = self.local_time(index);
        let Some(machine) = &self.nodes[index].machine else { return };
        let quota = machine.application();
        let next_wake = machine.next_wake().min(quota.next_change(local_time).unwrap_or(Micros::MAX));
        let after = next_wake
            .min(quota.next_report_at().max(local_time + 5_000))
            .saturating_sub(local_time)
            .max(1_000);
        let wake_at = self.now + after;
        self.nodes[index].wake_at = wake_at;
        self.schedule(after, SimEvent::Wake(index, wake_at));
    }

    /// Returns the membership as the process `observer` knows it: exits and failures of other processes are
    /// detected with a delay.
    fn facts(&self, observer: usize) -> Facts {
        let status = |index: usize| {
            let Node { incarnation, changed_at, is_paused, is_partitioned, .. } = &self.nodes[index];
            let elapsed = self.now.saturating_sub(*changed_at);
            let has_exited = self.nodes[index].machine.is_none();
            let is_unreachable = *is_paused || *is_partitioned || self.nodes[observer].is_partitioned;
            let presence = match (has_exited, is_unreachable) {
                (true, _) if elapsed > 2 * SECOND => Presence::Exited,
                (_, true) if elapsed > 10 * SECOND => Presence::Unreachable,
                (_, true) if elapsed > 3 * SECOND => Presence::Suspected,
                _ => Presence::Alive,
            };
            (
                node_name(index),
                MemberStatus { incarnation: *incarnation, address: node_address(index), presence, since: 0 },
            )
        };
        Facts {
            application: self.hosts.clone(),
            members: (0..self.nodes.len()).filter(|index| *index != observer).map(status).collect(),
            participates: !self.nodes[observer].is_partitioned
                || self.now.saturating_sub(self.nodes[observer].changed_at) < 3 * SECOND,
        }
    }
}
