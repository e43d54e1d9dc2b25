//! A fleet of processes in virtual time: messages that take time, are lost and come twice, processes that crash and forget,
//! freeze and are cut off, clocks that run apart, calls that come and go. One seed gives one run. At every step of a
//! process the sum of what all may use or have in hand is held against each cap.
#![allow(dead_code, reason = "the bench uses other parts than the tests")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "the counts and times of a simulation are small, and its parts are read in one piece"
)]

mod play;
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
/// How old what is known of members may be.
const FRESH: Micros = 200_000;

/// What goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// What is settled in common.
    Settled,
    /// Each process has its part of each cap for good.
    Fixed,
    /// Each takes what it wants.
    Nothing,
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub processes: usize,
    pub voters: usize,
    pub proxies_most: u32,
    pub site: Site,
    pub hosts: usize,
    pub host_calls: u32,
    pub pace: QuotaTiming,
    /// How long a call takes in the middle, and whether some take as long as they may.
    pub call: Micros,
    pub long_calls: bool,
    /// How often a process looks for calls to begin.
    pub tick: Micros,
    /// Mean time between two faults; 0: there are none.
    pub fault_every: Micros,
    /// Mean time between two changes of what a process wants; 0: none.
    pub shift_every: Micros,
    /// Share of messages that are lost; a quarter as many come twice.
    pub loss: f64,
    pub mode: Mode,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub faults: usize,
    pub calls: u64,
    pub messages: u64,
    pub bytes: u64,
    /// Highest sum of what might be used or was in hand, by tenant, and how often it was over the cap.
    pub most: Vec<u32>,
    pub over: u64,
    /// Changes of a grant or share that was pushed to a gate.
    pub pushed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Wake(usize, u64),
    Arrive { to: usize, number: u64 },
    Work(usize),
    Fault,
    Heal(usize),
    Shift,
}

struct Place {
    machine: Option<Machine>,
    /// Its clock: how far ahead, and by how many parts in ten thousand it runs fast.
    ahead: Micros,
    fast: i64,
    frozen: bool,
    apart: bool,
    since: Micros,
    wake: Micros,
    life: u64,
    allowance: Allowance,
    /// Calls of each tenant that it wants to have in hand.
    wants: Vec<u32>,
    /// Calls in hand, with their ends, and how many of each tenant.
    calls: Vec<(usize, Micros)>,
    in_hand: Vec<u32>,
    facts: Option<(Micros, Facts)>,
}

pub struct Fleet {
    plan: Plan,
    book: TenantRegistry,
    pub now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    letters: BTreeMap<u64, (usize, Message)>,
    places: Vec<Place>,
    names: BTreeMap<Name, usize>,
    random: Pcg64,
    pub hosts: Vec<HostCapacity>,
    lives: u64,
    /// By process and tenant, what might be used at its last step; and the sums.
    usable: Vec<Vec<u32>>,
    sums: Vec<u32>,
    pub seen: Seen,
}

fn name(place: usize) -> Name {
    Name::new(&format!("p{place:03}")).expect("a name")
}

fn at(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_946))
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        let mut random = Pcg64::seed_from_u64(plan.seed);
        let terms = QuotaConfig {
            max_proxies: plan.proxies_most,
            calls_per_host: plan.host_calls,
            caps: plan.site.caps.clone(),
            ..QuotaConfig::default()
        };
        let tenants = plan.site.tenants.iter().map(|(name, portion)| (name.as_str(), *portion));
        let book = TenantRegistry::new(&terms, tenants).expect("terms");
        let groups = book.tenants.len();
        let places = (0..plan.processes).map(|_| Place {
            machine: None,
            ahead: u64::from(random.next_u32()),
            // Within what is borne: one part in 64 between two.
            fast: i64::from(random.next_u32() % 140) - 70,
            frozen: false,
            apart: false,
            since: 0,
            wake: 0,
            life: 0,
            allowance: Allowance::default(),
            wants: vec![0; groups],
            calls: Vec::new(),
            in_hand: vec![0; groups],
            facts: None,
        });
        let host = HostCapacity { ready: true, failing: false, warmth: 1_000, size: 1_000 };
        let mut fleet = Fleet {
            now: SECOND,
            queue: BinaryHeap::new(),
            order: 0,
            letters: BTreeMap::new(),
            places: places.collect(),
            names: (0..plan.processes).map(|place| (name(place), place)).collect(),
            hosts: vec![host; plan.hosts],
            lives: 0,
            usable: vec![vec![0; groups]; plan.processes],
            sums: vec![0; groups],
            seen: Seen { most: vec![0; groups], ..Seen::default() },
            random,
            book,
            plan,
        };
        for place in 0..fleet.plan.processes {
            fleet.launch(place);
            let after = fleet.below(fleet.plan.tick);
            fleet.push(after, What::Work(place));
        }
        let (fault, shift) = (fleet.plan.fault_every, fleet.plan.shift_every);
        if fault > 0 {
            fleet.push(3 * fleet.plan.pace.lease, What::Fault);
        }
        if shift > 0 {
            fleet.push(shift, What::Shift);
        }
        fleet
    }

    pub fn book(&self) -> &TenantRegistry {
        &self.book
    }

    /// What a process wants to have in hand of a tenant from now on.
    pub fn want(&mut self, place: usize, tenant: usize, calls: u32) {
        self.places[place].wants[tenant] = calls;
    }

    pub fn wanted(&self, tenant: usize) -> u32 {
        self.places.iter().map(|of| of.wants[tenant]).sum()
    }

    pub fn in_hand(&self, tenant: usize) -> u32 {
        self.places.iter().map(|of| of.in_hand[tenant]).sum()
    }

    /// What all may use of a tenant by their own leave, now.
    pub fn allowed(&self, tenant: usize) -> u32 {
        (0..self.places.len()).map(|place| self.usable_at(place, tenant)).sum()
    }

    /// The same at one process.
    pub fn usable_at(&self, place: usize, tenant: usize) -> u32 {
        self.places[place].allowance.cap(self.local(place), tenant).unwrap_or(0)
    }

    pub fn shares(&self, tenant: usize) -> u32 {
        self.places
            .iter()
            .map(|of| of.allowance.tenants.get(tenant).map_or(0, |units| units.fair_share))
            .sum()
    }

    pub fn holder(&self) -> Option<usize> {
        (0..self.plan.voters.min(self.places.len())).find(|place| {
            let of = &self.places[*place];
            !of.frozen && of.machine.as_ref().is_some_and(|m| m.leading_ballot(self.local(*place)).is_some())
        })
    }

    pub fn kill(&mut self, place: usize) {
        let of = &mut self.places[place];
        (of.machine, of.since, of.allowance) = (None, self.now, Allowance::default());
        of.calls.clear();
        of.in_hand.iter_mut().for_each(|calls| *calls = 0);
        self.judge(place);
    }

    fn push(&mut self, after: Micros, what: What) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after, self.order, what)));
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn local(&self, place: usize) -> Micros {
        let Place { ahead, fast, .. } = self.places[place];
        ahead + (self.now as i64 + self.now as i64 / 10_000 * fast) as Micros
    }

    /// What a process has on its disk.
    pub fn memory(&self, place: usize) -> Option<PersistentState<QuotaApplication>> {
        self.places[place].machine.as_ref().map(|machine| machine.persistent_state(self.local(place)))
    }

    /// Starts a process that goes by no disk.
    pub fn launch(&mut self, place: usize) {
        self.start(place, |machine, _| machine);
    }

    /// Starts one that goes by a disk, and finds this there.
    pub fn launch_with(&mut self, place: usize, found: Option<PersistentState<QuotaApplication>>) {
        self.start(place, |machine, now| machine.with_persistence(now, found, SECOND));
    }

    fn start(&mut self, place: usize, with: impl FnOnce(Machine, Micros) -> Machine) {
        self.lives += 1;
        let voters = (0..self.plan.voters).map(name).collect();
        let voters = Voters::new(voters, Vec::new()).expect("voters");
        let config: Config = QuotaApplication::config(&self.plan.pace);
        let me = Process { name: name(place), incarnation: self.lives, address: at(place) };
        let now = self.local(place);
        let shares = QuotaApplication::new(now, self.book.clone(), self.plan.pace.clone());
        let (lives, since) = (self.lives, self.now);
        let of = &mut self.places[place];
        of.machine = Some(with(Machine::new(config, shares, voters, me, now), now));
        (of.life, of.since, of.frozen, of.apart) = (lives, since, false, false);
        self.act(place, |_, _, _| {});
    }

    fn wake(&mut self, place: usize) {
        let local = self.local(place);
        let Some(machine) = &self.places[place].machine else { return };
        let shares = machine.application();
        let wake = machine.next_wake().min(shares.next_change(local).unwrap_or(Micros::MAX));
        let after = wake.min(shares.next_report_at().max(local + 5_000)).saturating_sub(local).max(1_000);
        let at = self.now + after;
        self.places[place].wake = at;
        self.push(after, What::Wake(place, at));
    }

    /// What the membership knows, some time after it is so.
    fn facts(&self, of: usize) -> Facts {
        let fact = |place: usize| {
            let Place { life, since, frozen, apart, .. } = &self.places[place];
            let away = self.now.saturating_sub(*since);
            let gone = self.places[place].machine.is_none();
            let cut = *frozen || *apart || self.places[of].apart;
            let presence = match (gone, cut) {
                (true, _) if away > 2 * SECOND => Presence::Exited,
                (_, true) if away > 10 * SECOND => Presence::Unreachable,
                (_, true) if away > 3 * SECOND => Presence::Suspected,
                _ => Presence::Alive,
            };
            (name(place), MemberStatus { incarnation: *life, address: at(place), presence, since: 0 })
        };
        Facts {
            application: self.hosts.clone(),
            members: (0..self.places.len()).filter(|place| *place != of).map(fact).collect(),
            participates: !self.places[of].apart
                || self.now.saturating_sub(self.places[of].since) < 3 * SECOND,
        }
    }
}
