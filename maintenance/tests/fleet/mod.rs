//! Simulation of a fleet in virtual time: messages are delayed and lost, processes crash without persisted
//! state, freeze and are partitioned, clocks drift, and operators request drains. The seed determines a run.
#![allow(dead_code, reason = "each test and the bench use a part of the module")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::too_many_lines,
    reason = "the counts and times of a simulation are small, and its events are handled in one match"
)]

use flaxhead_lease::{AdmissionStatus, Config, MemberStatus, Micros, Name, Presence, Process, Voters};
use flaxhead_maintenance::{
    may_send, view, Command, Context, Drain, DrainRequest, Effect, Facts, HostFacts, HostStatus, HostUsage,
    Limits, Machine, Maintenance, Message, SchedulerConfig, Stage,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// Maximum age of the facts, in microseconds of virtual time, at which a process still uses them and does not
/// read new ones.
const MAX_FACTS_AGE: Micros = 200_000;
pub const HOUR: Micros = 3_600 * SECOND;

/// Parameters of a simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub process_count: usize,
    pub host_count: usize,
    pub voter_count: usize,
    pub duration: Micros,
    pub lease: Micros,
    /// Mean time between two requests of operators; 0: no requests.
    pub request_interval: Micros,
    /// Maximum duration of the maintenance of one host, beyond a minimum of one second.
    pub max_maintenance_time: Micros,
    /// Mean time between two faults; 0: no faults.
    pub fault_interval: Micros,
    pub max_hosts_out: u32,
    /// Probability that a message is lost.
    pub loss_ratio: f64,
    pub seed: u64,
}

/// Results of a simulated run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metrics {
    pub requested: usize,
    pub freed: usize,
    pub completed: usize,
    /// Times from each request of a drain until its host was reported free, in microseconds.
    pub times_to_free: Vec<Micros>,
    pub messages: u64,
    pub state_bytes: u64,
    pub leader_changes: usize,
    /// Length of each period without a leader, in microseconds.
    pub leaderless_times: Vec<Micros>,
    pub peak_hosts_out: usize,
    pub faults: usize,
    /// Number of times that operators restored a schedule that the processes had lost.
    pub state_losses: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    /// Runs the timers of the process of this index. The second value is the virtual time of the event; the
    /// event is ignored if the process has since scheduled a wake at a different time.
    Wake(usize, u64),
    Deliver {
        to: usize,
        message_id: u64,
    },
    Fault,
    /// Ends the fault of the process of this index.
    Recover(usize),
    Request,
    /// Ends the maintenance of the host of this name.
    Complete(String),
    /// Lets operators restore a lost schedule, and repeat lost commands that request or complete a drain.
    RunOperators,
    /// Kills all processes except those of the highest indices; the value is the number that survive.
    KillAll(usize),
    /// Starts all processes that are stopped.
    StartAll,
}

struct Node {
    machine: Option<Machine>,
    /// Offset of the local clock from the virtual time.
    clock_offset: Micros,
    /// Drift of the local clock, in parts of ten thousand; positive: it runs fast.
    drift_per_10k: i64,
    is_frozen: bool,
    is_partitioned: bool,
    /// Virtual time at which the process was last started, was last hit by a fault or last recovered.
    changed_at: Micros,
    next_wake_at: Micros,
    incarnation: u64,
    /// Host of each call in flight, and the virtual time at which the call ends.
    calls: Vec<(String, Micros)>,
    /// Facts that the process read last, and the virtual time at which it read them.
    facts: Option<(Micros, Facts)>,
}

pub struct Fleet {
    scenario: Scenario,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, EventKind)>>,
    sequence: u64,
    messages: BTreeMap<u64, (usize, Message)>,
    nodes: Vec<Node>,
    indices: BTreeMap<Name, usize>,
    random: Pcg64,
    hosts: BTreeMap<String, HostStatus>,
    /// Hosts that were reported free to operators and whose maintenance is not yet complete.
    free_hosts: BTreeSet<String>,
    requested_at: BTreeMap<String, Micros>,
    open_requests: BTreeSet<String>,
    next_host: usize,
    last_incarnation: u64,
    leader: Option<(usize, u64)>,
    leaderless_since: Option<Micros>,
    last_command_id: u64,
    /// Results of the restart after [`EventKind::KillAll`]; `None`: no process has been restarted after one.
    restart_metrics: Option<RestartMetrics>,
    pub metrics: Metrics,
}

/// Results of a kill and restart of many processes at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestartMetrics {
    /// Virtual time at which the killed processes were started again.
    pub started_at: Micros,
    /// Number of messages sent in each tenth of a second since the restart, by kind of message.
    pub sent_by_kind: BTreeMap<&'static str, Vec<u32>>,
    /// Times from the restart until each process could send calls, in ascending order.
    pub times_to_serve: Vec<Micros>,
    /// Indices of the processes that `times_to_serve` counts already.
    served: BTreeSet<usize>,
}

/// Returns the kind under which a message is counted; `None`: messages of its kind are not counted.
fn message_kind(message: &Message) -> Option<&'static str> {
    match message {
        Message::Prepare { .. } => Some("prepare requests"),
        Message::VoterRecoveryRequest { .. } => Some("voter recovery requests"),
        Message::Renew(_) => Some("lease renewals"),
        Message::RecoveryQuery { .. } => Some("recovery queries"),
        _ => None,
    }
}

fn node_name(index: usize) -> Name {
    Name::new(&format!("p{index:03}")).expect("a name")
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Fleet {
        let mut random = Pcg64::seed_from_u64(scenario.seed);
        let host = |number: usize| {
            let status = HostStatus {
                zone: format!("z{}", number % 4),
                pod: (number / 3) as u32,
                ready: true,
                failing: false,
                warmth: 1_000,
                weight: 1_000,
            };
            (format!("h{number:03}"), status)
        };
        let nodes = (0..scenario.process_count)
            .map(|_| Node {
                machine: None,
                clock_offset: u64::from(random.next_u32()),
                // Up to 0.7 % fast or slow, so two clocks drift apart by at most 1.4 %; the protocol tolerates
                // one part in 64.
                drift_per_10k: i64::from(random.next_u32() % 140) - 70,
                is_frozen: false,
                is_partitioned: false,
                changed_at: 0,
                next_wake_at: 0,
                incarnation: 0,
                calls: Vec::new(),
                facts: None,
            })
            .collect();
        let mut fleet = Fleet {
            now: SECOND,
            events: BinaryHeap::new(),
            sequence: 0,
            messages: BTreeMap::new(),
            nodes,
            indices: (0..scenario.process_count).map(|index| (node_name(index), index)).collect(),
            random,
            hosts: (0..scenario.host_count).map(host).collect(),
            free_hosts: BTreeSet::new(),
            requested_at: BTreeMap::new(),
            open_requests: BTreeSet::new(),
            next_host: 0,
            last_incarnation: 0,
            leader: None,
            leaderless_since: Some(SECOND),
            last_command_id: 0,
            restart_metrics: None,
            metrics: Metrics::default(),
            scenario,
        };
        (0..fleet.scenario.process_count).for_each(|index| fleet.start_node(index));
        fleet.schedule_event(4 * fleet.scenario.lease, EventKind::RunOperators);
        if fleet.scenario.request_interval > 0 {
            fleet.schedule_event(6 * fleet.scenario.lease, EventKind::Request);
        }
        if fleet.scenario.fault_interval > 0 {
            fleet.schedule_event(8 * fleet.scenario.lease, EventKind::Fault);
        }
        fleet
    }

    fn schedule_event(&mut self, after: Micros, event: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn local_time(&self, index: usize) -> Micros {
        let Node { clock_offset, drift_per_10k, .. } = self.nodes[index];
        clock_offset + (self.now as i64 + self.now as i64 / 10_000 * drift_per_10k) as Micros
    }

    fn start_node(&mut self, index: usize) {
        self.last_incarnation += 1;
        let voters = (0..self.scenario.voter_count).map(node_name).collect();
        let voters = Voters::new(voters, Vec::new()).expect("voters");
        let limits = Limits {
            max_total: self.scenario.max_hosts_out,
            max_per_zone: self.scenario.max_hosts_out,
            max_per_pod: 1,
            ..Limits::default()
        };
        let config = Config {
            lease_duration: self.scenario.lease,
            max_call_duration: 2 * SECOND,
            autonomy_timeout: Micros::MAX,
            ..Config::default()
        };
        let scheduler =
            SchedulerConfig { limits, max_recovery_time: 10 * SECOND, ..SchedulerConfig::default() };
        let at = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_946));
        let me = Process { name: node_name(index), incarnation: self.last_incarnation, address: at };
        let now = self.local_time(index);
        let (incarnation, changed_at) = (self.last_incarnation, self.now);
        let node = &mut self.nodes[index];
        node.machine = Some(Machine::new(config, Maintenance::new(scheduler), voters, me, now));
        (node.incarnation, node.changed_at, node.is_frozen, node.is_partitioned) =
            (incarnation, changed_at, false, false);
        node.calls.clear();
        self.schedule_wake(index);
    }

    fn schedule_wake(&mut self, index: usize) {
        let local_now = self.local_time(index);
        let Some(machine) = &self.nodes[index].machine else { return };
        let after = machine.next_wake().saturating_sub(local_now).max(1_000);
        let at = self.now + after;
        self.nodes[index].next_wake_at = at;
        self.schedule_event(after, EventKind::Wake(index, at));
    }

    /// Returns the facts that one process reads: all hosts, and all processes but itself as its membership
    /// lists them, which shows a failure only after some seconds.
    fn facts(&self, observer: usize) -> Facts {
        let member = |index: usize| {
            let Node { incarnation, changed_at, is_frozen, is_partitioned, .. } = &self.nodes[index];
            let time_since_change = self.now.saturating_sub(*changed_at);
            let is_stopped = self.nodes[index].machine.is_none();
            let is_cut_off = *is_frozen || *is_partitioned || self.nodes[observer].is_partitioned;
            let presence = match (is_stopped, is_cut_off) {
                (true, _) if time_since_change > 2 * SECOND => Presence::Exited,
                (_, true) if time_since_change > 10 * SECOND => Presence::Unreachable,
                (_, true) if time_since_change > 3 * SECOND => Presence::Suspected,
                _ => Presence::Alive,
            };
            let at = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_946));
            (node_name(index), MemberStatus { incarnation: *incarnation, address: at, presence, since: 0 })
        };
        Facts {
            application: HostFacts { hosts: self.hosts.clone(), lost_zones: BTreeSet::new() },
            members: (0..self.nodes.len()).filter(|index| *index != observer).map(member).collect(),
            participates: !self.nodes[observer].is_partitioned
                || self.now.saturating_sub(self.nodes[observer].changed_at) < 3 * SECOND,
        }
    }

    fn with_machine(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Machine, &mut Context<'_>, &mut Vec<Effect>),
    ) {
        // Of its facts, a process that is not a voter uses only the lost zones, and the simulation has none.
        // Building facts is slow, so such a process gets empty ones.
        let old = self.nodes[index].facts.take().filter(|(at, _)| self.now < at + MAX_FACTS_AGE);
        let (read_at, facts) = match old {
            Some(cached) => cached,
            None if index < self.scenario.voter_count => (self.now, self.facts(index)),
            None => (self.now, Facts::default()),
        };
        let local_now = self.local_time(index);
        let Some(mut machine) = self.nodes[index].machine.take() else { return };
        let now = self.now;
        let mut calls_in_flight: BTreeMap<String, u32> = BTreeMap::new();
        self.nodes[index].calls.retain(|(_, until)| *until > now);
        self.nodes[index]
            .calls
            .iter()
            .for_each(|(host, _)| *calls_in_flight.entry(host.clone()).or_default() += 1);
        machine.application_mut().set_usage(HostUsage { in_flight: calls_in_flight, load_millicalls: 1_000 });
        let mut effects = Vec::new();
        let mut context = Context { now: local_now, facts: &facts, random: &mut self.random };
        act(&mut machine, &mut context, &mut effects);
        if index < self.scenario.voter_count {
            self.record_leadership(index, machine.leading_ballot(local_now).map(|ballot| ballot.round));
        }
        if let Some(metrics) = &mut self.restart_metrics {
            if machine.admission_status() != AdmissionStatus::Pending && metrics.served.insert(index) {
                metrics.times_to_serve.push(self.now - metrics.started_at);
            }
        }
        let drains: Vec<(String, bool)> = machine
            .state()
            .drains
            .iter()
            .map(|drain| (drain.request.host.clone(), drain.is_free && drain.stage == Stage::OutOfService))
            .collect();
        self.nodes[index].facts = Some((read_at, facts));
        self.nodes[index].machine = Some(machine);
        for (host, free) in drains {
            if free && self.open_requests.contains(&host) && self.free_hosts.insert(host.clone()) {
                self.record_free_host(&host);
            }
        }
        self.check_invariants(index);
        for effect in effects {
            if let Effect::Send { to, message } = effect {
                self.send_message(index, &to, message);
            }
        }
        self.schedule_wake(index);
    }

    fn record_leadership(&mut self, index: usize, round: Option<u64>) {
        match (round, self.leader) {
            (Some(round), leader) if leader != Some((index, round)) => {
                self.leader = Some((index, round));
                self.metrics.leader_changes += 1;
                if let Some(since) = self.leaderless_since.take() {
                    self.metrics.leaderless_times.push(self.now - since);
                }
            }
            (None, Some((leader, _))) if leader == index => {
                (self.leader, self.leaderless_since) = (None, Some(self.now));
            }
            _ => {}
        }
    }

    fn record_free_host(&mut self, host: &str) {
        self.metrics.freed += 1;
        if let Some(requested) = self.requested_at.get(host) {
            self.metrics.times_to_free.push(self.now - requested);
        }
        self.metrics.peak_hosts_out = self.metrics.peak_hosts_out.max(self.free_hosts.len());
        assert!(
            self.free_hosts.len() <= self.scenario.max_hosts_out as usize,
            "too many hosts are out of service: {:?}",
            self.free_hosts
        );
        (0..self.nodes.len()).for_each(|index| self.check_invariants(index));
        let maintenance_time = SECOND + self.random_below(self.scenario.max_maintenance_time);
        self.schedule_event(maintenance_time, EventKind::Complete(host.to_owned()));
    }

    /// Asserts that a process neither sends to a free host nor has a call in flight there.
    fn check_invariants(&self, index: usize) {
        let node = &self.nodes[index];
        let Some(machine) = node.machine.as_ref().filter(|_| !node.is_frozen) else { return };
        let local_now = self.local_time(index);
        for host in &self.free_hosts {
            assert!(
                !may_send(machine, local_now, host),
                "p{index} may send to the free host {host} at {}",
                self.now
            );
            let runs = node.calls.iter().any(|(at, until)| at == host && *until > self.now);
            assert!(!runs, "p{index} has a call in flight at the free host {host} at {}", self.now);
        }
    }

    fn send_message(&mut self, from: usize, to: &Name, message: Message) {
        self.metrics.messages += 1;
        if let (Some(metrics), Some(kind)) = (&mut self.restart_metrics, message_kind(&message)) {
            let bucket = ((self.now - metrics.started_at) / (SECOND / 10)) as usize;
            let counts = metrics.sent_by_kind.entry(kind).or_default();
            counts.resize(counts.len().max(bucket + 1), 0);
            counts[bucket] += 1;
        }
        let Some(&to) = self.indices.get(to) else { return };
        let lost = (self.random.next_u32() as f64) < self.scenario.loss_ratio * f64::from(u32::MAX);
        if lost || self.nodes[from].is_partitioned || self.nodes[to].is_partitioned {
            return;
        }
        self.sequence += 1;
        let message_id = self.sequence;
        self.messages.insert(message_id, (from, message));
        let delay = 1_000 + self.random_below(20_000);
        self.schedule_event(delay, EventKind::Deliver { to, message_id });
    }

    /// Kills all processes except `survivors` of them at the virtual time `at`, starts the killed processes
    /// together a second later, and runs to the end of the scenario. Returns the results of the restart.
    pub fn kill_and_restart(mut self, at: Micros, survivors: usize) -> RestartMetrics {
        self.schedule_event(at - self.now, EventKind::KillAll(survivors));
        self.process_events();
        self.restart_metrics.unwrap_or_default()
    }

    /// Runs to the end of the scenario and returns the results.
    pub fn run(mut self) -> Metrics {
        self.process_events();
        self.metrics
    }

    fn process_events(&mut self) {
        let end = self.scenario.duration;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: EventKind) {
        match event {
            EventKind::Wake(index, at)
                if self.nodes[index].next_wake_at == at && !self.nodes[index].is_frozen =>
            {
                self.start_call(index);
                self.with_machine(index, |machine, context, out| machine.tick(context, out));
            }
            EventKind::Wake(..) => {}
            EventKind::Deliver { to, message_id } => {
                let Some((from, message)) = self.messages.remove(&message_id) else { return };
                if self.nodes[to].is_frozen {
                    // The message waits in the socket of the frozen process: delivery is tried again after a
                    // second.
                    self.messages.insert(message_id, (from, message));
                    return self.schedule_event(SECOND, EventKind::Deliver { to, message_id });
                }
                let from = node_name(from);
                self.with_machine(to, |machine, context, out| machine.receive(context, &from, message, out));
            }
            EventKind::Fault => self.inject_fault(),
            EventKind::Recover(index) => {
                let is_stopped = self.nodes[index].machine.is_none();
                let is_frozen = std::mem::take(&mut self.nodes[index].is_frozen);
                self.nodes[index].is_partitioned = false;
                self.nodes[index].changed_at = self.now;
                if is_stopped {
                    self.start_node(index);
                } else if is_frozen {
                    // A resumed process may send a call before its timers run, so the invariants must hold
                    // before that.
                    self.check_invariants(index);
                    self.start_call(index);
                    self.schedule_wake(index);
                }
            }
            EventKind::Request => {
                self.request_next_drain();
                let every = self.scenario.request_interval;
                let after = every / 2 + self.random_below(every);
                self.schedule_event(after, EventKind::Request);
            }
            EventKind::Complete(host) => {
                self.free_hosts.remove(&host);
                self.open_requests.remove(&host);
                self.requested_at.remove(&host);
                self.metrics.completed += 1;
                self.complete_drain(&host);
            }
            EventKind::KillAll(survivors) => {
                for index in 0..self.nodes.len() - survivors {
                    self.nodes[index].machine = None;
                    self.nodes[index].calls.clear();
                    self.record_leadership(index, None);
                }
                self.schedule_event(SECOND, EventKind::StartAll);
            }
            EventKind::StartAll => {
                self.restart_metrics =
                    Some(RestartMetrics { started_at: self.now, ..RestartMetrics::default() });
                let stopped: Vec<usize> =
                    (0..self.nodes.len()).filter(|index| self.nodes[*index].machine.is_none()).collect();
                stopped.into_iter().for_each(|index| self.start_node(index));
            }
            EventKind::RunOperators => {
                self.run_operators();
                self.schedule_event(self.scenario.lease, EventKind::RunOperators);
            }
        }
    }

    /// Starts a call to a random host if the process may send to it.
    fn start_call(&mut self, index: usize) {
        let number = self.random_below(self.scenario.host_count as u64);
        let host = format!("h{number:03}");
        let local_now = self.local_time(index);
        let may_call =
            |m: &Machine| m.admission_status() == AdmissionStatus::Admitted && may_send(m, local_now, &host);
        if self.nodes[index].machine.as_ref().is_some_and(may_call) {
            let until = self.now + self.random_below(2 * SECOND);
            self.nodes[index].calls.push((host, until));
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random_below(self.scenario.process_count as u64) as usize;
        let node = &mut self.nodes[index];
        if node.machine.is_some() && !node.is_frozen && !node.is_partitioned {
            node.changed_at = self.now;
            self.metrics.faults += 1;
            let duration = 2 * SECOND + self.random_below(4 * self.scenario.lease);
            match self.random_below(3) {
                0 => {
                    self.nodes[index].machine = None;
                    self.nodes[index].calls.clear();
                    self.record_leadership(index, None);
                }
                1 => self.nodes[index].is_frozen = true,
                _ => self.nodes[index].is_partitioned = true,
            }
            self.schedule_event(duration, EventKind::Recover(index));
        }
        let every = self.scenario.fault_interval;
        let after = every / 2 + self.random_below(every);
        self.schedule_event(after, EventKind::Fault);
    }

    fn submit_command(&mut self, index: usize, command: Command) {
        self.last_command_id += 1;
        let id = self.last_command_id;
        let timeout = 60 * self.scenario.lease;
        self.with_machine(index, |machine, context, out| machine.submit(context, id, command, timeout, out));
    }

    fn random_running_node(&mut self) -> usize {
        loop {
            let index = self.random_below(self.scenario.process_count as u64) as usize;
            let node = &self.nodes[index];
            if node.machine.is_some() && !node.is_frozen && !node.is_partitioned {
                return index;
            }
        }
    }

    fn drain_command(&self, host: &str, already_out: bool) -> Command {
        Command::Request(DrainRequest {
            host: host.to_owned(),
            kind: "kernel".to_owned(),
            by: "ops".to_owned(),
            duration: HOUR,
            not_before: 0,
            not_after: None,
            already_out,
        })
    }

    fn request_next_drain(&mut self) {
        let host = format!("h{:03}", self.next_host % self.scenario.host_count);
        self.next_host += 1;
        if self.open_requests.insert(host.clone()) {
            self.metrics.requested += 1;
            self.requested_at.insert(host.clone(), self.now);
            let index = self.random_running_node();
            let command = self.drain_command(&host, false);
            self.submit_command(index, command);
        }
    }

    fn complete_drain(&mut self, host: &str) {
        let index = self.random_running_node();
        let drain_id = self
            .nodes
            .iter()
            .filter_map(|node| node.machine.as_ref()?.state().drain_for_host(host))
            .map(|drain| drain.id)
            .max();
        if let Some(drain_id) = drain_id {
            self.submit_command(index, Command::Complete { drain: drain_id, by: "ops".to_owned() });
        }
    }

    /// Acts for the operators: after a loss of the schedule, requests drains of the hosts that are out of
    /// service and declares the schedule complete; repeats lost commands that request or complete a drain.
    fn run_operators(&mut self) {
        let has_lost_state = |index: &usize| {
            let node = &self.nodes[*index];
            node.machine.as_ref().is_some_and(|m| view(m, self.local_time(*index)).lease.is_state_lost)
                && !node.is_frozen
        };
        let all_running =
            self.nodes.iter().all(|node| node.machine.is_some() && !node.is_frozen && !node.is_partitioned);
        let leader_without_state =
            (0..self.scenario.voter_count).find(has_lost_state).filter(|_| all_running);
        if let Some(index) = leader_without_state {
            self.metrics.state_losses += 1;
            for host in self.free_hosts.clone() {
                let command = self.drain_command(&host, true);
                self.submit_command(index, command);
            }
            self.submit_command(index, Command::DeclareRecovered { by: "ops".to_owned() });
        }
        let Some((leader, _)) = self.leader else { return };
        let Some(schedule) = self.nodes[leader].machine.as_ref().map(|m| m.state().clone()) else { return };
        let lost_requests: Vec<String> = self
            .open_requests
            .iter()
            .filter(|h| !self.free_hosts.contains(*h) && schedule.drain_for_host(h).is_none())
            .cloned()
            .collect();
        for host in lost_requests {
            let index = self.random_running_node();
            let command = self.drain_command(&host, false);
            self.submit_command(index, command);
        }
        // If the maintenance of a host has ended but its drain is still at stage `OutOfService`, the command
        // to complete the drain was lost.
        let is_returned =
            |row: &&Drain| row.stage == Stage::OutOfService && !self.free_hosts.contains(&row.request.host);
        let returned: Vec<(u64, bool)> = schedule
            .drains
            .iter()
            .filter(is_returned)
            .map(|drain| (drain.id, self.open_requests.contains(&drain.request.host)))
            .collect();
        for (drain_id, is_requested) in returned {
            if !is_requested {
                let index = self.random_running_node();
                self.submit_command(index, Command::Complete { drain: drain_id, by: "ops".to_owned() });
            }
        }
    }
}
