//! A fleet of processes in virtual time: messages that take time and are lost, processes that crash and forget, freeze
//! and are cut off, clocks that run apart, operators who ask for hosts one after the other. One seed gives one run.
#![allow(dead_code, reason = "the bench uses other parts than the tests")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::too_many_lines,
    reason = "the counts and times of a simulation are small, and its parts are read in one piece"
)]

use flaxhead_lease::{AdmissionStatus, Config, MemberStatus, Micros, Name, Presence, Process, Voters};
use flaxhead_maintenance::{
    may_send, view, Command, Context, Drain, DrainRequest, Effect, Facts, HostFact, HostFacts, HostUsage,
    Limits, Machine, Maintenance, Message, SchedulerConfig, Stage,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
/// How old what is known of hosts and members may be.
const FRESH: Micros = 200_000;
pub const HOUR: Micros = 3_600 * SECOND;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub processes: usize,
    pub hosts: usize,
    pub voters: usize,
    pub lasts: Micros,
    pub lease: Micros,
    /// Time between two requests for a host; 0: there are none.
    pub asks_every: Micros,
    /// How long work takes at the most.
    pub work_most: Micros,
    /// Mean time between two faults; 0: there are none.
    pub fault_every: Micros,
    pub limit: u32,
    /// Share of messages that are lost.
    pub loss: f64,
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub asked: usize,
    pub freed: usize,
    pub done: usize,
    /// From asked to free where the turn was at once the next, in microseconds.
    pub took: Vec<Micros>,
    pub messages: u64,
    pub bytes_boards: u64,
    /// How often another came to hold, and how long nobody did.
    pub holders: usize,
    pub without: Vec<Micros>,
    pub out_most: usize,
    pub faults: usize,
    /// Cold starts that operators had to end.
    pub forgotten: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Wake(usize, u64),
    Arrive {
        to: usize,
        number: u64,
    },
    Fault,
    Heal(usize),
    Ask,
    Done(String),
    /// All have forgotten, and the operators find that out.
    Remember,
    /// All but so many of the last are killed at once.
    KillAll(usize),
    /// They are started at once.
    StartAll,
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
    /// Calls at hosts, with their ends.
    calls: Vec<(String, Micros)>,
    /// What it last looked up, and when.
    facts: Option<(Micros, Facts)>,
}

pub struct Fleet {
    plan: Plan,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    order: u64,
    letters: BTreeMap<u64, (usize, Message)>,
    places: Vec<Place>,
    names: BTreeMap<Name, usize>,
    random: Pcg64,
    hosts: BTreeMap<String, HostFact>,
    /// Hosts that operators were told are free.
    free: BTreeSet<String>,
    asked: BTreeMap<String, Micros>,
    working: BTreeSet<String>,
    next_host: usize,
    lives: u64,
    held: Option<(usize, u64)>,
    unheld_since: Option<Micros>,
    orders: u64,
    /// What was sent since all were started, and when, and when each served again.
    together: Option<Together>,
    pub seen: Seen,
}

/// What came of a start of all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Together {
    pub started: Micros,
    /// By kind of message, in each tenth of a second.
    pub sent: BTreeMap<&'static str, Vec<u32>>,
    /// How long after the start each served, in the order of their doing so.
    pub serving: Vec<Micros>,
    served: BTreeSet<usize>,
}

/// What a message is, for counting.
fn kind(message: &Message) -> Option<&'static str> {
    match message {
        Message::Prepare { .. } => Some("bids"),
        Message::VoterRecoveryRequest { .. } => Some("recalls"),
        Message::Renew(_) => Some("leaves asked for"),
        Message::RecoveryQuery { .. } => Some("questions of those that wait"),
        _ => None,
    }
}

fn name(place: usize) -> Name {
    Name::new(&format!("p{place:03}")).expect("a name")
}

impl Fleet {
    pub fn new(plan: Plan) -> Fleet {
        let mut random = Pcg64::seed_from_u64(plan.seed);
        let host = |number: usize| {
            let fact = HostFact {
                zone: format!("z{}", number % 4),
                pod: (number / 3) as u32,
                ready: true,
                failing: false,
                warmth: 1_000,
                weight: 1_000,
            };
            (format!("h{number:03}"), fact)
        };
        let places = (0..plan.processes)
            .map(|_| Place {
                machine: None,
                ahead: u64::from(random.next_u32()),
                // Within what is borne: one part in 64 between two.
                fast: i64::from(random.next_u32() % 140) - 70,
                frozen: false,
                apart: false,
                since: 0,
                wake: 0,
                life: 0,
                calls: Vec::new(),
                facts: None,
            })
            .collect();
        let mut fleet = Fleet {
            now: SECOND,
            queue: BinaryHeap::new(),
            order: 0,
            letters: BTreeMap::new(),
            places,
            names: (0..plan.processes).map(|place| (name(place), place)).collect(),
            random,
            hosts: (0..plan.hosts).map(host).collect(),
            free: BTreeSet::new(),
            asked: BTreeMap::new(),
            working: BTreeSet::new(),
            next_host: 0,
            lives: 0,
            held: None,
            unheld_since: Some(SECOND),
            orders: 0,
            together: None,
            seen: Seen::default(),
            plan,
        };
        (0..fleet.plan.processes).for_each(|place| fleet.launch(place));
        fleet.push(4 * fleet.plan.lease, What::Remember);
        if fleet.plan.asks_every > 0 {
            fleet.push(6 * fleet.plan.lease, What::Ask);
        }
        if fleet.plan.fault_every > 0 {
            fleet.push(8 * fleet.plan.lease, What::Fault);
        }
        fleet
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

    fn launch(&mut self, place: usize) {
        self.lives += 1;
        let voters = (0..self.plan.voters).map(name).collect();
        let voters = Voters::new(voters, Vec::new()).expect("voters");
        let limits = Limits {
            max_total: self.plan.limit,
            max_per_zone: self.plan.limit,
            max_per_pod: 1,
            ..Limits::default()
        };
        let config = Config {
            lease_duration: self.plan.lease,
            max_call_duration: 2 * SECOND,
            autonomy_timeout: Micros::MAX,
            ..Config::default()
        };
        let rules = SchedulerConfig { limits, max_recovery_time: 10 * SECOND, ..SchedulerConfig::default() };
        let at = SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_946));
        let me = Process { name: name(place), incarnation: self.lives, address: at };
        let now = self.local(place);
        let (lives, since) = (self.lives, self.now);
        let of = &mut self.places[place];
        of.machine = Some(Machine::new(config, Maintenance::new(rules), voters, me, now));
        (of.life, of.since, of.frozen, of.apart) = (lives, since, false, false);
        of.calls.clear();
        self.wake(place);
    }

    fn wake(&mut self, place: usize) {
        let local = self.local(place);
        let Some(machine) = &self.places[place].machine else { return };
        let after = machine.next_wake().saturating_sub(local).max(1_000);
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
            let at = SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8], 7_946));
            (name(place), MemberStatus { incarnation: *life, address: at, presence, since: 0 })
        };
        Facts {
            application: HostFacts { hosts: self.hosts.clone(), lost_zones: BTreeSet::new() },
            members: (0..self.places.len()).filter(|place| *place != of).map(fact).collect(),
            participates: !self.places[of].apart
                || self.now.saturating_sub(self.places[of].since) < 3 * SECOND,
        }
    }

    fn act(&mut self, place: usize, act: impl FnOnce(&mut Machine, &mut Context<'_>, &mut Vec<Effect>)) {
        // Only voters look at facts: for the others they need not be made.
        let old = self.places[place].facts.take().filter(|(at, _)| self.now < at + FRESH);
        let (looked, facts) = match old {
            Some(fresh) => fresh,
            None if place < self.plan.voters => (self.now, self.facts(place)),
            None => (self.now, Facts::default()),
        };
        let local = self.local(place);
        let Some(mut machine) = self.places[place].machine.take() else { return };
        let now = self.now;
        let mut in_hand: BTreeMap<String, u32> = BTreeMap::new();
        self.places[place].calls.retain(|(_, until)| *until > now);
        self.places[place].calls.iter().for_each(|(host, _)| *in_hand.entry(host.clone()).or_default() += 1);
        machine.application_mut().set_usage(HostUsage { in_flight: in_hand, load: 1_000 });
        let mut out = Vec::new();
        let mut around = Context { now: local, facts: &facts, random: &mut self.random };
        act(&mut machine, &mut around, &mut out);
        if place < self.plan.voters {
            self.holding(place, machine.leading_ballot(local).map(|ballot| ballot.round));
        }
        if let Some(together) = &mut self.together {
            if machine.admission_status() != AdmissionStatus::Pending && together.served.insert(place) {
                together.serving.push(self.now - together.started);
            }
        }
        let turns: Vec<(String, bool)> = machine
            .state()
            .drains
            .iter()
            .map(|t| (t.request.host.clone(), t.is_free && t.stage == Stage::OutOfService))
            .collect();
        self.places[place].facts = Some((looked, facts));
        self.places[place].machine = Some(machine);
        for (host, free) in turns {
            if free && self.working.contains(&host) && self.free.insert(host.clone()) {
                self.told_free(&host);
            }
        }
        self.judge(place);
        for effect in out {
            if let Effect::Send { to, message } = effect {
                self.send(place, &to, message);
            }
        }
        self.wake(place);
    }

    fn holding(&mut self, place: usize, round: Option<u64>) {
        match (round, self.held) {
            (Some(round), held) if held != Some((place, round)) => {
                self.held = Some((place, round));
                self.seen.holders += 1;
                if let Some(since) = self.unheld_since.take() {
                    self.seen.without.push(self.now - since);
                }
            }
            (None, Some((holder, _))) if holder == place => {
                (self.held, self.unheld_since) = (None, Some(self.now));
            }
            _ => {}
        }
    }

    fn told_free(&mut self, host: &str) {
        self.seen.freed += 1;
        if let Some(asked) = self.asked.get(host) {
            self.seen.took.push(self.now - asked);
        }
        self.seen.out_most = self.seen.out_most.max(self.free.len());
        assert!(self.free.len() <= self.plan.limit as usize, "{:?} are out at once", self.free);
        (0..self.places.len()).for_each(|place| self.judge(place));
        let work = SECOND + self.below(self.plan.work_most);
        self.push(work, What::Done(host.to_owned()));
    }

    /// Nothing goes to a host that was told free, and nothing runs there.
    fn judge(&self, place: usize) {
        let of = &self.places[place];
        let Some(machine) = of.machine.as_ref().filter(|_| !of.frozen) else { return };
        let local = self.local(place);
        for host in &self.free {
            assert!(!may_send(machine, local, host), "p{place} sends to {host} at {}", self.now);
            let runs = of.calls.iter().any(|(at, until)| at == host && *until > self.now);
            assert!(!runs, "a call of p{place} runs at {host} at {}", self.now);
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        self.seen.messages += 1;
        if let (Some(together), Some(kind)) = (&mut self.together, kind(&message)) {
            let tenth = ((self.now - together.started) / (SECOND / 10)) as usize;
            let counts = together.sent.entry(kind).or_default();
            counts.resize(counts.len().max(tenth + 1), 0);
            counts[tenth] += 1;
        }
        let Some(&to) = self.names.get(to) else { return };
        let lost = (self.random.next_u32() as f64) < self.plan.loss * f64::from(u32::MAX);
        if lost || self.places[from].apart || self.places[to].apart {
            return;
        }
        self.order += 1;
        let number = self.order;
        self.letters.insert(number, (from, message));
        let way = 1_000 + self.below(20_000);
        self.push(way, What::Arrive { to, number });
    }

    /// All but so many are killed at once at a time, and started together a second later; then it is played to its end.
    pub fn restart(mut self, at: Micros, but: usize) -> Together {
        self.push(at - self.now, What::KillAll(but));
        self.run();
        self.together.unwrap_or_default()
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Seen {
        self.run();
        self.seen
    }

    fn run(&mut self) {
        let end = self.plan.lasts;
        while let Some(Reverse((at, _, what))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(what);
        }
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Wake(place, at) if self.places[place].wake == at && !self.places[place].frozen => {
                self.call(place);
                self.act(place, |machine, around, out| machine.tick(around, out));
            }
            What::Wake(..) => {}
            What::Arrive { to, number } => {
                let Some((from, message)) = self.letters.remove(&number) else { return };
                if self.places[to].frozen {
                    // It waits in the socket.
                    self.letters.insert(number, (from, message));
                    return self.push(SECOND, What::Arrive { to, number });
                }
                let from = name(from);
                self.act(to, |machine, around, out| machine.receive(around, &from, message, out));
            }
            What::Fault => self.fault(),
            What::Heal(place) => {
                let gone = self.places[place].machine.is_none();
                let frozen = std::mem::take(&mut self.places[place].frozen);
                self.places[place].apart = false;
                self.places[place].since = self.now;
                if gone {
                    self.launch(place);
                } else if frozen {
                    // What it sends first it sends before it looks at the time.
                    self.judge(place);
                    self.call(place);
                    self.wake(place);
                }
            }
            What::Ask => {
                self.ask();
                let every = self.plan.asks_every;
                let after = every / 2 + self.below(every);
                self.push(after, What::Ask);
            }
            What::Done(host) => {
                self.free.remove(&host);
                self.working.remove(&host);
                self.asked.remove(&host);
                self.seen.done += 1;
                self.say_done(&host);
            }
            What::KillAll(but) => {
                for place in 0..self.places.len() - but {
                    self.places[place].machine = None;
                    self.places[place].calls.clear();
                    self.holding(place, None);
                }
                self.push(SECOND, What::StartAll);
            }
            What::StartAll => {
                self.together = Some(Together { started: self.now, ..Together::default() });
                let gone: Vec<usize> =
                    (0..self.places.len()).filter(|place| self.places[*place].machine.is_none()).collect();
                gone.into_iter().for_each(|place| self.launch(place));
            }
            What::Remember => {
                self.remember();
                self.push(self.plan.lease, What::Remember);
            }
        }
    }

    /// A process sends a call, if it may.
    fn call(&mut self, place: usize) {
        let number = self.below(self.plan.hosts as u64);
        let host = format!("h{number:03}");
        let local = self.local(place);
        let may =
            |m: &Machine| m.admission_status() == AdmissionStatus::Admitted && may_send(m, local, &host);
        if self.places[place].machine.as_ref().is_some_and(may) {
            let until = self.now + self.below(2 * SECOND);
            self.places[place].calls.push((host, until));
        }
    }

    fn fault(&mut self) {
        let place = self.below(self.plan.processes as u64) as usize;
        let of = &mut self.places[place];
        if of.machine.is_some() && !of.frozen && !of.apart {
            of.since = self.now;
            self.seen.faults += 1;
            let lasts = 2 * SECOND + self.below(4 * self.plan.lease);
            match self.below(3) {
                0 => {
                    self.places[place].machine = None;
                    self.places[place].calls.clear();
                    self.holding(place, None);
                }
                1 => self.places[place].frozen = true,
                _ => self.places[place].apart = true,
            }
            self.push(lasts, What::Heal(place));
        }
        let every = self.plan.fault_every;
        let after = every / 2 + self.below(every);
        self.push(after, What::Fault);
    }

    fn order(&mut self, place: usize, order: Command) {
        self.orders += 1;
        let id = self.orders;
        let patience = 60 * self.plan.lease;
        self.act(place, |machine, around, out| machine.submit(around, id, order, patience, out));
    }

    fn someone(&mut self) -> usize {
        loop {
            let place = self.below(self.plan.processes as u64) as usize;
            let of = &self.places[place];
            if of.machine.is_some() && !of.frozen && !of.apart {
                return place;
            }
        }
    }

    fn request(&self, host: &str, already_out: bool) -> Command {
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

    fn ask(&mut self) {
        let host = format!("h{:03}", self.next_host % self.plan.hosts);
        self.next_host += 1;
        if self.working.insert(host.clone()) {
            self.seen.asked += 1;
            self.asked.insert(host.clone(), self.now);
            let place = self.someone();
            let order = self.request(&host, false);
            self.order(place, order);
        }
    }

    fn say_done(&mut self, host: &str) {
        let place = self.someone();
        let turn =
            self.places.iter().filter_map(|p| p.machine.as_ref()?.state().of_host(host)).map(|t| t.id).max();
        if let Some(turn) = turn {
            self.order(place, Command::Complete { drain: turn, by: "ops".to_owned() });
        }
    }

    /// Where all have forgotten, the operators say what is out, and that it is all; and whoever waits asks again.
    fn remember(&mut self) {
        let forgot = |place: &usize| {
            let of = &self.places[*place];
            of.machine.as_ref().is_some_and(|m| view(m, self.local(*place)).lease.is_state_lost) && !of.frozen
        };
        let whole = self.places.iter().all(|p| p.machine.is_some() && !p.frozen && !p.apart);
        let holder = (0..self.plan.voters).find(forgot).filter(|_| whole);
        if let Some(place) = holder {
            self.seen.forgotten += 1;
            for host in self.free.clone() {
                let order = self.request(&host, true);
                self.order(place, order);
            }
            self.order(place, Command::DeclareRecovered { by: "ops".to_owned() });
        }
        let Some((holder, _)) = self.held else { return };
        let Some(board) = self.places[holder].machine.as_ref().map(|m| m.state().clone()) else { return };
        let waiting: Vec<String> = self
            .working
            .iter()
            .filter(|h| !self.free.contains(*h) && board.of_host(h).is_none())
            .cloned()
            .collect();
        for host in waiting {
            let place = self.someone();
            let order = self.request(&host, false);
            self.order(place, order);
        }
        // What is back and still shown as out is said again.
        let back =
            |turn: &&Drain| turn.stage == Stage::OutOfService && !self.free.contains(&turn.request.host);
        let back: Vec<(u64, bool)> = board
            .drains
            .iter()
            .filter(back)
            .map(|t| (t.id, self.working.contains(&t.request.host)))
            .collect();
        for (turn, working) in back {
            if !working {
                let place = self.someone();
                self.order(place, Command::Complete { drain: turn, by: "ops".to_owned() });
            }
        }
    }
}
