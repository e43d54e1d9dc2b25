//! The processes, what is on the way between them, and what goes wrong; a step at a time.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use flaxhead_lease::{Ballot, NoCommand, Presence, RecoveryState, Voters};
use flaxhead_quota::{
    Allowance, Context, Facts, Machine, Message, Micros, Name, Process, QuotaApplication, QuotaConfig,
    QuotaTiming, Slot, TenantRegistry, TenantUsage, Usage,
};
use flaxhead_rig::{Bounds, Envelope, FixedRandom, LastingFault, SystemModel as _};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const VOTERS: usize = 3;
pub const LEASE: Micros = 600;
pub const STEP: Micros = 100;
/// Steps of a fault that lasts: longer than a lease, and than the silence of a restarted voter.
pub const LASTS: u8 = 13;
/// Steps in which faults may begin, and those after which the whole cap must be in use again.
pub const FAULTY: u8 = 10;
pub const ENDS: u8 = 80;
/// The step from which on the second proxy has calls, and the first has none.
pub const MOVES: u8 = 7;
/// A rule that is taken out, to see that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Nothing,
    /// A lowered grant is taken for confirmed once it was told, whatever the process says that it has.
    Confirmed,
    /// Calls in hand are not told.
    InHand,
    /// A leave that comes late counts like the newest.
    Fence,
    /// A grant has no end.
    Ends,
    /// A new holder takes it that nobody has anything.
    Learns,
    /// One that is not heard is taken to have ended.
    KeepsUnheard,
    /// Everybody has a seat.
    Seats,
    /// Voters that have forgotten count as if they remembered.
    Forgotten,
}

/// What there is beside the processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Calls {
    /// What the gates were told last.
    pub allowances: Vec<Allowance>,
    /// Calls in hand: of whom, and until when.
    pub calls: Vec<(usize, u8)>,
    /// The last that began to hold, as far as that was seen.
    pub begun: Option<Ballot>,
}

pub type World = flaxhead_rig::SystemState<QuotaApplication, Calls>;
pub type Fault = flaxhead_rig::Fault<NoCommand>;

/// Who takes part, and what there is for them.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// The voters come first; those after them only ask for leave.
    pub nodes: usize,
    /// Who has calls at first, and who has them from a step on.
    pub busy: [usize; 2],
    pub cap: u32,
    /// Calls that each of them has in its time.
    pub wants: u32,
    /// Processes that own parts are counted for.
    pub seats: u32,
    /// Steps that a call takes.
    pub call: u8,
}

/// Three voters, which are proxies themselves: one unit is the part of whoever has the one seat, the other is granted.
pub const VOTERS_ALONE: Site = Site { nodes: VOTERS, busy: [0, 1], cap: 2, wants: 2, seats: 1, call: 5 };
/// Two proxies beside the voters have all calls.
pub const TWO_BESIDE: Site = Site { nodes: VOTERS + 2, busy: [VOTERS, VOTERS + 1], ..VOTERS_ALONE };
/// The same, with a part for each process and two units that are granted.
pub const PARTS_FOR_ALL: Site = Site { cap: 7, wants: 3, seats: 5, ..TWO_BESIDE };

pub struct Fleet {
    pub broken: Broken,
    pub site: Site,
    /// Faults in one history.
    pub faults: u8,
    /// Faults fall between any two messages, not only between steps.
    pub fine: bool,
    /// Nodes that faults befall.
    pub hit: Vec<usize>,
    pub first: World,
}

/// Of those that start at once the first by name has the one seat: a proxy beside the voters, where there are any.
fn name(node: usize) -> Name {
    let kind = if node < VOTERS { "n" } else { "a" };
    Name::new(&format!("{kind}{node}")).expect("a name")
}

fn at(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node as u8 + 1], 7_000))
}

pub fn now(step: u8) -> Micros {
    10 * LEASE + Micros::from(step) * STEP
}

fn machine(site: &Site, node: usize, world: &mut World) -> Machine {
    world.process_starts += 1;
    let voters = Voters::new((0..VOTERS).map(name).collect(), Vec::new()).expect("voters");
    let terms = QuotaConfig {
        max_proxies: site.seats,
        caps: vec![format!("others {}", site.cap)],
        ..QuotaConfig::default()
    };
    let book = TenantRegistry::new(&terms, []).expect("terms");
    let longest_call = Micros::from(site.call) * STEP;
    let pace = QuotaTiming { lease: LEASE, max_call_duration: longest_call, autonomy_timeout: Micros::MAX };
    let me = Process {
        name: name(node),
        incarnation: 100 * world.process_starts + node as u64,
        address: at(node),
    };
    let time = now(world.step);
    Machine::new(QuotaApplication::config(&pace), QuotaApplication::new(time, book, pace), voters, me, time)
}

impl Fleet {
    pub fn new(site: Site, broken: Broken, faults: u8, fine: bool) -> Fleet {
        let allowances = vec![Allowance::default(); site.nodes];
        let mut world = World::new(Calls { allowances, calls: Vec::new(), begun: None });
        for node in 0..site.nodes {
            let machine = machine(&site, node, &mut world);
            world.nodes.push(machine);
        }
        let mut fleet = Fleet {
            broken: Broken::Nothing,
            site,
            faults,
            fine,
            hit: (0..site.nodes).collect(),
            first: world.clone(),
        };
        for _ in 0..40 {
            world = fleet.run_step(&world, Fault::Nothing).world;
        }
        // Three that start at once, where nobody remembers anything, each take the one seat until a holder has answered.
        let early = (site.seats == 1).then_some("more have a seat than there are");
        assert!(world.violation.take() == early && usable(&world) == site.cap, "{world:?}");
        (fleet.first, fleet.broken) = (world, broken);
        fleet
    }

    /// Faults befall none but the one that holds at first, and the one that has calls at first.
    pub fn spare_others(mut self) -> Fleet {
        let holds = |node: &usize| self.first.nodes[*node].leading_ballot(now(self.first.step)).is_some();
        let is_hit = |node: &usize| holds(node) || *node == self.site.busy[0];
        self.hit = (0..self.site.nodes).filter(is_hit).collect();
        self
    }

    fn facts(&self, world: &World, of: usize) -> Facts {
        let silent =
            if self.broken == Broken::KeepsUnheard { Presence::Exited } else { Presence::Unreachable };
        let begins = world.nodes[of]
            .leading_ballot(now(world.step))
            .is_some_and(|b| world.environment.begun.as_ref() != Some(b));
        let ended = begins && self.broken == Broken::Learns;
        let presence = |node: usize| match (ended, world.is_unheard(of, node)) {
            (true, _) => Presence::Exited,
            (false, true) => silent,
            (false, false) => Presence::Alive,
        };
        Facts { members: world.member_statuses(of, presence), participates: true, application: Vec::new() }
    }

    /// Calls that a process has: as many as it may, up to two, in its time.
    fn wants(&self, world: &World, node: usize) -> u32 {
        let before = self.first.step == 0 || world.step < self.first.step + MOVES;
        let busy = self.site.busy[usize::from(!before)];
        if node == busy {
            self.site.wants
        } else {
            0
        }
    }

    fn begin_calls(&self, world: &mut World, node: usize) {
        let wants = self.wants(world, node);
        while in_hand(world, node) < wants.min(may(world, self.broken, node)) {
            world.environment.calls.push((node, world.step + self.site.call));
        }
    }

    /// What a broken rule makes of a message.
    fn tampered(&self, world: &World, to: usize, mut message: Message) -> Message {
        match (&mut message, self.broken) {
            (Message::Renew(renewal), Broken::Confirmed) => {
                let word = &mut renewal.report;
                (word.granted, word.grant_left) = (Vec::new(), 0);
                word.grant_version.iter_mut().for_each(|by| by.seq += 1);
                word.usage.tenants.iter_mut().for_each(|tenant| tenant.in_flight = 0);
            }
            (Message::Granted(granted), Broken::Fence) => {
                let fence = world.nodes[to].application().grant_version();
                let newest =
                    fence.filter(|fence| fence.ballot == granted.ballot).map_or(0, |fence| fence.seq);
                granted.grant.seq = granted.grant.seq.max(newest);
            }
            (Message::Granted(granted), Broken::Seats) => granted.grant.has_slot = true,
            (Message::VoterRecoveryResponse(response), Broken::Forgotten) => {
                response.recovery = RecoveryState::Recovered;
            }
            (Message::Promised(promise), Broken::Forgotten) => promise.recovery = RecoveryState::Recovered,
            _ => {}
        }
        message
    }

    pub fn judge(&self, world: &mut World) {
        let holding =
            (0..world.nodes.len()).filter(|n| world.nodes[*n].leading_ballot(now(world.step)).is_some());
        let holding: BTreeMap<usize, &Ballot> =
            holding.filter_map(|n| Some((n, world.nodes[n].leading_ballot(now(world.step))?))).collect();
        let used = (0..world.nodes.len())
            .map(|node| in_hand(world, node).max(may(world, self.broken, node)))
            .sum::<u32>();
        let seats = (0..world.nodes.len())
            .filter(|node| world.nodes[*node].application().slot() == Slot::Assigned)
            .count();
        let wrong = [
            (holding.len() > 1, "two hold at once"),
            (used > self.site.cap, "more than the cap may be used or is in hand"),
            (seats > self.site.seats as usize, "more have a seat than there are"),
        ];
        world.violation = world.violation.or(wrong.into_iter().find(|(is, _)| *is).map(|(_, what)| what));
    }
}

impl flaxhead_rig::SystemModel for Fleet {
    type Application = QuotaApplication;
    type Environment = Calls;
    type RestartState = NoCommand;

    fn bounds(&self) -> Bounds<'_, NoCommand> {
        let Fleet { faults, fine, hit, .. } = self;
        let (first, kinds, restart_states) = (self.first.step, LastingFault::ALL, [].as_slice());
        Bounds {
            first_step: first,
            max_faults: *faults,
            faults_between_messages: *fine,
            faulty_nodes: hit,
            lasting_kinds: kinds,
            lasting_steps: LASTS,
            restart_states,
            fault_steps: FAULTY,
            steps: ENDS,
        }
    }

    fn handle_event(
        &self,
        world: &mut World,
        node: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<Envelope<QuotaApplication>> {
        let (facts, time) = (self.facts(world, node), now(world.step));
        let mut random = FixedRandom::for_node(node);
        let mut around = Context { now: time, facts: &facts, random: &mut random };
        let (in_hand, wants) = (in_hand(world, node), self.wants(world, node));
        let told = if self.broken == Broken::InHand { 0 } else { in_hand };
        let (most, waiting) = (told.max(wants), wants.saturating_sub(in_hand));
        let usage = TenantUsage { in_flight: told, peak: most, queued: waiting, rejected: 0 };
        let usage = Usage { tenants: vec![usage], ..Usage::default() };
        let message = message.map(|(from, message)| (from, self.tampered(world, node, message)));
        let machine = &mut world.nodes[node];
        machine.application_mut().set_usage(time, usage);
        let mut out = Vec::new();
        let ticks = message.is_none();
        match message {
            None => machine.tick(&mut around, &mut out),
            Some((from, message)) => machine.receive(&mut around, &name(from), message, &mut out),
        }
        world.environment.allowances[node] = machine.application_mut().allowance(time);
        if ticks {
            world.environment.begun =
                machine.leading_ballot(time).cloned().or(world.environment.begun.take());
        }
        self.begin_calls(world, node);
        self.judge(world);
        world.sent_messages(node, out)
    }

    fn crash(&self, world: &mut World, node: usize) {
        let fresh = machine(&self.site, node, world);
        (world.nodes[node], world.environment.allowances[node]) = (fresh, Allowance::default());
        // What it had in hand is gone with it.
        world.environment.calls.retain(|(who, _)| *who != node);
        world.environment.allowances[node] = world.nodes[node].application_mut().allowance(now(world.step));
    }

    fn restart_all(&self, _: &mut World, found: NoCommand) {
        match found {}
    }

    /// Calls that waited for it begin.
    fn resume(&self, world: &mut World, node: usize) {
        self.begin_calls(world, node);
        self.judge(world);
    }

    fn begin_step(&self, world: &mut World) {
        let step = world.step;
        world.environment.calls.retain(|(_, until)| *until > step);
    }
}

pub fn in_hand(world: &World, node: usize) -> u32 {
    world.environment.calls.iter().filter(|(who, until)| *who == node && *until > world.step).count() as u32
}

/// What a gate lets in now.
pub fn may(world: &World, broken: Broken, node: usize) -> u32 {
    let allowance = &world.environment.allowances[node];
    if broken == Broken::Ends {
        return allowance.tenants.first().and_then(|units| units.cap).unwrap_or(0);
    }
    allowance.cap(now(world.step), 0).unwrap_or(0)
}

pub fn usable(world: &World) -> u32 {
    (0..world.nodes.len()).map(|node| may(world, Broken::Nothing, node)).sum()
}
