//! Exhaustive model check of three voters and two hosts, of which at most one host may be out of service at a
//! time, under loss and duplication of messages, crashes with loss of state, pauses longer than a lease, and
//! partitions in one or both directions. A step lasts a sixth of a lease. A message arrives in the step in
//! which it was sent unless a fault prevents that.
//!
//! A *node* is a process of the model, identified by its index. A *history* is one sequence of steps and
//! faults that the check explores.

mod disks;

use disks::DiskState;
use flaxhead_lease::{
    AdmissionStatus, Ballot, Config, Micros, Name, PersistentState, Presence, Process, RecoveryState, Roster,
    Versioned, VoterRecoveryResponse, Voters,
};
use flaxhead_maintenance::{
    excluded_hosts, may_send, view, Command, Context, DrainRequest, Effect, ExcludedHost, Facts, HostFacts,
    HostStatus, HostUsage, Machine, Maintenance, Message, SchedulerConfig, Stage,
};
use flaxhead_rig::{ActiveFault, Bounds, Envelope, FixedRandom, LastingFault, SystemModel as _};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const VOTER_COUNT: usize = 3;
const LEASE: Micros = 600;
const STEP: Micros = 100;
/// Duration of a lasting fault, in steps: longer than a lease, and longer than the quarantine in which a
/// restarted voter does not vote.
const FAULT_STEPS: u8 = 9;
/// Number of steps, from the start of a history, in which faults may begin.
const FAULT_WINDOW_STEPS: u8 = 14;
/// Number of steps, from the start of a history, after which both drains must be complete.
const HISTORY_STEPS: u8 = 80;

/// Defect that replaces a rule of the protocol, to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutation {
    Unmodified,
    /// A restarted voter votes at once: it neither waits until a lease that it may have granted before the
    /// restart has expired, nor asks the other voters for the state that it lost.
    SkipQuarantine,
    /// The leader assumes that every process has applied the latest schedule.
    AssumeConfirmed,
    /// A process goes on sending calls to a scheduled host after its own lease has expired.
    IgnoreLeaseExpiry,
    /// A restarted process sends calls before it is admitted.
    SendBeforeAdmission,
    /// Processes do not report their calls in flight, so a host counts as drained while it still has calls.
    HideCallsInFlight,
    /// The clock of a frozen leader stops while the leader is frozen, so the leader goes on leading after its
    /// lease has expired.
    StopFrozenClock,
    /// Processes are configured to allow two hosts out of service at a time; the invariants allow one.
    RaiseLimits,
    /// A process applies a delayed schedule that is older than its own.
    AcceptOldState,
    /// A restarted process loads the state from its disk, however old that state is.
    IgnoreSnapshotAge,
    /// A process confirms a schedule that it has not yet written to its disk, so that a crash loses a
    /// schedule that the leader counts as confirmed.
    ConfirmBeforeWrite,
    /// Replies to a restarted process do not name the processes that have the complete schedule.
    HidePeers,
    /// Replies to a restarted process carry an empty schedule that is declared complete.
    ForgeEmptyState,
    /// Replies to a restarted process conceal that their sender has a lease and the schedule, so that the
    /// restarted process serves without admission too early.
    HideRecoveryStatus,
}

/// State of the model outside its nodes: calls, hosts, disks, and the timeouts of nodes that start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    /// Step at which the call of a node to a host ends, counted from the start of the history; by node and
    /// host.
    in_flight: BTreeMap<(usize, String), u8>,
    /// Step at which a host was first reported free to operators, by host.
    free_since: BTreeMap<String, u8>,
    /// Hosts whose maintenance has ended, whether or not any node knows.
    returned: BTreeSet<String>,
    /// Ballots under which a node has led.
    leader_ballots: BTreeSet<Ballot>,
    /// Content of each node's disk and the step at which it was written. A node writes at the beginning of
    /// each step.
    disks: Vec<Option<(u8, PersistentState<Maintenance>)>>,
    autonomy_delay: Micros,
    declaration_wait: Micros,
}

type World = flaxhead_rig::SystemState<Maintenance, ModelState>;
type Fault = flaxhead_rig::Fault<DiskState>;

struct Fleet {
    mutation: Mutation,
    /// Maximum number of faults in one history.
    max_faults: u8,
    /// Faults may occur between any two messages; if false, only between steps.
    faults_between_messages: bool,
    /// Processes persist their state to disks.
    has_disks: bool,
    /// Duration of a maintenance, in steps.
    duration_steps: u8,
    fault_kinds: &'static [LastingFault],
    /// Nodes that may crash and that lasting faults may affect.
    fault_targets: Vec<usize>,
    /// Node whose messages reach no other node, though the membership lists it as alive.
    mute_node: Option<usize>,
    /// State in which every history starts.
    first: World,
}

fn node_name(node: usize) -> Name {
    Name::new(&format!("n{node}")).expect("a name")
}

fn host_name(number: usize) -> String {
    format!("h{number}")
}

fn drain_request(host: String) -> DrainRequest {
    let (kind, by) = ("kernel".to_owned(), "ops".to_owned());
    DrainRequest { host, kind, by, duration: 1_000, not_before: 0, not_after: None, already_out: false }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(node + 1).expect("few nodes")], 7_000))
}

fn time_at(step: u8) -> Micros {
    10 * LEASE + Micros::from(step) * STEP
}

impl Fleet {
    fn new(mutation: Mutation, max_faults: u8, faults_between_messages: bool, has_disks: bool) -> Fleet {
        Fleet::with_nodes(VOTER_COUNT, mutation, max_faults, faults_between_messages, has_disks)
    }

    fn with_nodes(
        nodes: usize,
        mutation: Mutation,
        max_faults: u8,
        faults_between_messages: bool,
        has_disks: bool,
    ) -> Fleet {
        let mut first = World::new(ModelState {
            in_flight: BTreeMap::new(),
            free_since: BTreeMap::new(),
            returned: BTreeSet::new(),
            leader_ballots: BTreeSet::new(),
            disks: vec![None; nodes],
            autonomy_delay: Micros::MAX,
            // A fault may erase all disks at once. Restarted processes then wait, without a time limit, until
            // operators have declared which hosts are out of service.
            declaration_wait: if has_disks { Micros::MAX } else { 0 },
        });
        for node in 0..nodes {
            let machine = machine(mutation, node, &mut first, true);
            let time = time_at(first.step);
            first.nodes.push(if has_disks { machine.with_persistence(time, None, 0) } else { machine });
        }
        let (duration_steps, fault_kinds, fault_targets, mute_node) =
            (if has_disks { 12 } else { 3 }, LastingFault::ALL, (0..nodes).collect(), None);
        let mut fleet = Fleet {
            mutation,
            max_faults,
            faults_between_messages,
            has_disks,
            duration_steps,
            fault_kinds,
            fault_targets,
            mute_node,
            first,
        };
        let mut world = fleet.first.clone();
        // Every history starts after these 30 steps, in which the voters elect a leader, operators declare the
        // empty schedule complete, and the leader admits all processes.
        for _ in 0..30 {
            world = fleet.next(&world, Fault::Nothing);
            if let Some(leader) =
                (0..world.nodes.len()).find(|n| world.nodes[*n].leading_ballot(time_at(world.step)).is_some())
            {
                fleet.submit_command(&mut world, leader, Command::DeclareRecovered { by: "ops".to_owned() });
            }
        }
        assert!(world.nodes.iter().all(|n| n.admission_status() == AdmissionStatus::Admitted), "{world:?}");
        for number in 0..2 {
            fleet.submit_command(&mut world, number, Command::Request(drain_request(host_name(number))));
        }
        let call_at = |node| ((node, host_name(0)), 3);
        world.environment.in_flight = BTreeMap::from([call_at(1), call_at(2)]);
        fleet.first = world;
        fleet
    }

    fn facts(&self, world: &World, of: usize) -> Facts {
        let fact = HostStatus {
            zone: "z".to_owned(),
            pod: 0,
            ready: true,
            failing: false,
            warmth: 1_000,
            weight: 1_000,
        };
        let presence =
            |node| if world.is_unheard(of, node) { Presence::Unreachable } else { Presence::Alive };
        Facts {
            members: world.member_statuses(of, presence),
            participates: true,
            application: HostFacts {
                hosts: (0..2).map(|number| (host_name(number), fact.clone())).collect(),
                lost_zones: BTreeSet::new(),
            },
        }
    }

    fn submit_command(&self, world: &mut World, node: usize, command: Command) {
        let (facts, time) = (self.facts(world, node), time_at(world.step));
        let mut random = FixedRandom::for_node(node);
        let mut context = Context { now: time, facts: &facts, random: &mut random };
        // Dropping the effects loses the message that carries the command to the leader, so the process must
        // send the command again.
        world.nodes[node].submit(&mut context, time + node as u64, command, 20 * LEASE, &mut Vec::new());
    }

    /// Returns the time by a node's own clock. [`Mutation::StopFrozenClock`] stops that clock while the node
    /// is frozen.
    fn local_time(&self, world: &World, node: usize) -> Micros {
        match world.active_fault {
            Some(ActiveFault { node: frozen, kind: LastingFault::Frozen, steps_left })
                if frozen == node && self.mutation == Mutation::StopFrozenClock =>
            {
                time_at(world.step.saturating_sub(FAULT_STEPS - steps_left))
            }
            _ => time_at(world.step),
        }
    }

    /// Returns a message as its recipient gets it, altered if the mutation concerns messages of this kind.
    fn mutate_message(&self, world: &World, to: usize, mut message: Message) -> Message {
        match (&mut message, self.mutation) {
            (Message::Renew(renewal), Mutation::AssumeConfirmed) => {
                renewal.version = world.nodes[to].local_replica().state().version.clone();
            }
            (Message::StateUpdate { state }, Mutation::AcceptOldState) => {
                let own = &world.nodes[to].local_replica().state().version;
                if state.version < *own {
                    state.version = own.clone();
                }
            }
            (Message::RecoveryReply(reply), Mutation::HidePeers) => {
                reply.status.peers_with_complete_state.clear()
            }
            (Message::RecoveryReply(reply), Mutation::ForgeEmptyState) => {
                reply.state = reply.state.take().map(|_| Versioned::default());
                reply.status.has_complete_state = true;
            }
            (Message::RecoveryReply(reply), Mutation::HideRecoveryStatus) => {
                let status = &mut reply.status;
                (status.voter, status.has_complete_state, status.has_lease) = (None, false, false);
                status.peers_with_complete_state.clear();
            }
            _ => {}
        }
        message
    }

    fn check_invariants(&self, world: &mut World) {
        let mut violation = None;
        for node in 0..world.nodes.len() {
            for drain in &world.nodes[node].state().drains {
                if drain.is_free
                    && drain.stage == Stage::OutOfService
                    && !world.environment.returned.contains(&drain.request.host)
                {
                    world.environment.free_since.entry(drain.request.host.clone()).or_insert(world.step);
                }
            }
        }
        let leading: Vec<&Ballot> = (0..world.nodes.len())
            .filter_map(|n| world.nodes[n].leading_ballot(self.local_time(world, n)))
            .collect();
        if leading.len() > 1 {
            violation = Some("two processes lead at the same time");
        }
        let highest_ballot = world.environment.leader_ballots.last();
        if leading
            .iter()
            .any(|b| !world.environment.leader_ballots.contains(b) && highest_ballot.is_some_and(|h| h > b))
        {
            violation = Some("a new leader has a lower ballot than an earlier one");
        }
        world.environment.leader_ballots.extend(leading.into_iter().cloned().collect::<Vec<_>>());
        let hosts_out =
            world.environment.free_since.keys().filter(|host| !world.environment.returned.contains(*host));
        if hosts_out.clone().count() > 1 {
            violation = Some("more hosts are out of service than the limit");
        }
        for host in hosts_out {
            for node in (0..world.nodes.len()).filter(|node| !world.is_frozen(*node)) {
                if self.may_send_to(world, node, host) {
                    violation = Some("a call may be sent to a host that was reported free");
                }
                let until = world.environment.in_flight.get(&(node, host.clone())).copied().unwrap_or(0);
                if world.step < until + self.first.step && until > 0 {
                    violation = Some("a call is in flight at a host that was reported free");
                }
            }
        }
        world.violation = world.violation.or(violation);
    }

    fn may_send_to(&self, world: &World, node: usize, host: &str) -> bool {
        let (machine, time) = (&world.nodes[node], time_at(world.step));
        let may = |from: Option<Micros>| from.is_none_or(|from| time < from);
        let from = excluded_hosts(machine)
            .into_iter()
            .find(|excluded| excluded.host == host)
            .map(|excluded| excluded.from);
        match self.mutation {
            Mutation::IgnoreLeaseExpiry => {
                machine.admission_status() != AdmissionStatus::Pending && from != Some(0)
            }
            Mutation::SendBeforeAdmission => may(from),
            _ => may_send(machine, time, host),
        }
    }

    fn restart(&self, world: &mut World, node: usize, restart_state: DiskState) {
        let fresh = machine(self.mutation, node, world, false);
        let on_disk = world.environment.disks[node].clone().filter(|_| restart_state != DiskState::AllLost);
        let on_disk = match restart_state {
            DiskState::Outdated => self.first.environment.disks[node].clone(),
            DiskState::FirstLost if node == 0 => None,
            DiskState::FirstUndetectablyOutdated if node == 0 => {
                self.first.environment.disks[node].clone().map(|(_, memory)| (world.step, memory))
            }
            _ => on_disk,
        };
        let (loaded, time) = (self.load_snapshot(world, on_disk), time_at(world.step));
        world.nodes[node] = if self.has_disks { fresh.with_persistence(time, loaded, 0) } else { fresh };
        if self.mutation == Mutation::SkipQuarantine {
            self.handle_event(world, node, None);
            for other in (0..world.nodes.len()).filter(|other| *other != node) {
                let forged = Message::VoterRecoveryResponse(Box::new(VoterRecoveryResponse {
                    nonce: 1,
                    recovery: RecoveryState::Recovered,
                    promised: None,
                    lease_left: 0,
                    roster: Roster::default(),
                    state: Versioned::default(),
                }));
                self.handle_event(world, node, Some((other, forged)));
            }
        }
        // Calls of the crashed process end when it crashes.
        world.environment.in_flight.retain(|(who, _), _| *who != node);
    }

    /// Acts for the operators after a loss of the schedule: requests drains of the hosts that are out of
    /// service, then declares the schedule complete. Does nothing while a lasting fault is active.
    fn restore_schedule(&self, world: &mut World) {
        let time = time_at(world.step);
        let state_lost = |node: &usize| view(&world.nodes[*node], time).lease.is_state_lost;
        let Some(node) = (0..world.nodes.len()).find(state_lost).filter(|_| world.active_fault.is_none())
        else {
            return;
        };
        let hosts_out: Vec<String> = world
            .environment
            .free_since
            .keys()
            .filter(|h| !world.environment.returned.contains(*h))
            .cloned()
            .collect();
        for host in &hosts_out {
            if world.nodes[node]
                .state()
                .drain_for_host(host)
                .is_none_or(|drain| drain.stage < Stage::OutOfService)
            {
                self.submit_command(
                    world,
                    node,
                    Command::Request(DrainRequest { already_out: true, ..drain_request(host.clone()) }),
                );
            }
        }
        self.submit_command(world, node, Command::DeclareRecovered { by: "ops".to_owned() });
    }

    /// Returns the number of steps in which faults may begin. It is longer for
    /// [`Mutation::ConfirmBeforeWrite`], so that the processes can also restart during the second drain.
    fn fault_window_steps(&self) -> u8 {
        if self.mutation == Mutation::ConfirmBeforeWrite {
            2 * FAULT_WINDOW_STEPS
        } else {
            FAULT_WINDOW_STEPS
        }
    }

    /// Acts for the operators: restores a lost schedule, repeats drain requests that may have been lost, and
    /// ends the maintenance of each free host after its duration.
    fn run_operators(&self, world: &mut World) {
        self.restore_schedule(world);
        // A drain request may have been lost, so operators repeat it every ten steps until its host has been
        // reported free for maintenance.
        for (node, host) in (0..2).map(|n| (n, host_name(n))) {
            let is_not_free =
                !world.environment.free_since.contains_key(&host) && world.step.is_multiple_of(10);
            if is_not_free && !world.is_frozen(node) {
                self.submit_command(world, node, Command::Request(drain_request(host)));
            }
        }
        let finished_hosts: Vec<String> = world
            .environment
            .free_since
            .iter()
            .filter(|(h, at)| {
                world.step >= **at + self.duration_steps && !world.environment.returned.contains(*h)
            })
            .map(|(h, _)| h.clone())
            .collect();
        for host in finished_hosts {
            // From now on the invariants allow calls to the host, even before any process learns that its
            // maintenance has ended.
            world.environment.returned.insert(host);
        }
        for host in world.environment.returned.clone() {
            for node in 0..world.nodes.len() {
                let drain = world.nodes[node]
                    .state()
                    .drain_for_host(&host)
                    .filter(|drain| drain.stage == Stage::OutOfService);
                if let Some(drain_id) = drain.map(|drain| drain.id).filter(|_| !world.is_frozen(node)) {
                    self.submit_command(
                        world,
                        node,
                        Command::Complete { drain: drain_id, by: "ops".to_owned() },
                    );
                }
            }
        }
    }

    fn next(&self, world: &World, fault: Fault) -> World {
        self.run_step(world, fault).state
    }
}

impl flaxhead_rig::SystemModel for Fleet {
    type Application = Maintenance;
    type Environment = ModelState;
    type RestartState = DiskState;

    fn bounds(&self) -> Bounds<'_, DiskState> {
        let Fleet { max_faults, faults_between_messages, fault_targets, fault_kinds, .. } = self;
        let (first, faulty) = (self.first.step, self.fault_window_steps());
        let restart_states = if self.has_disks { DiskState::ALL } else { &[] };
        Bounds {
            first_step: first,
            max_faults: *max_faults,
            faults_between_messages: *faults_between_messages,
            faulty_nodes: fault_targets,
            lasting_kinds: fault_kinds,
            lasting_steps: FAULT_STEPS,
            restart_states,
            fault_steps: faulty,
            steps: HISTORY_STEPS,
        }
    }

    fn handle_event(
        &self,
        world: &mut World,
        node: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<Envelope<Maintenance>> {
        let facts = self.facts(world, node);
        let time = self.local_time(world, node);
        let mut random = FixedRandom::for_node(node);
        let mut context = Context { now: time, facts: &facts, random: &mut random };
        let mut effects = Vec::new();
        let host_usage = |number: usize| {
            let is_busy = world
                .environment
                .in_flight
                .get(&(node, host_name(number)))
                .is_some_and(|until| world.step < *until + self.first.step);
            (host_name(number), u32::from(is_busy && self.mutation != Mutation::HideCallsInFlight))
        };
        let calls_in_flight = (0..2).map(host_usage).collect();
        world.nodes[node]
            .application_mut()
            .set_usage(HostUsage { in_flight: calls_in_flight, load_millicalls: 0 });
        match message {
            None => world.nodes[node].tick(&mut context, &mut effects),
            Some((from, message)) => {
                let message = self.mutate_message(world, node, message);
                world.nodes[node].receive(&mut context, &node_name(from), message, &mut effects);
            }
        }
        if self.mutation == Mutation::ConfirmBeforeWrite {
            self.confirm_write(world, node, &mut effects);
        }
        self.check_and_send(world, node, effects)
    }

    fn crash(&self, world: &mut World, node: usize) {
        self.restart(world, node, DiskState::Latest);
    }

    fn restart_all(&self, world: &mut World, restart_state: DiskState) {
        (0..world.nodes.len()).for_each(|node| self.restart(world, node, restart_state));
        if matches!(restart_state, DiskState::AllLost | DiskState::Outdated) {
            // No process remembers the ballots of earlier leaders, so a new leader may have a lower ballot
            // than they had.
            world.environment.leader_ballots.clear();
        }
    }

    fn resume(&self, world: &mut World, _: usize) {
        self.check_invariants(world);
    }

    fn tick(&self, world: &mut World, node: usize) -> Vec<Envelope<Maintenance>> {
        let mut envelopes = self.write_snapshot(world, node);
        envelopes.extend(self.handle_event(world, node, None));
        envelopes
    }

    fn after_ticks(&self, world: &mut World) {
        if self.first.step > 0 {
            self.run_operators(world);
        }
    }

    fn can_send(&self, world: &World, node: usize) -> bool {
        world.can_send(node) && self.mute_node != Some(node)
    }
}

fn machine(mutation: Mutation, node: usize, world: &mut World, first: bool) -> Machine {
    world.process_starts += 1;
    let voters = Voters::new((0..VOTER_COUNT).map(node_name).collect(), Vec::new()).expect("voters");
    let ModelState { autonomy_delay, declaration_wait, .. } = world.environment;
    let config = Config {
        lease_duration: LEASE,
        max_call_duration: 2 * STEP,
        autonomy_timeout: autonomy_delay,
        operator_timeout: declaration_wait,
        ..Config::default()
    };
    let mut scheduler = SchedulerConfig {
        max_recovery_time: STEP,
        max_drain_time: 100 * LEASE,
        ..SchedulerConfig::default()
    };
    if mutation == Mutation::RaiseLimits {
        scheduler.limits.max_total = 2;
        (scheduler.limits.max_per_zone, scheduler.limits.max_per_pod) = (2, 2);
    }
    let me = Process {
        name: node_name(node),
        incarnation: 100 * world.process_starts + node as u64,
        address: address(node),
    };
    let time = time_at(world.step);
    let started_at = if mutation == Mutation::SkipQuarantine && !first { time - 3 * LEASE } else { time };
    Machine::new(config, Maintenance::new(scheduler), voters, me, started_at)
}

impl Model for Fleet {
    type State = World;
    type Action = Fault;

    fn init_states(&self) -> Vec<World> {
        vec![self.first.clone()]
    }

    fn actions(&self, world: &World, faults: &mut Vec<Fault>) {
        flaxhead_rig::SystemModel::list_faults(self, world, faults);
    }

    fn next_state(&self, world: &World, fault: Fault) -> Option<World> {
        Some(self.next(world, fault))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("all invariants hold", |_, world: &World| world.violation.is_none()),
            Property::always(
                "both drains complete once the faults have ended",
                |fleet: &Fleet, world: &World| {
                    world.step < fleet.first.step + HISTORY_STEPS || world.environment.returned.len() == 2
                },
            ),
        ]
    }
}

fn check_model(
    mutation: Mutation,
    max_faults: u8,
    faults_between_messages: bool,
) -> (u64, Vec<&'static str>) {
    check_fleet(Fleet::new(mutation, max_faults, faults_between_messages, false))
}

fn check_fleet(fleet: Fleet) -> (u64, Vec<&'static str>) {
    let mutation = fleet.mutation;
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = fleet.checker().threads(threads).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if mutation == Mutation::Unmodified {
            let faults: Vec<Fault> = path.clone().into_actions();
            let last = path.last_state().clone();
            let faults: Vec<(usize, &Fault)> =
                faults.iter().enumerate().filter(|(_, a)| **a != Fault::Nothing).collect();
            println!("{name}: {faults:?}\n{:?}, {:?}", last.violation, last.environment.free_since);
            for node in &last.nodes {
                println!("{:?}", view(node, time_at(last.step)));
            }
        }
    }
    (checker.unique_state_count() as u64, checker.discoveries().into_keys().collect())
}

#[test]
fn one_fault_between_any_two_messages_violates_no_invariant_and_both_drains_complete() {
    let (states, violated) = check_model(Mutation::Unmodified, 1, true);
    println!("{states} states");
    assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
}

#[test]
fn two_faults_between_any_two_steps_violate_no_invariant_and_both_drains_complete() {
    let (states, violated) = check_model(Mutation::Unmodified, 2, false);
    println!("{states} states");
    assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
}

#[test]
fn every_mutation_violates_an_invariant() {
    let mutations = [
        (Mutation::AssumeConfirmed, 1, false),
        (Mutation::IgnoreLeaseExpiry, 1, true),
        (Mutation::SendBeforeAdmission, 1, false),
        (Mutation::HideCallsInFlight, 0, false),
        (Mutation::StopFrozenClock, 1, false),
        (Mutation::RaiseLimits, 0, false),
        (Mutation::AcceptOldState, 1, true),
    ];
    let mut undetected = Vec::new();
    for (mutation, max_faults, faults_between_messages) in mutations {
        let (states, violated) = check_model(mutation, max_faults, faults_between_messages);
        println!("{mutation:?}: {states} states, {violated:?}");
        undetected.extend((!violated.contains(&"all invariants hold")).then_some(mutation));
    }
    assert_eq!(undetected, []);
}

/// Checks histories that start after two faults: one voter has received nothing for longer than a lease, and
/// a second voter has crashed meanwhile. One more fault may follow.
fn check_after_two_faults(mutation: Mutation, has_disks: bool) -> (u64, Vec<&'static str>) {
    let mut fleet = Fleet::new(mutation, 3, true, has_disks);
    let leader = (0..VOTER_COUNT)
        .find(|n| fleet.first.nodes[*n].leading_ballot(time_at(fleet.first.step)).is_some())
        .expect("a leader");
    let others: Vec<usize> = (0..VOTER_COUNT).filter(|node| *node != leader).collect();
    let mut world = fleet
        .next(&fleet.first, Fault::Begin { node: others[0], kind: LastingFault::InboundBlocked, place: 0 });
    while world.active_fault.is_some_and(|fault| fault.steps_left > 2) {
        world = fleet.next(&world, Fault::Nothing);
    }
    fleet.first = fleet.next(&world, Fault::Crash { node: others[1], place: 0 });
    check_fleet(fleet)
}

#[test]
fn a_restarted_voter_abstains_until_its_lost_promise_has_expired() {
    // With a disk, the restarted voter restores the state that it wrote last, but no promise that it made
    // after that write.
    for disks in [false, true] {
        let (states, violated) = check_after_two_faults(Mutation::Unmodified, disks);
        println!("{states} states");
        assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
        let (states, violated) = check_after_two_faults(Mutation::SkipQuarantine, disks);
        assert!(violated.contains(&"all invariants hold"), "{states} states");
    }
}

/// Creates a fleet in which all voters have restarted without their state in one step, while a host is out of
/// service.
fn fleet_without_voter_state(nodes: usize, mutation: Mutation, max_faults: u8) -> Fleet {
    let mut fleet = Fleet::with_nodes(nodes, mutation, max_faults, true, false);
    fleet.duration_steps = 30;
    fleet.first.environment.in_flight.clear();
    let mut world = fleet.first.clone();
    while world.environment.free_since.is_empty() {
        world = fleet.next(&world, Fault::Nothing);
    }
    for voter in 0..VOTER_COUNT {
        fleet.restart(&mut world, voter, DiskState::AllLost);
    }
    // If there is one process besides the voters, only that process still has the schedule, so no fault may
    // affect it.
    fleet.fault_targets = (0..if nodes == VOTER_COUNT + 1 { VOTER_COUNT } else { nodes }).collect();
    fleet.first = world;
    fleet
}

#[test]
fn non_voters_preserve_the_schedule_when_all_voters_lose_their_state() {
    for nodes in [VOTER_COUNT + 1, VOTER_COUNT + 2] {
        let (states, violated) = check_fleet(fleet_without_voter_state(nodes, Mutation::Unmodified, 1));
        println!("{nodes}: {states} states");
        assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
    }
    for mutation in [Mutation::HidePeers, Mutation::ForgeEmptyState] {
        let (states, violated) = check_fleet(fleet_without_voter_state(VOTER_COUNT + 1, mutation, 1));
        assert!(violated.contains(&"all invariants hold"), "{mutation:?}: {states} states");
    }
}

/// Creates a fleet with a host out of service and an autonomy timeout shorter than a lasting fault, so that a
/// restarted process may reach its autonomy timeout while it waits for a frozen leader to admit it.
fn fleet_with_delayed_admission(mutation: Mutation) -> Fleet {
    let mut fleet = Fleet::with_nodes(VOTER_COUNT, mutation, 2, false, false);
    fleet.duration_steps = 30;
    fleet.fault_kinds = &[LastingFault::Frozen];
    fleet.first.environment.in_flight.clear();
    let mut world = fleet.first.clone();
    while world.environment.free_since.is_empty() {
        world = fleet.next(&world, Fault::Nothing);
    }
    world.environment.autonomy_delay = 8 * STEP;
    fleet.first = world;
    fleet
}

#[test]
fn a_process_awaiting_admission_sends_nothing_to_hosts_that_others_know_to_be_out() {
    let (states, violated) = check_fleet(fleet_with_delayed_admission(Mutation::Unmodified));
    println!("{states} states");
    assert!(violated.is_empty() && states > 1_000, "{states} {violated:?}");
    for mutation in [Mutation::HideRecoveryStatus, Mutation::ForgeEmptyState] {
        let (states, violated) = check_fleet(fleet_with_delayed_admission(mutation));
        assert!(violated.contains(&"all invariants hold"), "{mutation:?}: {states} states");
    }
}

#[test]
fn the_next_drain_waits_for_a_running_process_that_is_not_admitted() {
    let both_drains_complete = |mute_node: Option<usize>| {
        let mut fleet = fleet_without_voter_state(VOTER_COUNT + 1, Mutation::Unmodified, 0);
        (fleet.duration_steps, fleet.mute_node) = (1, mute_node);
        let end = (0..HISTORY_STEPS).fold(fleet.first.clone(), |world, _| fleet.next(&world, Fault::Nothing));
        end.environment.returned.len() == 2
    };
    assert!(both_drains_complete(None));
    assert!(
        !both_drains_complete(Some(VOTER_COUNT)),
        "the process may send to the next host, and has not confirmed otherwise"
    );
}
