//! A fleet in virtual time: proxies that settle the plan by messages that take time and are lost, and the zones'
//! hosts as they do calls, get cold, slow and unreached. One seed gives one run.
#![allow(dead_code)]

mod net;
mod seen;
mod site;

pub use seen::Seen;
pub use site::Site;

use flaxhead_lease::Voters;
use flaxhead_zones::{Allow, Facts, Machine, Map, MapTerms, Message, Micros, Name, Pace, Process, Zones};
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
pub struct Plan {
    pub processes: usize,
    pub hosts: usize,
    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    /// What is asked for, of all that warm hosts do less the margin, in thousandths.
    pub load: u32,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether the plan is gone by.
    pub settled: bool,
    pub seed: u64,
}

pub const FOUR: [(&str, &str); 4] = [("a", "south"), ("b", "south"), ("c", "south"), ("d", "south")];

impl Default for Plan {
    fn default() -> Plan {
        let zones = FOUR.to_vec();
        Plan { processes: 300, hosts: 200, zones, load: 600, loss: 0.01, settled: true, seed: 1 }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Wake(usize, u64),
    Arrive { to: usize, number: u64 },
    Tick,
}

pub struct Place {
    machine: Option<Machine>,
    /// Its clock: how far ahead.
    ahead: Micros,
    pub zone: usize,
    frozen: bool,
    apart: bool,
    since: Micros,
    wake: Micros,
    life: u64,
    /// By zone: parts of calls not yet whole, failures since the last answer, when that was.
    done: Vec<f64>,
    failed: Vec<f64>,
    asked: [f64; 3],
    silent: Vec<(u32, Micros)>,
    /// Attempts that will turn out to have failed.
    waits: Vec<(Micros, usize, f64)>,
    pub allow: Option<Allow>,
}

pub struct Fleet {
    pub plan: Plan,
    pub map: Map,
    pub pace: Pace,
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    letters: BTreeMap<u64, (usize, Message)>,
    pub places: Vec<Place>,
    names: BTreeMap<Name, usize>,
    random: Pcg64,
    lives: u64,
    pub site: Site,
    pub seen: Seen,
    facts: Option<(Micros, Facts)>,
}

impl Place {
    pub fn local(&self, now: Micros) -> Micros {
        self.ahead + now
    }
}

fn name(place: usize) -> Name {
    Name::new(&format!("p{place:03}")).expect("a name")
}

fn at(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_946))
}

pub fn map(zones: &[(&str, &str)]) -> Map {
    let zones = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
    Map::new(&MapTerms { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() }).expect("good")
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        let (map, pace) = (map(&plan.zones), Pace::default());
        let count = map.count();
        let mut random = Pcg64::seed_from_u64(plan.seed);
        let places = (0..plan.processes).map(|place| Place {
            machine: None,
            ahead: u64::from(random.next_u32()),
            zone: place % count,
            frozen: false,
            apart: false,
            since: 0,
            wake: 0,
            life: 0,
            done: vec![0.0; count],
            failed: vec![0.0; count],
            asked: [0.0; 3],
            silent: vec![(0, 0); count],
            waits: Vec::new(),
            allow: None,
        });
        let mut fleet = Fleet {
            now: SECOND,
            queue: BinaryHeap::new(),
            order: 0,
            letters: BTreeMap::new(),
            places: places.collect(),
            names: (0..plan.processes).map(|place| (name(place), place)).collect(),
            random,
            lives: 0,
            site: Site::new(&plan, &map, &pace),
            seen: Seen::new(count),
            facts: None,
            map,
            pace,
            plan,
        };
        (0..fleet.plan.processes).for_each(|place| fleet.launch(place));
        fleet.push(TICK, What::Tick);
        fleet
    }

    /// Plays on for so long.
    pub fn play(&mut self, lasts: Micros) {
        let end = self.now + lasts;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            match what {
                What::Tick => {
                    self.tick();
                    self.push(TICK, What::Tick);
                }
                What::Wake(place, at) if self.places[place].wake == at && !self.places[place].frozen => {
                    self.act(place, |machine, around, out| machine.tick(around, out));
                }
                What::Wake(..) => {}
                What::Arrive { to, number } => self.arrive(to, number),
            }
        }
        self.now = end;
    }

    /// Plays until it is so, at the most for so long; for how long.
    pub fn until(&mut self, most: Micros, so: impl Fn(&Fleet) -> bool) -> Option<Micros> {
        let began = self.now;
        while self.now < began + most {
            if so(self) {
                return Some(self.now - began);
            }
            self.play(TICK);
        }
        None
    }

    fn push(&mut self, after: Micros, what: What) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after, self.order, what)));
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn local(&self, place: usize) -> Micros {
        self.places[place].ahead + self.now
    }

    pub fn launch(&mut self, place: usize) {
        self.lives += 1;
        let voters = (0..5.min(self.plan.processes | 1)).map(name).collect();
        let voters = Voters::new(voters, Vec::new()).expect("voters");
        let me = Process { name: name(place), incarnation: self.lives, address: at(place) };
        let now = self.local(place);
        let zones = Zones::new(now, self.map.clone(), self.pace.clone(), self.places[place].zone);
        let machine = Machine::new(Zones::config(LEASE), zones, voters, me, now);
        let (lives, since) = (self.lives, self.now);
        let of = &mut self.places[place];
        (of.machine, of.life, of.since) = (Some(machine), lives, since);
        (of.frozen, of.apart, of.allow) = (false, false, None);
        of.silent.iter_mut().for_each(|silent| *silent = (0, 0));
        of.waits.clear();
        self.act(place, |_, _, _| {});
    }

    pub fn kill(&mut self, place: usize) {
        let of = &mut self.places[place];
        (of.machine, of.since, of.allow) = (None, self.now, None);
    }

    pub fn freeze(&mut self, place: usize) {
        let of = &mut self.places[place];
        (of.frozen, of.since) = (true, self.now);
    }

    /// It goes on, with what it had.
    pub fn thaw(&mut self, place: usize) {
        let of = &mut self.places[place];
        (of.frozen, of.since) = (false, self.now);
        self.wake(place);
    }

    /// The process is cut off, or no longer.
    pub fn apart(&mut self, place: usize, apart: bool) {
        let of = &mut self.places[place];
        (of.apart, of.since) = (apart, self.now);
    }

    /// A zone's hosts are lost, and its processes with them.
    pub fn lose_all(&mut self, zone: usize) {
        self.site.lose(zone);
        let there = (0..self.places.len()).filter(|place| self.places[*place].zone == zone);
        there.collect::<Vec<_>>().into_iter().for_each(|place| self.apart(place, true));
    }

    pub fn back_all(&mut self, zone: usize, warmth: f64) {
        self.site.back(zone, warmth);
        let there = (0..self.places.len()).filter(|place| self.places[*place].zone == zone);
        there.collect::<Vec<_>>().into_iter().for_each(|place| self.apart(place, false));
    }

    /// An operator orders something at a process; the answer comes to [`Seen::answers`].
    pub fn order(&mut self, place: usize, id: u64, order: flaxhead_zones::Order) {
        self.act(place, |machine, around, out| machine.submit(around, id, order, 5 * SECOND, out));
    }

    pub fn holder(&self) -> Option<usize> {
        (0..5.min(self.places.len())).find(|place| {
            let of = &self.places[*place];
            !of.frozen
                && !of.apart
                && of.machine.as_ref().is_some_and(|m| m.leading_ballot(self.local(*place)).is_some())
        })
    }

    pub fn machine(&self, place: usize) -> Option<&Machine> {
        self.places[place].machine.as_ref()
    }

    /// A process's word says, whatever it sees, that it reaches nothing.
    pub fn claim_all_lost(&mut self, place: usize) {
        let count = self.map.count();
        let Some(machine) = self.places[place].machine.as_mut() else { return };
        let tally = machine.application_mut().tally_mut();
        (0..count).for_each(|zone| tally.stands(zone, 1, true));
    }

    pub fn draw(&mut self, bound: u64) -> u64 {
        self.below(bound)
    }

    /// One of the faults, at one of the zones.
    pub fn fault(&mut self, zones: usize) -> (&'static str, usize) {
        let zone = self.below(zones as u64) as usize;
        let what = match self.below(6) {
            0 => {
                self.site.lose(zone);
                "lost"
            }
            1 => {
                self.lose_all(zone);
                "lost with its proxies"
            }
            2 => {
                self.site.slow(zone, 2.0);
                "slow"
            }
            3 => {
                self.site.cut.push(((zone + 1) % zones, zone));
                "cut"
            }
            4 => {
                if let Some(holder) = self.holder() {
                    self.kill(holder);
                }
                "holder killed"
            }
            _ => {
                self.site.lose(zone);
                self.play(2 * SECOND);
                self.site.back(zone, 0.1);
                "lost and back"
            }
        };
        (what, zone)
    }

    /// All is well again, and cold where it was lost.
    pub fn heal(&mut self) {
        self.site.cut.clear();
        for zone in 0..self.map.count() {
            self.site.slow(zone, 1.0);
            if self.site.can(zone) == 0.0 {
                self.back_all(zone, 0.1);
            }
        }
        for place in 0..self.places.len() {
            if self.places[place].machine.is_none() {
                self.launch(place);
            }
        }
    }

    /// How much of what is asked for in a zone goes to another, by the plan at the holder, in parts of ten thousand.
    pub fn part(&self, from: usize, to: usize) -> Option<u32> {
        let machine = self.machine(self.holder()?)?;
        let row = machine.state().row(self.map.name(from))?;
        Some(row.shares.iter().find(|(zone, _)| zone == self.map.name(to)).map_or(0, |(_, part)| *part))
    }

    /// All traffic stays at home, but for so much, and nothing is refused.
    pub fn at_home(&self, but: u32) -> bool {
        let home = |zone: usize| self.part(zone, zone).is_some_and(|part| part + but >= 10_000);
        (0..self.map.count()).all(home) && self.seen.refused_now == 0.0
    }
}
