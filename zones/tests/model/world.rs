//! The processes, what is on the way between them, and what goes wrong; a step at a time.

use flaxhead_lease::{MemberStatus, Presence, Version, Voters};
use flaxhead_zones::{
    Around, Effect, Facts, Host, Lapse, Machine, Map, MapTerms, Message, Micros, Name, Pace, Plan, Process,
    Row, Zones,
};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const NODES: usize = 3;
pub const LEASE: Micros = 6_000_000;
pub const STEP: Micros = 1_000_000;
/// Steps in a lease, with what clocks may run apart.
const LEASE_STEPS: u8 = 7;
/// Steps of a fault that lasts: longer than a lease, and than the silence of a restarted voter.
pub const LASTS: u8 = 13;
/// Steps in which faults may begin, and those after which all must go by one plan again.
pub const FAULTY: u8 = 6;
pub const ENDS: u8 = 60;
/// The zone of the last one is lost from this step to that one.
const LOST: (u8, u8) = (2, 8);
/// Most messages of a step: beyond that it would never end.
const STORM: usize = 2_000;

/// A rule that is taken out, to see that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Broken {
    Nothing,
    /// A plan is gone by after the leave has run out.
    Lapses,
    /// A plan is gone by though a later holder is known of.
    Fence,
    /// A plan that is written anew keeps its number.
    Number,
    /// A process that was restarted goes by the plan that it had, until it is let in.
    Kept,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lasting {
    /// Stopped, with all that comes meanwhile waiting for it.
    Frozen,
    Apart,
    Deaf,
    Mute,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub step: u8,
    pub nodes: Vec<Machine>,
    /// What each had when it was restarted.
    before: Vec<Plan>,
    /// The highest number that each process has gone by.
    highest: Vec<Version>,
    /// Plans by number: what they say, and when one was its holder's last.
    settled: BTreeMap<Version, (Vec<Row>, u8)>,
    pub lasting: Option<(usize, Lasting, u8)>,
    waiting: Vec<(usize, Message)>,
    pub kept: Option<(usize, usize, Message)>,
    pub faults: u8,
    lives: u64,
    pub wrong: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    Nothing,
    /// The message of this place in the step is lost.
    Lose(usize),
    /// It is delivered, and once more later.
    Keep(usize),
    /// The kept one comes.
    Again,
    /// Before the message of this place.
    Crash(usize, usize),
    Begin(usize, Lasting, usize),
}

pub struct Fleet {
    pub broken: Broken,
    /// Faults in one history.
    pub faults: u8,
    /// Faults fall between any two messages, not only between steps.
    pub fine: bool,
    pub first: World,
}

/// Draws what each node always draws: two that run at once must not do so for ever.
struct Fixed(u32);

impl RngCore for Fixed {
    fn next_u32(&mut self) -> u32 {
        self.0
    }

    fn next_u64(&mut self) -> u64 {
        u64::from(self.0) << 32
    }

    fn fill_bytes(&mut self, to: &mut [u8]) {
        to.fill(self.0 as u8);
    }

    fn try_fill_bytes(&mut self, to: &mut [u8]) -> Result<(), rand_core::Error> {
        self.fill_bytes(to);
        Ok(())
    }
}

fn name(node: usize) -> Name {
    Name::new(&format!("n{node}")).expect("a name")
}

fn at(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, node as u8 + 1], 7_000))
}

fn now(step: u8) -> Micros {
    10 * LEASE + Micros::from(step) * STEP
}

fn map() -> Map {
    let zones = (0..NODES).map(|zone| (format!("z{zone}"), "r".to_owned())).collect();
    Map::new(&MapTerms { zones, ..MapTerms::default() }).expect("good")
}

fn machine(node: usize, world: &mut World) -> Machine {
    world.lives += 1;
    let voters = Voters::new((0..NODES).map(name).collect(), Vec::new()).expect("voters");
    let me = Process { name: name(node), incarnation: 100 * world.lives + node as u64, address: at(node) };
    let time = now(world.step);
    let zones = Zones::new(time, map(), Pace::default(), node);
    Machine::new(Zones::config(LEASE), zones, voters, me, time)
}

impl Fleet {
    pub fn new(broken: Broken, faults: u8, fine: bool) -> Fleet {
        let mut world = World {
            step: 0,
            nodes: Vec::new(),
            before: vec![Plan::default(); NODES],
            highest: vec![Version::default(); NODES],
            settled: BTreeMap::new(),
            lasting: None,
            waiting: Vec::new(),
            kept: None,
            faults: 0,
            lives: 0,
            wrong: None,
        };
        for node in 0..NODES {
            let machine = machine(node, &mut world);
            world.nodes.push(machine);
        }
        let mut fleet = Fleet { broken: Broken::Nothing, faults, fine, first: world.clone() };
        for _ in 0..40 {
            world = fleet.run(&world, Act::Nothing).0;
        }
        assert!(world.wrong.is_none() && world.all_go_by_one(), "{:?}", world.wrong);
        (fleet.first, fleet.broken) = (world, broken);
        fleet
    }

    /// The last one's zone is lost for a while.
    fn lost(&self, world: &World) -> bool {
        let since = world.step.saturating_sub(self.first.step);
        self.first.step > 0 && (LOST.0..LOST.1).contains(&since)
    }

    fn facts(&self, world: &World, of: usize) -> Facts {
        let away = |node: usize| world.lasting.is_some_and(|(who, _, _)| who == node || who == of);
        let member = |node: usize| {
            let presence = if away(node) { Presence::Unreachable } else { Presence::Alive };
            let life = world.nodes[node].me().incarnation;
            (name(node), MemberStatus { incarnation: life, address: at(node), presence, since: 0 })
        };
        let host = |zone: usize| Host { zone, ready: true, warmth: 1_000, size: 1_000 };
        Facts {
            members: (0..NODES).filter(|node| *node != of).map(member).collect(),
            participates: true,
            application: (0..NODES).flat_map(|zone| [host(zone), host(zone)]).collect(),
        }
    }

    fn hears(&self, world: &World, node: usize) -> bool {
        !matches!(world.lasting, Some((who, Lasting::Apart | Lasting::Deaf, _)) if who == node)
    }

    fn is_heard(&self, world: &World, node: usize) -> bool {
        !matches!(world.lasting, Some((who, Lasting::Apart | Lasting::Mute, _)) if who == node)
    }

    fn is_frozen(&self, world: &World, node: usize) -> bool {
        matches!(world.lasting, Some((who, Lasting::Frozen, _)) if who == node)
    }

    /// The plan that a process goes by now.
    fn goes_by<'a>(&self, world: &'a World, node: usize) -> Option<&'a Plan> {
        let machine = &world.nodes[node];
        let (application, member) = (machine.application(), machine.local_replica());
        match (application.in_force(now(world.step), member), self.broken) {
            (Ok(plan), _) => Some(plan),
            (Err(Lapse::RanOut), Broken::Lapses) | (Err(Lapse::Superseded), Broken::Fence) => {
                Some(application.good())
            }
            (Err(Lapse::NotLetIn), Broken::Kept) => Some(&world.before[node]),
            _ => None,
        }
        .filter(|plan| !plan.rows.is_empty())
    }

    fn react(
        &self,
        world: &mut World,
        node: usize,
        message: Option<(usize, Message)>,
    ) -> Vec<(usize, usize, Message)> {
        let (facts, time, lost) = (self.facts(world, node), now(world.step), self.lost(world));
        let mut random = Fixed((node as u32) << 30);
        let mut around = Around { now: time, facts: &facts, random: &mut random };
        let machine = &mut world.nodes[node];
        let mut out = Vec::new();
        match message {
            None => {
                let tally = machine.application_mut().tally_mut();
                tally.asked(time, 0, 50);
                for zone in 0..NODES {
                    let gone = lost && zone == NODES - 1;
                    tally.done(time, zone, if gone { 0 } else { 20 }, 10);
                    tally.stands(zone, 0, gone);
                }
                machine.application_mut().look(time);
                machine.tick(&mut around, &mut out);
            }
            Some((from, message)) => {
                let message = self.tampered(message);
                machine.receive(&mut around, &name(from), message, &mut out);
            }
        }
        self.judge(world);
        let to = |name: &Name| (0..NODES).find(|n| world.nodes[*n].me().name == *name);
        out.into_iter()
            .filter_map(|effect| match effect {
                Effect::Send { to: name, message } => Some((node, to(&name)?, message)),
                _ => None,
            })
            .collect()
    }

    /// What a broken rule makes of a message.
    fn tampered(&self, mut message: Message) -> Message {
        if let (Message::StateUpdate { state }, Broken::Number) = (&mut message, self.broken) {
            state.state.number.seq = 1;
        }
        message
    }

    fn judge(&self, world: &mut World) {
        let time = now(world.step);
        let mut wrong = None;
        let holding: Vec<usize> =
            (0..NODES).filter(|node| world.nodes[*node].leading_ballot(time).is_some()).collect();
        if holding.len() > 1 {
            wrong = Some("two hold at once");
        }
        for node in holding {
            if self.is_frozen(world, node) {
                continue;
            }
            let Some(hold) = world.nodes[node].leader_state(time) else { continue };
            let plan = hold.state().state.clone();
            world.settled.insert(plan.number, (plan.rows, world.step));
        }
        for node in 0..NODES {
            if self.is_frozen(world, node) {
                continue;
            }
            let Some(plan) = self.goes_by(world, node).cloned() else { continue };
            let settled = world.settled.get(&plan.number);
            let old = settled.is_none_or(|(_, last)| world.step > last + LEASE_STEPS);
            let other = settled.is_some_and(|(rows, _)| *rows != plan.rows);
            let fence = world.nodes[node].local_replica().highest_ballot().cloned();
            let checks = [
                (plan.number < world.highest[node], "a process went back to a lower number"),
                (plan.number.ballot < fence, "a plan of a lower number than one heard of is gone by"),
                (old, "a plan is gone by that was not settled within a lease"),
                (other, "two plans have one number"),
            ];
            wrong = wrong.or(checks.into_iter().find(|(is, _)| *is).map(|(_, what)| what));
            world.highest[node] = plan.number;
        }
        let step = world.step;
        world.settled.retain(|_, (_, last)| step <= *last + LEASE_STEPS);
        world.wrong = world.wrong.or(wrong);
    }

    fn crash(&self, world: &mut World, node: usize) {
        world.before[node] = match self.broken {
            Broken::Kept => world.nodes[node].application().good().clone(),
            _ => Plan::default(),
        };
        world.nodes[node] = machine(node, world);
        world.highest[node] = Version::default();
    }

    /// A step, and how many messages there were in it.
    pub fn run(&self, world: &World, act: Act) -> (World, usize) {
        let mut world = world.clone();
        world.step += 1;
        let mut on_the_way = VecDeque::new();
        if let Some((_, _, left)) = &mut world.lasting {
            *left -= 1;
            if *left == 0 {
                let woken = world.lasting.take();
                let waiting = std::mem::take(&mut world.waiting);
                if let Some((node, Lasting::Frozen, _)) = woken {
                    // What waited for it begins before any timer of its own, and before anything that it hears.
                    self.judge(&mut world);
                    on_the_way.extend(waiting.into_iter().map(|(from, message)| (from, node, message)));
                }
            }
        }
        if act == Act::Again {
            on_the_way.extend(world.kept.take());
        }
        if !matches!(act, Act::Nothing | Act::Again) {
            world.faults += 1;
        }
        for node in 0..NODES {
            if !self.is_frozen(&world, node) {
                on_the_way.extend(self.react(&mut world, node, None));
            }
        }
        let mut place = 0;
        while let Some((from, to, message)) = on_the_way.pop_front() {
            match act {
                Act::Crash(node, when) if when == place => self.crash(&mut world, node),
                Act::Begin(node, how, when) if when == place => world.lasting = Some((node, how, LASTS)),
                Act::Keep(which) if which == place => world.kept = Some((from, to, message.clone())),
                _ => {}
            }
            place += 1;
            assert!(place < STORM, "a storm: {message:?}");
            if act == Act::Lose(place - 1) || !self.hears(&world, to) || !self.is_heard(&world, from) {
                continue;
            }
            if self.is_frozen(&world, to) {
                world.waiting.push((from, message));
                continue;
            }
            // A process that has gone says nothing more; what it said before arrives.
            on_the_way.extend(self.react(&mut world, to, Some((from, message))));
        }
        (world, place)
    }
}

impl World {
    /// Each goes by the same plan, and has its own zone's traffic at home.
    pub fn all_go_by_one(&self) -> bool {
        let plan = |node: &Machine| {
            let plan = node.application().in_force(now(self.step), node.local_replica()).ok()?;
            let home = |row: &Row| row.shares.iter().any(|(to, part)| *to == row.from && *part >= 9_500);
            (plan.rows.len() == NODES && plan.rows.iter().all(home)).then(|| plan.number.clone())
        };
        let plans: Vec<Option<Version>> = self.nodes.iter().map(plan).collect();
        plans[0].is_some() && plans.iter().all(|plan| *plan == plans[0])
    }
}
