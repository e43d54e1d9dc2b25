//! A network of membership machines in virtual time: losses, delays, one-sided cuts, frozen, crashed and vanished
//! processes. One seed gives one run.

use flaxhead_membership::{
    Change, CheckResult, Config, Effect, Kind, Machine, MemberRecord, Micros, Name, Packet, State, Update,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// A second.
pub const SECOND: Micros = 1_000_000;
/// The way between two processes where nothing is wrong, and how much it varies.
const WAY: Micros = 300;
const WAY_JITTER: Micros = 400;
/// How long a question over a connection waits.
const CHECK_WAIT: Micros = 250_000;
/// Tries of a lost segment that a connection's exchange outlives.
const SEGMENT_TRIES: i32 = 3;
/// Bytes that a datagram takes beside its updates, as the driver writes it.
const FRAME: usize = 90;
/// Bytes of the headers of IP and UDP.
const HEADERS: usize = 28;

/// What is wrong on the way from one process to another.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fault {
    /// Share of what is lost.
    pub loss: f64,
    /// Added time, and how much it varies.
    pub delay: Micros,
    /// See `delay`.
    pub jitter: Micros,
    /// Share of what comes twice.
    pub duplicate: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Thaw(usize),
    Packet { from: usize, to: usize, number: u64 },
    Asked { from: usize, to: usize, seq: u32, life: u64 },
    Verdict { to: usize, seq: u32, number: u64, life: u64 },
    Exchange { from: usize, to: usize, number: u64, answer: bool },
}

/// Something that one process noticed of another.
#[derive(Clone, Debug)]
pub struct Noticed {
    /// When.
    pub at: Micros,
    /// Who.
    pub by: usize,
    /// What.
    pub change: Change,
    /// Where it is a death: whether the process it speaks of runs all the same.
    pub mistaken: bool,
}

/// What a process sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    /// Datagrams.
    pub packets: u64,
    /// Their bytes, headers included, and those of exchanges over connections.
    pub bytes: u64,
    /// Pings.
    pub probes: u64,
}

struct Node {
    name: Name,
    at: SocketAddr,
    machine: Option<Machine>,
    /// Its machine is gone too: nothing is refused, nothing answered.
    vanished: bool,
    frozen: bool,
    waiting: Vec<Event>,
    wake: Micros,
    clock_ahead: Micros,
    sent: Sent,
}

/// The network.
pub struct Net {
    now: Micros,
    seed: u64,
    starts: u64,
    config: Config,
    nodes: Vec<Node>,
    places: BTreeMap<SocketAddr, usize>,
    names: BTreeMap<Name, usize>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    packets: BTreeMap<u64, Packet>,
    verdicts: BTreeMap<u64, CheckResult>,
    number: u64,
    random: Pcg64,
    /// What is wrong everywhere.
    pub everywhere: Fault,
    links: BTreeMap<(usize, usize), Fault>,
    noticed: Vec<Noticed>,
}

/// Where a process is reached.
fn address(place: usize) -> SocketAddr {
    let [_, high, middle, low] = (place as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, high + 1, middle, low], 7_000))
}

impl Net {
    /// Processes that all know of each other.
    pub fn whole(count: usize, config: Config, seed: u64) -> Net {
        let mut net = Net::strangers(count, config, seed);
        let cards: Vec<MemberRecord> =
            net.nodes.iter().filter_map(|n| n.machine.as_ref()).map(|m| m.table().me().clone()).collect();
        for place in 0..count {
            // As one full exchange brings it: only whom it is with is news to send on.
            let from = cards[(place + 1) % count].clone();
            let other = |card: &&MemberRecord| card.name != from.name && card.name != cards[place].name;
            let updates = cards.iter().filter(other).map(|card| Update {
                record: card.clone(),
                state: State::Alive,
                by: None,
            });
            let packet = Packet { updates: updates.collect(), from, digest: 0, kind: Kind::Gossip };
            let Some(machine) = net.nodes[place].machine.as_mut() else { continue };
            machine.receive_full_state(0, address((place + 1) % count), &packet, &mut Vec::new());
        }
        net
    }

    /// Processes that start together and know the first two as contacts.
    pub fn strangers(count: usize, config: Config, seed: u64) -> Net {
        let mut net = Net {
            now: 0,
            seed,
            starts: 0,
            config,
            nodes: Vec::new(),
            places: BTreeMap::new(),
            names: BTreeMap::new(),
            events: BinaryHeap::new(),
            packets: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            number: 0,
            random: Pcg64::seed_from_u64(seed),
            everywhere: Fault::default(),
            links: BTreeMap::new(),
            noticed: Vec::new(),
        };
        for place in 0..count {
            let name = Name::new(&format!("n{place}")).unwrap_or_else(|e| unreachable!("{e}"));
            let at = address(place);
            net.places.insert(at, place);
            net.names.insert(name.clone(), place);
            let (machine, sent) = (None, Sent::default());
            net.nodes.push(Node {
                name,
                at,
                machine,
                vanished: false,
                frozen: false,
                waiting: Vec::new(),
                wake: Micros::MAX,
                clock_ahead: 0,
                sent,
            });
            net.start(place);
        }
        net
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// A process's machine, while it runs.
    pub fn machine(&self, place: usize) -> Option<&Machine> {
        self.nodes[place].machine.as_ref()
    }

    /// Everything that was noticed so far.
    pub fn noticed(&self) -> &[Noticed] {
        &self.noticed
    }

    /// What all have sent since the last time this was asked.
    pub fn sent(&mut self) -> Vec<Sent> {
        self.nodes.iter_mut().map(|node| std::mem::take(&mut node.sent)).collect()
    }

    /// Deaths that were noticed of processes that run.
    pub fn mistakes(&self) -> usize {
        self.noticed.iter().filter(|n| n.mistaken).count()
    }

    /// Starts a process that does not run, without memory, its clock set to any time.
    pub fn start(&mut self, place: usize) {
        self.starts += 1;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(self.starts);
        let contacts = vec![address(0), address(1)];
        let node = &mut self.nodes[place];
        let now = self.now + node.clock_ahead;
        let machine = Machine::new(node.name.clone(), node.at, contacts, self.config.clone(), seed, now);
        (node.machine, node.vanished, node.frozen) = (Some(machine), false, false);
        node.waiting.clear();
        self.wake_at(place, self.now);
    }

    /// Ends a process; its machine still refuses what comes for it.
    pub fn crash(&mut self, place: usize) {
        self.nodes[place].machine = None;
        self.nodes[place].frozen = false;
    }

    /// Takes a whole machine away: nothing is refused, nothing answered.
    pub fn vanish(&mut self, place: usize) {
        self.crash(place);
        self.nodes[place].vanished = true;
    }

    /// Stops a process for a while.
    pub fn freeze(&mut self, place: usize, span: Micros) {
        self.nodes[place].frozen = true;
        self.push(self.now + span, Event::Thaw(place));
    }

    /// Has a process say that it goes.
    pub fn leave(&mut self, place: usize) {
        self.with(place, |machine, now, out| machine.leave(now, out));
    }

    /// Sets a process's clock on; the next start counts from there.
    pub fn set_clock(&mut self, place: usize, ahead: Micros) {
        self.nodes[place].clock_ahead = ahead;
    }

    /// Has something be wrong on the way from one process to another, or nothing.
    pub fn link(&mut self, from: usize, to: usize, fault: Fault) {
        self.links.insert((from, to), fault);
    }

    /// Cuts every way between two groups, or mends it.
    pub fn split(&mut self, one: &[usize], other: &[usize], cut: bool) {
        let fault = Fault { loss: if cut { 1.0 } else { 0.0 }, ..Fault::default() };
        for &a in one {
            for &b in other {
                self.link(a, b, fault);
                self.link(b, a, fault);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > until {
                break;
            }
            if let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = at;
                self.happen(event);
            }
        }
        self.now = until;
    }

    /// Lets time pass until something holds; how long it took, or `None` where it does not hold by then.
    pub fn until(&mut self, most: Micros, holds: impl Fn(&Net) -> bool) -> Option<Micros> {
        let start = self.now;
        while self.now < start + most {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(10_000);
        }
        None
    }

    /// The places of the processes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&place| self.nodes[place].machine.is_some()).collect()
    }

    /// Whether all that run take each other, in their lives, and nobody else to run.
    pub fn agreed(&self) -> bool {
        let running = self.running();
        let mut digests = running.iter().filter_map(|&place| self.machine(place)).map(|m| m.table().digest());
        let first = digests.next();
        let alike = digests.all(|digest| Some(digest) == first);
        alike
            && running.iter().all(|&place| {
                self.machine(place).is_some_and(|m| m.table().others().count() == running.len() - 1)
            })
    }

    /// Whether every process that runs takes this one for gone.
    pub fn known_gone(&self, place: usize) -> bool {
        let name = &self.nodes[place].name;
        let gone = |m: &Machine| {
            m.table().get(name).is_none_or(|member| matches!(member.state, State::Dead | State::Left))
        };
        self.running()
            .iter()
            .filter(|&&other| other != place)
            .filter_map(|&other| self.machine(other))
            .all(gone)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn wake_at(&mut self, place: usize, at: Micros) {
        if at < self.nodes[place].wake {
            self.nodes[place].wake = at;
            self.push(at, Event::Wake(place));
        }
    }

    /// Whether something passes, and how long it takes.
    fn pass(&mut self, from: usize, to: usize, tries: i32) -> Option<Micros> {
        let link = self.links.get(&(from, to)).copied().unwrap_or_default();
        let loss = (1.0 - (1.0 - link.loss) * (1.0 - self.everywhere.loss)).powi(tries);
        if loss > 0.0 && self.random.random::<f64>() < loss {
            return None;
        }
        let varies = WAY_JITTER + link.jitter + self.everywhere.jitter;
        Some(WAY + link.delay + self.everywhere.delay + self.random.random_range(0..=varies))
    }

    fn happen(&mut self, event: Event) {
        let place = match event {
            Event::Thaw(place) => {
                self.nodes[place].frozen = false;
                for event in std::mem::take(&mut self.nodes[place].waiting) {
                    self.happen(event);
                }
                return self.wake_at(place, self.now);
            }
            Event::Wake(to) | Event::Packet { to, .. } | Event::Verdict { to, .. } => to,
            Event::Exchange { to, .. } | Event::Asked { to, .. } => to,
        };
        // What comes for a stopped process waits in its sockets.
        if self.nodes[place].frozen && !matches!(event, Event::Asked { .. }) {
            if event == Event::Wake(place) {
                self.nodes[place].wake = Micros::MAX;
                return;
            }
            return self.nodes[place].waiting.push(event);
        }
        match event {
            // One that an earlier one has overtaken.
            Event::Wake(place) if self.nodes[place].wake != self.now => {}
            Event::Wake(place) => {
                self.nodes[place].wake = Micros::MAX;
                self.with(place, |machine, now, out| machine.tick(now, out));
            }
            Event::Packet { from, to, number } => {
                let Some(packet) = self.packets.remove(&number) else { return };
                self.with(to, |machine, now, out| machine.receive(now, address(from), packet, out));
            }
            Event::Asked { from, to, seq, life } => self.asked(from, to, seq, life),
            Event::Verdict { to, seq, number, life } => {
                let Some(verdict) = self.verdicts.remove(&number) else { return };
                // A process that was started anew has asked nothing.
                if self.life(to) == Some(life) {
                    self.with(to, |machine, now, out| machine.check_completed(now, seq, verdict, out));
                }
            }
            Event::Exchange { from, to, number, answer } => {
                let Some(packet) = self.packets.remove(&number) else { return };
                let back = self.machine(to).map(Machine::full_state);
                self.with(to, |machine, now, out| {
                    machine.receive_full_state(now, address(from), &packet, out)
                });
                if let Some(back) = back.filter(|_| answer) {
                    self.exchange(to, from, back, false);
                }
            }
            Event::Thaw(_) => {}
        }
    }

    fn life(&self, place: usize) -> Option<u64> {
        self.machine(place).map(|m| m.table().me().stamp.incarnation)
    }

    /// A question over a connection arrives at a machine.
    fn asked(&mut self, from: usize, to: usize, seq: u32, life: u64) {
        let node = &self.nodes[to];
        let (verdict, wait) = match &node.machine {
            None if node.vanished => (CheckResult::Unreachable, CHECK_WAIT),
            None => (CheckResult::Refused, 0),
            Some(_) if node.frozen => (CheckResult::Stalled, CHECK_WAIT),
            Some(machine) => (CheckResult::Answered(machine.table().me().clone()), 0),
        };
        let way = self.pass(to, from, 1);
        let (verdict, after) = match way {
            Some(way) => (verdict, way + wait),
            None => (CheckResult::Unreachable, CHECK_WAIT),
        };
        self.verdict(from, seq, verdict, after, life);
    }

    fn verdict(&mut self, to: usize, seq: u32, verdict: CheckResult, after: Micros, life: u64) {
        self.number += 1;
        self.verdicts.insert(self.number, verdict);
        let number = self.number;
        self.push(self.now + after, Event::Verdict { to, seq, number, life });
    }

    fn exchange(&mut self, from: usize, to: usize, packet: Packet, answer: bool) {
        self.nodes[from].sent.bytes += packet_bytes(&packet) as u64;
        // No connection comes up over half a way.
        let back = self.pass(to, from, SEGMENT_TRIES);
        if let Some(way) = self.pass(from, to, SEGMENT_TRIES).filter(|_| back.is_some()) {
            self.number += 1;
            let number = self.number;
            self.packets.insert(number, packet);
            self.push(self.now + way, Event::Exchange { from, to, number, answer });
        }
    }

    /// Has a machine do something, and carries out what it says.
    fn with(&mut self, place: usize, act: impl FnOnce(&mut Machine, Micros, &mut Vec<Effect>)) {
        let now = self.now + self.nodes[place].clock_ahead;
        let Some(machine) = self.nodes[place].machine.as_mut() else { return };
        let mut out = Vec::new();
        act(machine, now, &mut out);
        let wake = machine.next_wake().saturating_sub(self.nodes[place].clock_ahead).max(self.now + 1);
        self.wake_at(place, wake);
        for effect in out {
            self.carry_out(place, effect);
        }
    }

    fn carry_out(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, packet } => {
                let sent = &mut self.nodes[from].sent;
                sent.packets += 1;
                sent.bytes += packet_bytes(&packet) as u64;
                sent.probes += u64::from(matches!(packet.kind, Kind::Ping { .. }));
                let Some(&to) = self.places.get(&to) else { return };
                let twice =
                    self.links.get(&(from, to)).map_or(0.0, |l| l.duplicate) + self.everywhere.duplicate;
                let copies = 1 + usize::from(twice > 0.0 && self.random.random::<f64>() < twice);
                for _ in 0..copies {
                    if let Some(way) = self.pass(from, to, 1) {
                        self.number += 1;
                        let number = self.number;
                        self.packets.insert(number, packet.clone());
                        self.push(self.now + way, Event::Packet { from, to, number });
                    }
                }
            }
            Effect::Check { seq, address } => {
                let (Some(&to), Some(life)) = (self.places.get(&address), self.life(from)) else { return };
                match self.pass(from, to, 1) {
                    Some(way) => self.push(self.now + way, Event::Asked { from, to, seq, life }),
                    None => self.verdict(from, seq, CheckResult::Unreachable, CHECK_WAIT, life),
                }
            }
            Effect::Exchange { address } => {
                let (Some(&to), Some(machine)) = (self.places.get(&address), self.machine(from)) else {
                    return;
                };
                let packet = machine.full_state();
                self.exchange(from, to, packet, true);
            }
            Effect::Changed(change) => {
                let mistaken = match &change {
                    Change::Died { name, .. } => self.runs(from, name),
                    _ => false,
                };
                self.noticed.push(Noticed { at: self.now, by: from, change, mistaken });
            }
        }
    }

    /// Whether the very process runs that `by` has just taken for gone.
    fn runs(&self, by: usize, name: &Name) -> bool {
        let Some(&place) = self.names.get(name) else { return false };
        let taken: Option<&MemberRecord> =
            self.machine(by).and_then(|m| m.table().get(name)).map(|m| &m.record);
        self.life(place).is_some() && taken.map(|card| card.stamp.incarnation) == self.life(place)
    }

    /// The names that are taken to run, at each process that runs.
    pub fn views(&self) -> BTreeSet<Vec<String>> {
        let names = |m: &Machine| {
            let mut names: Vec<String> = m.table().others().map(|o| o.record.name.to_string()).collect();
            names.push(m.table().me().name.to_string());
            names.sort();
            names
        };
        self.running().iter().filter_map(|&place| self.machine(place)).map(names).collect()
    }
}

fn packet_bytes(packet: &Packet) -> usize {
    HEADERS + FRAME + packet.updates.iter().map(|update| update.max_bytes()).sum::<usize>()
}
