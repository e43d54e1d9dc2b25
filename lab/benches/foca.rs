//! The membership's hard cases against `foca`, a well-kept SWIM machine without I/O, in a small virtual network: the
//! evidence for `docs/design/membership.md`. Its suspicion lasts as long as ours at the least.
//!
//! `cargo bench -p flaxhead-lab --bench foca`

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand10::rngs::SmallRng;
use rand10::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

const MEMBERS: usize = 10;
const SECOND: u64 = 1_000_000;
const HOUR: u64 = 3_600 * SECOND;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    place: u32,
    life: u32,
}

impl Identity for Id {
    type Addr = u32;

    fn renew(&self) -> Option<Id> {
        Some(Id { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.place
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.life > other.life
    }
}

enum Event {
    Data(Vec<u8>),
    Timer(Timer<Id>),
    Thaw,
}

struct Node {
    foca: Foca<Id, PostcardCodec, SmallRng, foca::NoCustomBroadcast>,
    frozen: bool,
    waiting: Vec<Event>,
}

struct Net {
    now: u64,
    nodes: Vec<Node>,
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
    loss: f64,
    cut: HashSet<(usize, usize)>,
    random: SmallRng,
    removals: usize,
}

fn config() -> Config {
    let every = |span: Duration, members: usize| {
        NonZeroUsize::new(members).map(|num_members| PeriodicParams { frequency: span, num_members })
    };
    Config {
        suspect_to_down_after: Duration::from_secs(6),
        periodic_announce: every(Duration::from_secs(15), 1),
        periodic_announce_to_down_members: every(Duration::from_secs(5), 1),
        periodic_gossip: every(Duration::from_millis(200), 3),
        notify_down_members: true,
        ..Config::new_lan(NonZeroU32::new(MEMBERS as u32).unwrap_or(NonZeroU32::MIN))
    }
}

impl Net {
    fn whole() -> Net {
        let node = |place: u32| {
            let random = SmallRng::seed_from_u64(u64::from(place) + 1);
            Node {
                foca: Foca::new(Id { place, life: 0 }, config(), random, PostcardCodec),
                frozen: false,
                waiting: Vec::new(),
            }
        };
        let mut net = Net {
            now: 0,
            nodes: (0..MEMBERS as u32).map(node).collect(),
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            cut: HashSet::new(),
            random: SmallRng::seed_from_u64(9),
            removals: 0,
        };
        for place in 1..MEMBERS {
            let mut runtime = AccumulatingRuntime::new();
            net.nodes[place].foca.announce(Id { place: 0, life: 0 }, &mut runtime).expect("announced");
            net.carry_out(place, runtime);
        }
        net.run(20 * SECOND);
        net.removals = 0;
        net
    }

    fn push(&mut self, at: u64, to: usize, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.order.push(Reverse((at, self.number, to)));
    }

    fn carry_out(&mut self, from: usize, mut runtime: AccumulatingRuntime<Id>) {
        while let Some((to, data)) = runtime.to_send() {
            let to = to.place as usize;
            if !self.cut.contains(&(from, to)) && self.random.random::<f64>() >= self.loss {
                let at = self.now + 300 + self.random.random_range(0..400);
                self.push(at, to, Event::Data(data.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.push(self.now + after.as_micros() as u64, from, Event::Timer(timer));
        }
        while let Some(noted) = runtime.to_notify() {
            self.removals += usize::from(matches!(noted, OwnedNotification::MemberDown(_)));
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(&Reverse((at, number, to))) =
            self.order.peek().filter(|Reverse((at, ..))| *at <= until)
        {
            self.order.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(to, event);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, to: usize, event: Event) {
        let node = &mut self.nodes[to];
        let mut runtime = AccumulatingRuntime::new();
        // What it does not take is its own matter.
        let _ = match event {
            Event::Thaw => {
                node.frozen = false;
                let waiting = std::mem::take(&mut node.waiting);
                return waiting.into_iter().for_each(|event| self.happen(to, event));
            }
            event if node.frozen => return node.waiting.push(event),
            Event::Data(data) => node.foca.handle_data(&data, &mut runtime),
            Event::Timer(timer) => node.foca.handle_timer(timer, &mut runtime),
        };
        self.carry_out(to, runtime);
    }

    fn freeze(&mut self, place: usize, span: u64) {
        self.nodes[place].frozen = true;
        self.push(self.now + span, place, Event::Thaw);
    }
}

fn main() {
    println!("foca: removals of members that run, for each member and hour, and members that each knows at the end");
    let row = |what: &str, trouble: &dyn Fn(&mut Net)| {
        let mut net = Net::whole();
        let end = net.now + HOUR;
        while net.now < end {
            trouble(&mut net);
        }
        let known: Vec<usize> = net.nodes.iter().map(|node| node.foca.num_members()).collect();
        println!("{what:44} {:>10.2}  {known:?}", net.removals as f64 / MEMBERS as f64);
    };
    for (what, pause) in
        [("a third stopped for 0.5 s", SECOND / 2), ("for 2 s", 2 * SECOND), ("for 5 s", 5 * SECOND)]
    {
        row(what, &|net| {
            let round = (net.now / SECOND) as usize;
            (0..MEMBERS / 3).for_each(|n| net.freeze((round + n) % MEMBERS, pause));
            net.run(pause + 10 * SECOND);
        });
    }
    let cut = |ways: Vec<(usize, usize)>| {
        move |net: &mut Net| {
            net.cut = ways.iter().copied().collect();
            net.run(60 * SECOND);
        }
    };
    row("30% of all datagrams lost", &|net| {
        net.loss = 0.3;
        net.run(60 * SECOND);
    });
    row("one member hears nobody", &cut((1..MEMBERS).map(|other| (other, 0)).collect()));
    row("one member is heard by nobody", &cut((1..MEMBERS).map(|other| (0, other)).collect()));
    row("one direction of one link cut", &cut(vec![(2, 4)]));
    let across = (0..4).flat_map(|a| (5..MEMBERS).flat_map(move |b| [(a, b), (b, a)]));
    row("two groups that one member joins", &cut(across.collect()));
}
