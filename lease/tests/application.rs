//! An application without a slate or orders, at three processes in steps of virtual time: each hook is called where its
//! documentation says so.

use flaxhead_lease::{
    Application, Around, Ballot, Config, Effect, Facts, Granted, Machine, Member, MemberFact, Micros, Name,
    Never, Presence, Process, Room, Said, Serving, Terms, Unsettled, Voters,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const LEASE: Micros = 6_000_000;
const STEP: Micros = 20_000;

/// Says a number, and is granted as many as the holder has counted of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Count {
    hurries: bool,
    words: Vec<Micros>,
    granted: Vec<(Ballot, Micros, Micros, u32)>,
    fences: Vec<Ballot>,
}

impl Terms for Count {
    type Slate = ();
    type Word = u32;
    type Leave = u32;
    type Order = Never;
    type Answer = Never;
    type Refusal = Unsettled;
    type Facts = ();
    type Note = (&'static str, Process);
    const SLATE_MOST: usize = 0;
    const WORD_MOST: usize = 5;
    const LEAVE_MOST: usize = 5;
    const ORDER_MOST: usize = 0;
}

impl Application for Count {
    type Desk = BTreeMap<Process, u32>;

    fn word(&mut self, now: Micros, _: &Member<Self>, (): &()) -> u32 {
        self.hurries = false;
        self.words.push(now);
        7
    }

    fn granted(&mut self, granted: &Granted<Self>) {
        let Granted { ballot, stamp, until, leave } = granted;
        self.granted.push((ballot.clone(), *stamp, *until, *leave));
    }

    fn fenced(&mut self, fence: &Ballot) {
        self.fences.push(fence.clone());
    }

    fn hurries(&self) -> bool {
        self.hurries
    }

    fn begin(&self, _: &mut Room<'_, Self>) -> Self::Desk {
        BTreeMap::new()
    }

    fn heard(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>, said: &Said<'_, Self>) {
        assert_eq!(said.first, !desk.contains_key(said.process), "{said:?}");
        *desk.entry(said.process.clone()).or_default() += said.word;
        room.note(("heard", said.process.clone()));
    }

    fn leave(&self, desk: &mut Self::Desk, _: &mut Room<'_, Self>, process: &Process) -> u32 {
        desk[process]
    }

    fn parted(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>, process: &Process) {
        desk.remove(process);
        room.note(("parted", process.clone()));
    }

    fn order(&self, _: &mut Self::Desk, _: &mut Room<'_, Self>, order: Never) -> Result<Never, Unsettled> {
        match order {}
    }
}

struct Net {
    now: Micros,
    machines: Vec<Machine<Count>>,
    gone: BTreeSet<usize>,
    random: Pcg32,
    notes: Vec<(&'static str, Process)>,
}

fn name(place: usize) -> Name {
    Name::new(&format!("n{place}")).expect("a name")
}

fn process(place: usize) -> Process {
    Process { name: name(place), life: 1, at: SocketAddr::from(([127, 0, 0, place as u8 + 1], 7_000)) }
}

impl Net {
    fn new() -> Net {
        let voters = Voters::new((0..3).map(name).collect(), Vec::new()).expect("voters");
        let config = Config { lease: LEASE, cold_wait: LEASE, ..Config::default() };
        let machine =
            |place| Machine::new(config.clone(), Count::default(), voters.clone(), process(place), 0);
        let machines = (0..4).map(machine).collect();
        let (gone, notes) = Default::default();
        Net { now: 0, machines, gone, random: Pcg32::seed_from_u64(3), notes }
    }

    fn play(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            let mut on_the_way = VecDeque::new();
            for place in 0..self.machines.len() {
                self.act(place, None, &mut on_the_way);
            }
            while let Some((from, to, message)) = on_the_way.pop_front() {
                let place = (0..self.machines.len()).find(|place| name(*place) == to).expect("one");
                self.act(place, Some((from, message)), &mut on_the_way);
            }
        }
    }

    #[allow(clippy::type_complexity)]
    fn act(
        &mut self,
        place: usize,
        message: Option<(Name, flaxhead_lease::Message<Count>)>,
        on_the_way: &mut VecDeque<(Name, Name, flaxhead_lease::Message<Count>)>,
    ) {
        if self.gone.contains(&place) {
            return;
        }
        let fact = |other: usize| {
            let presence = if self.gone.contains(&other) { Presence::Ended } else { Presence::Runs };
            let Process { name, life, at } = process(other);
            (name, MemberFact { life, at, presence, since: 0 })
        };
        let members = (0..self.machines.len()).filter(|other| *other != place).map(fact).collect();
        let facts = Facts { members, takes_part: true, own: () };
        let mut out = Vec::new();
        let mut around =
            Around { now: self.now, facts: &facts, random: &mut self.random as &mut dyn RngCore };
        match message {
            None => self.machines[place].tick(&mut around, &mut out),
            Some((from, message)) => {
                self.machines[place].receive(&mut around, &from, message, &mut out);
            }
        }
        for effect in out {
            match effect {
                Effect::Send { to, message } => on_the_way.push_back((name(place), to, message)),
                Effect::Noted(note) => self.notes.push(note),
                Effect::Answer { .. } | Effect::Holds(_) => {}
            }
        }
    }

    fn holder(&self) -> usize {
        let holds =
            |place: &usize| !self.gone.contains(place) && self.machines[*place].holds(self.now).is_some();
        (0..3).find(holds).expect("one holds")
    }
}

#[test]
fn words_and_leaves_go_between_each_process_and_the_holder_and_a_new_one_is_told_of_by_its_fence() {
    let mut net = Net::new();
    net.play(5 * LEASE);
    let first = net.holder();
    for machine in &net.machines {
        assert_eq!(machine.serving(), Serving::Admitted);
        let Count { granted, fences, .. } = machine.application();
        assert!(granted.iter().all(|(_, stamp, until, _)| *until == stamp + LEASE), "{granted:?}");
        // Each word was counted once, and what the holder made of them came with the leaves.
        assert!(granted.windows(2).all(|two| two[1].3 == two[0].3 + 7), "{granted:?}");
        assert_eq!(fences.last().map(|fence| &fence.name), Some(&name(first)));
        assert!(fences.is_sorted(), "{fences:?}");
    }
    net.gone = BTreeSet::from([first]);
    net.play(5 * LEASE);
    let second = net.holder();
    // Who parted is heard of, and all others are heard anew: each of their first words is marked.
    assert!(net.notes.contains(&("parted", process(first))), "{:?}", net.notes);
    for (place, machine) in net.machines.iter().enumerate().filter(|(place, _)| *place != first) {
        let Count { granted, fences, .. } = machine.application();
        assert_eq!(granted.last().map(|(ballot, ..)| &ballot.name), Some(&name(second)), "{place}");
        assert_eq!(fences.last().map(|fence| &fence.name), Some(&name(second)));
    }
}

#[test]
fn one_that_hurries_is_heard_soon_and_at_a_bounded_pace() {
    let mut net = Net::new();
    net.play(5 * LEASE);
    let regular = LEASE / 4;
    let mut hurried = Vec::new();
    for _ in 0..2 * LEASE / STEP {
        net.machines[3].matter_mut().hurries = true;
        let words = net.machines[3].application().words.len();
        net.play(STEP);
        hurried.extend(net.machines[3].application().words[words..].to_vec());
    }
    let pauses: Vec<Micros> = hurried.windows(2).map(|two| two[1] - two[0]).collect();
    assert!(pauses.iter().all(|pause| *pause >= regular / 12), "{pauses:?}");
    // Far more often than the regular four in a lease.
    assert!(pauses.len() > 16 && pauses.iter().all(|pause| *pause < regular / 2), "{pauses:?}");
}
