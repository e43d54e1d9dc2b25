//! Three voters, two hosts, one of which may be out at a time: checked exhaustively on the real machines over every
//! place at which a message is lost or comes again later, a process crashes and forgets, freezes for longer than its
//! lease, or is cut off in one direction or both. A step is a sixth of a lease in which all that is sent arrives, but for
//! what the fault takes; so a fault falls between any two messages.

mod disks;

use disks::Found;
use flaxhead_lease::{
    AdmissionStatus, Ballot, Config, Micros, Name, PersistentState, Presence, Process, RecoveryState, Roster,
    Versioned, VoterRecoveryResponse, Voters,
};
use flaxhead_maintenance::{
    excluded_hosts, may_send, view, Command, Context, DrainRequest, Effect, ExcludedHost, Facts, HostFact,
    HostFacts, HostUsage, Machine, Maintenance, Message, SchedulerConfig, Stage,
};
use flaxhead_rig::{ActiveFault, Bounds, Envelope, FixedRandom, LastingFault, SystemModel as _};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const VOTERS: usize = 3;
const LEASE: Micros = 600;
const STEP: Micros = 100;
/// Steps of a fault that lasts: longer than a lease, and than the silence of a restarted voter.
const LASTS: u8 = 9;
/// Steps in which faults may begin, and those after which both hosts must have been out and back.
const FAULTY: u8 = 14;
const ENDS: u8 = 80;
/// A rule that is taken out, to see that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// A restarted voter votes at once, as if it had forgotten nothing: it neither stays silent nor asks the others.
    Silence,
    /// The holder takes everybody's word for confirmed.
    AllConfirm,
    /// A proxy that hears nobody sends on.
    PermissionEnds,
    /// A restarted proxy sends before it is let in.
    AsksFirst,
    /// The holder is not told what is in hand.
    Drains,
    /// A holder's clock stands still while it is frozen.
    LeaseEnds,
    /// The proxies go by other limits than the operators.
    Limits,
    /// An older board counts where it comes late.
    Newest,
    /// What is on a disk is believed however old it is.
    Age,
    /// A board is confirmed before it is on the disk.
    Durable,
    /// Nobody says that there are others that know what is out.
    Named,
    /// One that waits goes by no board of another.
    Shown,
    /// After a while one that waits serves, whoever it hears.
    Alone,
}

/// What there is beside the processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Work {
    /// Calls in hand, by node and host, until a step.
    in_hand: BTreeMap<(usize, String), u8>,
    /// Hosts that an operator was told are free, and with which step.
    free: BTreeMap<String, u8>,
    back: BTreeSet<String>,
    fences: BTreeSet<Ballot>,
    /// What is on each disk, and since which step: what a process knew at the step's beginning.
    disks: Vec<Option<(u8, PersistentState<Maintenance>)>>,
    alone_after: Micros,
    known_wait: Micros,
}

type World = flaxhead_rig::SystemState<Maintenance, Work>;
type Fault = flaxhead_rig::Fault<Found>;

struct Fleet {
    broken: Broken,
    /// Faults in one history.
    faults: u8,
    /// Faults fall between any two messages, not only between steps.
    fine: bool,
    /// Processes go by disks.
    disks: bool,
    /// Steps that work takes.
    works: u8,
    kinds: &'static [LastingFault],
    /// Nodes that faults befall.
    hit: Vec<usize>,
    /// One that nobody hears, though the membership has it that it runs.
    mute: Option<usize>,
    first: World,
}

fn name(node: usize) -> Name {
    Name::new(&format!("n{node}")).expect("a name")
}

fn host(number: usize) -> String {
    format!("h{number}")
}

fn ask(host: String) -> DrainRequest {
    let (kind, by) = ("kernel".to_owned(), "ops".to_owned());
    DrainRequest { host, kind, by, duration: 1_000, not_before: 0, not_after: None, already_out: false }
}

fn at(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(node + 1).expect("few nodes")], 7_000))
}

fn now(step: u8) -> Micros {
    10 * LEASE + Micros::from(step) * STEP
}

impl Fleet {
    fn new(broken: Broken, faults: u8, fine: bool, disks: bool) -> Fleet {
        Fleet::of(VOTERS, broken, faults, fine, disks)
    }

    fn of(nodes: usize, broken: Broken, faults: u8, fine: bool, disks: bool) -> Fleet {
        let mut first = World::new(Work {
            in_hand: BTreeMap::new(),
            free: BTreeMap::new(),
            back: BTreeSet::new(),
            fences: BTreeSet::new(),
            disks: vec![None; nodes],
            alone_after: Micros::MAX,
            // With disks all may forget at once: then the operators are waited for.
            known_wait: if disks { Micros::MAX } else { 0 },
        });
        for node in 0..nodes {
            let machine = machine(broken, node, &mut first, true);
            let time = now(first.step);
            first.nodes.push(if disks { machine.with_persistence(time, None, 0) } else { machine });
        }
        let (works, kinds, hit, mute) =
            (if disks { 12 } else { 3 }, LastingFault::ALL, (0..nodes).collect(), None);
        let mut fleet = Fleet { broken, faults, fine, disks, works, kinds, hit, mute, first };
        let mut world = fleet.first.clone();
        // Until one holds, all are let in and the operators have said that nothing is out yet.
        for _ in 0..30 {
            world = fleet.next(&world, Fault::Nothing);
            if let Some(holder) =
                (0..world.nodes.len()).find(|n| world.nodes[*n].leading_ballot(now(world.step)).is_some())
            {
                fleet.order(&mut world, holder, Command::DeclareRecovered { by: "ops".to_owned() });
            }
        }
        assert!(world.nodes.iter().all(|n| n.admission_status() == AdmissionStatus::Admitted), "{world:?}");
        for number in 0..2 {
            fleet.order(&mut world, number, Command::Request(ask(host(number))));
        }
        let held = |node| ((node, host(0)), 3);
        world.environment.in_hand = BTreeMap::from([held(1), held(2)]);
        fleet.first = world;
        fleet
    }

    fn facts(&self, world: &World, of: usize) -> Facts {
        let fact = HostFact {
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
                hosts: (0..2).map(|number| (host(number), fact.clone())).collect(),
                lost_zones: BTreeSet::new(),
            },
        }
    }

    fn order(&self, world: &mut World, node: usize, order: Command) {
        let (facts, time) = (self.facts(world, node), now(world.step));
        let mut random = FixedRandom::for_node(node);
        let mut around = Context { now: time, facts: &facts, random: &mut random };
        // What it sends is lost; it is sent again.
        world.nodes[node].submit(&mut around, time + node as u64, order, 20 * LEASE, &mut Vec::new());
    }

    /// The time as a node sees it.
    fn time(&self, world: &World, node: usize) -> Micros {
        match world.active_fault {
            Some(ActiveFault { node: frozen, kind: LastingFault::Frozen, steps_left })
                if frozen == node && self.broken == Broken::LeaseEnds =>
            {
                now(world.step.saturating_sub(LASTS - steps_left))
            }
            _ => now(world.step),
        }
    }

    /// What a broken rule makes of a message.
    fn tampered(&self, world: &World, to: usize, mut message: Message) -> Message {
        match (&mut message, self.broken) {
            (Message::Renew(renewal), Broken::AllConfirm) => {
                renewal.version = world.nodes[to].local_replica().state().version.clone();
            }
            (Message::StateUpdate { state }, Broken::Newest) => {
                let own = &world.nodes[to].local_replica().state().version;
                if state.version < *own {
                    state.version = own.clone();
                }
            }
            (Message::RecoveryReply(reply), Broken::Named) => reply.status.peers_with_complete_state.clear(),
            (Message::RecoveryReply(reply), Broken::Shown) => {
                reply.state = reply.state.take().map(|_| Versioned::default());
                reply.status.has_complete_state = true;
            }
            (Message::RecoveryReply(reply), Broken::Alone) => {
                let status = &mut reply.status;
                (status.voter, status.has_complete_state, status.has_lease) = (None, false, false);
                status.peers_with_complete_state.clear();
            }
            _ => {}
        }
        message
    }

    fn judge(&self, world: &mut World) {
        let mut wrong = None;
        for node in 0..world.nodes.len() {
            for turn in &world.nodes[node].state().drains {
                if turn.is_free
                    && turn.stage == Stage::OutOfService
                    && !world.environment.back.contains(&turn.request.host)
                {
                    world.environment.free.entry(turn.request.host.clone()).or_insert(world.step);
                }
            }
        }
        let holding: Vec<&Ballot> = (0..world.nodes.len())
            .filter_map(|n| world.nodes[n].leading_ballot(self.time(world, n)))
            .collect();
        if holding.len() > 1 {
            wrong = Some("two hold at once");
        }
        let highest = world.environment.fences.last();
        if holding.iter().any(|b| !world.environment.fences.contains(b) && highest.is_some_and(|h| h > b)) {
            wrong = Some("a fence went back");
        }
        world.environment.fences.extend(holding.into_iter().cloned().collect::<Vec<_>>());
        let out = world.environment.free.keys().filter(|host| !world.environment.back.contains(*host));
        if out.clone().count() > 1 {
            wrong = Some("more out than may be");
        }
        for host in out {
            for node in (0..world.nodes.len()).filter(|node| !world.is_frozen(*node)) {
                if self.sends(world, node, host) {
                    wrong = Some("something new is sent to a host that was told free");
                }
                let until = world.environment.in_hand.get(&(node, host.clone())).copied().unwrap_or(0);
                if world.step < until + self.first.step && until > 0 {
                    wrong = Some("something runs at a host that was told free");
                }
            }
        }
        world.violation = world.violation.or(wrong);
    }

    fn sends(&self, world: &World, node: usize, host: &str) -> bool {
        let (machine, time) = (&world.nodes[node], now(world.step));
        let may = |from: Option<Micros>| from.is_none_or(|from| time < from);
        let from = excluded_hosts(machine)
            .into_iter()
            .find(|excluded| excluded.host == host)
            .map(|excluded| excluded.from);
        match self.broken {
            Broken::PermissionEnds => {
                machine.admission_status() != AdmissionStatus::Pending && from != Some(0)
            }
            Broken::AsksFirst => may(from),
            _ => may_send(machine, time, host),
        }
    }

    fn start_again(&self, world: &mut World, node: usize, found: Found) {
        let fresh = machine(self.broken, node, world, false);
        let on_disk = world.environment.disks[node].clone().filter(|_| found != Found::Lost);
        let on_disk = match found {
            Found::Old => self.first.environment.disks[node].clone(),
            Found::OneLost if node == 0 => None,
            Found::OneOldYetFresh if node == 0 => {
                self.first.environment.disks[node].clone().map(|(_, memory)| (world.step, memory))
            }
            _ => on_disk,
        };
        let (taken, time) = (self.judged(world, on_disk), now(world.step));
        world.nodes[node] = if self.disks { fresh.with_persistence(time, taken, 0) } else { fresh };
        if self.broken == Broken::Silence {
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
        // What it had in hand is gone with it.
        world.environment.in_hand.retain(|(who, _), _| *who != node);
    }

    /// Where the proxies have forgotten and all of them are there again, the operators say what is out, and that it is
    /// all.
    fn remember(&self, world: &mut World) {
        let time = now(world.step);
        let forgot = |node: &usize| view(&world.nodes[*node], time).lease.is_state_lost;
        let Some(node) = (0..world.nodes.len()).find(forgot).filter(|_| world.active_fault.is_none()) else {
            return;
        };
        let out: Vec<String> =
            world.environment.free.keys().filter(|h| !world.environment.back.contains(*h)).cloned().collect();
        for host in &out {
            if world.nodes[node].state().of_host(host).is_none_or(|turn| turn.stage < Stage::OutOfService) {
                self.order(
                    world,
                    node,
                    Command::Request(DrainRequest { already_out: true, ..ask(host.clone()) }),
                );
            }
        }
        self.order(world, node, Command::DeclareRecovered { by: "ops".to_owned() });
    }

    /// Steps in which faults may begin: where a word is not held back, up to a turn that takes no longer than a write.
    fn faulty(&self) -> u8 {
        if self.broken == Broken::Durable {
            2 * FAULTY
        } else {
            FAULTY
        }
    }

    /// Work that was told free is done some steps later, wherever that is heard.
    fn operators(&self, world: &mut World) {
        self.remember(world);
        // Whoever waits asks again.
        for (node, host) in (0..2).map(|n| (n, host(n))) {
            let unseen = !world.environment.free.contains_key(&host) && world.step.is_multiple_of(10);
            if unseen && !world.is_frozen(node) {
                self.order(world, node, Command::Request(ask(host)));
            }
        }
        let ready: Vec<String> = world
            .environment
            .free
            .iter()
            .filter(|(h, at)| world.step >= **at + self.works && !world.environment.back.contains(*h))
            .map(|(h, _)| h.clone())
            .collect();
        for host in ready {
            // The host serves from here on, whenever the proxies hear of it.
            world.environment.back.insert(host);
        }
        for host in world.environment.back.clone() {
            for node in 0..world.nodes.len() {
                let turn =
                    world.nodes[node].state().of_host(&host).filter(|turn| turn.stage == Stage::OutOfService);
                if let Some(turn) = turn.map(|turn| turn.id).filter(|_| !world.is_frozen(node)) {
                    self.order(world, node, Command::Complete { drain: turn, by: "ops".to_owned() });
                }
            }
        }
    }

    fn next(&self, world: &World, fault: Fault) -> World {
        self.run_step(world, fault).world
    }
}

impl flaxhead_rig::SystemModel for Fleet {
    type Application = Maintenance;
    type Environment = Work;
    type RestartState = Found;

    fn bounds(&self) -> Bounds<'_, Found> {
        let Fleet { faults, fine, hit, kinds, .. } = self;
        let (first, faulty) = (self.first.step, self.faulty());
        let restart_states = if self.disks { Found::ALL } else { &[] };
        Bounds {
            first_step: first,
            max_faults: *faults,
            faults_between_messages: *fine,
            faulty_nodes: hit,
            lasting_kinds: kinds,
            lasting_steps: LASTS,
            restart_states,
            fault_steps: faulty,
            steps: ENDS,
        }
    }

    fn handle_event(
        &self,
        world: &mut World,
        node: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<Envelope<Maintenance>> {
        let facts = self.facts(world, node);
        let time = self.time(world, node);
        let mut random = FixedRandom::for_node(node);
        let mut around = Context { now: time, facts: &facts, random: &mut random };
        let mut out = Vec::new();
        let in_hand = |number: usize| {
            let held = world
                .environment
                .in_hand
                .get(&(node, host(number)))
                .is_some_and(|until| world.step < *until + self.first.step);
            (host(number), u32::from(held && self.broken != Broken::Drains))
        };
        let in_hand = (0..2).map(in_hand).collect();
        world.nodes[node].application_mut().set_usage(HostUsage { in_flight: in_hand, load: 0 });
        match message {
            None => world.nodes[node].tick(&mut around, &mut out),
            Some((from, message)) => {
                let message = self.tampered(world, node, message);
                world.nodes[node].receive(&mut around, &name(from), message, &mut out);
            }
        }
        if self.broken == Broken::Durable {
            self.confirm(world, node, &mut out);
        }
        self.sent(world, node, out)
    }

    fn crash(&self, world: &mut World, node: usize) {
        self.start_again(world, node, Found::Last);
    }

    fn restart_all(&self, world: &mut World, found: Found) {
        (0..world.nodes.len()).for_each(|node| self.start_again(world, node, found));
        if matches!(found, Found::Lost | Found::Old) {
            // Nobody is left that knows of any number.
            world.environment.fences.clear();
        }
    }

    fn resume(&self, world: &mut World, _: usize) {
        self.judge(world);
    }

    fn tick(&self, world: &mut World, node: usize) -> Vec<Envelope<Maintenance>> {
        let mut out = self.write(world, node);
        out.extend(self.handle_event(world, node, None));
        out
    }

    fn after_ticks(&self, world: &mut World) {
        if self.first.step > 0 {
            self.operators(world);
        }
    }

    fn can_send(&self, world: &World, node: usize) -> bool {
        world.can_send(node) && self.mute != Some(node)
    }
}

fn machine(broken: Broken, node: usize, world: &mut World, first: bool) -> Machine {
    world.process_starts += 1;
    let voters = Voters::new((0..VOTERS).map(name).collect(), Vec::new()).expect("voters");
    let Work { alone_after, known_wait, .. } = world.environment;
    let config = Config {
        lease_duration: LEASE,
        max_call_duration: 2 * STEP,
        autonomy_timeout: alone_after,
        operator_timeout: known_wait,
        ..Config::default()
    };
    let mut rules = SchedulerConfig {
        max_recovery_time: STEP,
        max_drain_time: 100 * LEASE,
        ..SchedulerConfig::default()
    };
    if broken == Broken::Limits {
        rules.limits.max_total = 2;
        (rules.limits.max_per_zone, rules.limits.max_per_pod) = (2, 2);
    }
    let me = Process {
        name: name(node),
        incarnation: 100 * world.process_starts + node as u64,
        address: at(node),
    };
    let time = now(world.step);
    let begun = if broken == Broken::Silence && !first { time - 3 * LEASE } else { time };
    Machine::new(config, Maintenance::new(rules), voters, me, begun)
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
            Property::always("nothing is wrong", |_, world: &World| world.violation.is_none()),
            Property::always(
                "both hosts had their turn once faults ended",
                |fleet: &Fleet, world: &World| {
                    world.step < fleet.first.step + ENDS || world.environment.back.len() == 2
                },
            ),
        ]
    }
}

fn check(broken: Broken, faults: u8, fine: bool) -> (u64, Vec<&'static str>) {
    check_from(Fleet::new(broken, faults, fine, false))
}

fn check_from(fleet: Fleet) -> (u64, Vec<&'static str>) {
    let broken = fleet.broken;
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = fleet.checker().threads(threads).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if broken == Broken::Nothing {
            let faults: Vec<Fault> = path.clone().into_actions();
            let last = path.last_state().clone();
            let faults: Vec<(usize, &Fault)> =
                faults.iter().enumerate().filter(|(_, a)| **a != Fault::Nothing).collect();
            println!("{name}: {faults:?}\n{:?}, {:?}", last.violation, last.environment.free);
            for node in &last.nodes {
                println!("{:?}", view(node, now(last.step)));
            }
        }
    }
    (checker.unique_state_count() as u64, checker.discoveries().into_keys().collect())
}

#[test]
fn one_fault_between_any_two_messages_breaks_nothing_and_both_hosts_get_their_turn() {
    let (states, found) = check(Broken::Nothing, 1, true);
    println!("{states} states");
    assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
}

#[test]
fn two_faults_between_any_two_steps_break_nothing_and_both_hosts_get_their_turn() {
    let (states, found) = check(Broken::Nothing, 2, false);
    println!("{states} states");
    assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
}

#[test]
fn a_rule_that_is_taken_out_is_missed() {
    let rules = [
        (Broken::AllConfirm, 1, false),
        (Broken::PermissionEnds, 1, true),
        (Broken::AsksFirst, 1, false),
        (Broken::Drains, 0, false),
        (Broken::LeaseEnds, 1, false),
        (Broken::Limits, 0, false),
        (Broken::Newest, 1, true),
    ];
    let mut missed = Vec::new();
    for (broken, faults, fine) in rules {
        let (states, found) = check(broken, faults, fine);
        println!("{broken:?}: {states} states, {found:?}");
        missed.extend((!found.contains(&"nothing is wrong")).then_some(broken));
    }
    assert_eq!(missed, []);
}

/// A voter that hears nobody for longer than its lease lasts, and one that forgets meanwhile: then one more fault.
fn after_two_faults(broken: Broken, disks: bool) -> (u64, Vec<&'static str>) {
    let mut fleet = Fleet::new(broken, 3, true, disks);
    let holder = (0..VOTERS)
        .find(|n| fleet.first.nodes[*n].leading_ballot(now(fleet.first.step)).is_some())
        .expect("a holder");
    let others: Vec<usize> = (0..VOTERS).filter(|node| *node != holder).collect();
    let mut world = fleet
        .next(&fleet.first, Fault::Begin { node: others[0], kind: LastingFault::InboundBlocked, place: 0 });
    while world.active_fault.is_some_and(|fault| fault.steps_left > 2) {
        world = fleet.next(&world, Fault::Nothing);
    }
    fleet.first = fleet.next(&world, Fault::Crash { node: others[1], place: 0 });
    check_from(fleet)
}

#[test]
fn a_voter_that_forgot_its_promise_is_silent_until_it_has_run_out() {
    // One that remembers all else from its disk, too.
    for disks in [false, true] {
        let (states, found) = after_two_faults(Broken::Nothing, disks);
        println!("{states} states");
        assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
        let (states, found) = after_two_faults(Broken::Silence, disks);
        assert!(found.contains(&"nothing is wrong"), "{states} states");
    }
}

/// All voters forget in one step while a host is out, and processes that are no voters live on: then one more fault.
fn after_all_voters_forgot(nodes: usize, broken: Broken, faults: u8) -> Fleet {
    let mut fleet = Fleet::of(nodes, broken, faults, true, false);
    fleet.works = 30;
    fleet.first.environment.in_hand.clear();
    let mut world = fleet.first.clone();
    while world.environment.free.is_empty() {
        world = fleet.next(&world, Fault::Nothing);
    }
    for voter in 0..VOTERS {
        fleet.start_again(&mut world, voter, Found::Lost);
    }
    // The only one that knows what is out must be heard.
    fleet.hit = (0..if nodes == VOTERS + 1 { VOTERS } else { nodes }).collect();
    fleet.first = world;
    fleet
}

#[test]
fn what_is_out_is_kept_by_those_that_are_no_voters_where_all_voters_forgot() {
    for nodes in [VOTERS + 1, VOTERS + 2] {
        let (states, found) = check_from(after_all_voters_forgot(nodes, Broken::Nothing, 1));
        println!("{nodes}: {states} states");
        assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
    }
    for broken in [Broken::Named, Broken::Shown] {
        let (states, found) = check_from(after_all_voters_forgot(VOTERS + 1, broken, 1));
        assert!(found.contains(&"nothing is wrong"), "{broken:?}: {states} states");
    }
}

/// One that is let in late, as the holder is frozen, where waiting has its end before that.
fn let_in_late(broken: Broken) -> Fleet {
    let mut fleet = Fleet::of(VOTERS, broken, 2, false, false);
    fleet.works = 30;
    fleet.kinds = &[LastingFault::Frozen];
    fleet.first.environment.in_hand.clear();
    let mut world = fleet.first.clone();
    while world.environment.free.is_empty() {
        world = fleet.next(&world, Fault::Nothing);
    }
    world.environment.alone_after = 8 * STEP;
    fleet.first = world;
    fleet
}

#[test]
fn one_that_waits_sends_nothing_to_what_is_out_while_others_live_that_know_it() {
    let (states, found) = check_from(let_in_late(Broken::Nothing));
    println!("{states} states");
    assert!(found.is_empty() && states > 1_000, "{states} {found:?}");
    for broken in [Broken::Alone, Broken::Shown] {
        let (states, found) = check_from(let_in_late(broken));
        assert!(found.contains(&"nothing is wrong"), "{broken:?}: {states} states");
    }
}

#[test]
fn the_next_host_waits_for_a_process_that_runs_and_is_not_let_in() {
    let both_went = |mute: Option<usize>| {
        let mut fleet = after_all_voters_forgot(VOTERS + 1, Broken::Nothing, 0);
        (fleet.works, fleet.mute) = (1, mute);
        let end = (0..ENDS).fold(fleet.first.clone(), |world, _| fleet.next(&world, Fault::Nothing));
        end.environment.back.len() == 2
    };
    assert!(both_went(None));
    assert!(!both_went(Some(VOTERS)), "nobody has heard from it whether it sends to the next host");
}
