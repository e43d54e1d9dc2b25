//! Every order in which three members may suspect, bury, tell, crash and start again, with a way cut and old words that
//! come again: checked exhaustively on the real table. Time is left out: anybody may suspect anybody at any moment.

use flaxhead_membership::{Cause, MemberRecord, MemberTable, Name, Stamp, State, SuspicionReport, Update};
use stateright::{Checker, Model, Property};
use std::net::SocketAddr;

const MEMBERS: usize = 3;
const RESTARTS: u8 = 1;
const INCARNATIONS: u32 = 2;
const GENERATIONS: u32 = 3;

/// A rule that is taken out, to see that the check sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// A member does not answer a suspicion.
    Refutes,
    /// A death is for good.
    DeathsEnd,
    /// A restarted process keeps the generation it began with.
    Claims,
    /// An older word on one that is gone brings it back.
    NewestWins,
}

struct Three(Broken);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// A member's table while it runs, else the number of lives it had.
    tables: Vec<Option<MemberTable>>,
    lives: Vec<u64>,
    /// Newest stamp that each has known of each in its life.
    newest: Vec<Vec<Option<Stamp>>>,
    /// A word that somebody said once, which may come at any later time, and again.
    old: Option<Update>,
    /// Nothing comes through from the first to the second.
    cut: Option<(usize, usize)>,
    restarts: u8,
    cuts: u8,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Suspect(usize, usize),
    Bury(usize, usize),
    Tell { from: usize, to: usize, of: usize },
    Keep { from: usize, of: usize },
    Repeat(usize),
    Crash(usize),
    Start(usize),
    Cut(usize, usize),
    Mend,
}

fn name(member: usize) -> Name {
    Name::new(&format!("n{member}")).expect("a name")
}

fn first_life(member: usize) -> u64 {
    100 + member as u64
}

fn card(member: usize, life: u64) -> MemberRecord {
    let last = u8::try_from(member + 1).expect("few members");
    let at = SocketAddr::from(([127, 0, 0, last], 7_000));
    MemberRecord { name: name(member), address: at, stamp: Stamp::first(life), uptime_ms: 0, cut_off: None }
}

impl Three {
    fn take(&self, table: &mut MemberTable, update: &Update) {
        let own = update.record.name == table.me().name;
        let own_life = update.record.stamp.incarnation == table.me().stamp.incarnation;
        let gone = table.get(&update.record.name).is_some_and(|m| m.state == State::Dead);
        match self.0 {
            Broken::Refutes if own && own_life => return,
            Broken::Claims if own && !own_life => return,
            Broken::DeathsEnd if gone && update.state != State::Dead => return,
            Broken::NewestWins if gone && update.state == State::Alive => table.remove(&update.record.name),
            _ => {}
        }
        table.merge(update, 0);
    }

    fn tell(&self, world: &mut World, to: usize, update: &Update) {
        if let Some(mut table) = world.tables[to].take() {
            self.take(&mut table, update);
            world.tables[to] = Some(table);
        }
    }

    /// All faults end and everybody tells everybody everything, until nothing is news.
    fn settle(&self, world: &World) -> World {
        let mut world = world.clone();
        (world.cut, world.old) = (None, None);
        for _ in 0..3 * MEMBERS {
            let before = world.clone();
            for from in 0..MEMBERS {
                for to in (0..MEMBERS).filter(|to| *to != from) {
                    let Some(table) = &world.tables[from] else { continue };
                    let own = Update { record: table.me().clone(), state: State::Alive, by: None };
                    let told: Vec<Update> = (0..MEMBERS).filter_map(|of| table.update(&name(of))).collect();
                    for update in std::iter::once(own).chain(told) {
                        self.tell(&mut world, to, &update);
                    }
                }
            }
            if world == before {
                break;
            }
        }
        world
    }
}

fn suspicion(world: &World, by: usize, of: usize, state: State) -> Option<Update> {
    let card = world.tables[by].as_ref()?.get(&name(of))?.record.clone();
    Some(Update { record: card, state, by: Some(SuspicionReport { by: name(by), cause: Cause::Silent }) })
}

fn state_of(world: &World, by: usize, of: usize) -> Option<State> {
    world.tables[by].as_ref()?.get(&name(of)).map(|m| m.state)
}

/// Once faults end all that run take each other to run, in their present lives and with their own last word.
fn agrees(model: &Three, world: &World) -> bool {
    let world = model.settle(world);
    let runs: Vec<usize> = (0..MEMBERS).filter(|&m| world.tables[m].is_some()).collect();
    runs.iter().all(|&by| {
        runs.iter().all(|&of| {
            let own = world.tables[of].as_ref().map(|t| t.me().clone());
            let known = world.tables[by].as_ref().and_then(|t| t.get(&name(of)).cloned());
            known.is_some_and(|k| k.state == State::Alive && Some(k.record) == own)
        })
    })
}

impl Model for Three {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut tables: Vec<MemberTable> =
            (0..MEMBERS).map(|m| MemberTable::new(card(m, first_life(m)))).collect();
        for table in &mut tables {
            for other in 0..MEMBERS {
                table.merge(
                    &Update { record: card(other, first_life(other)), state: State::Alive, by: None },
                    0,
                );
            }
        }
        vec![World {
            tables: tables.into_iter().map(Some).collect(),
            lives: (0..MEMBERS).map(first_life).collect(),
            newest: vec![vec![None; MEMBERS]; MEMBERS],
            old: None,
            cut: None,
            restarts: 0,
            cuts: 0,
            went_back: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for a in 0..MEMBERS {
            for b in (0..MEMBERS).filter(|&b| b != a) {
                match state_of(world, a, b) {
                    Some(State::Alive) => acts.push(Act::Suspect(a, b)),
                    Some(State::Suspect) => acts.push(Act::Bury(a, b)),
                    _ => {}
                }
                if world.cut != Some((a, b)) && world.tables[a].is_some() && world.tables[b].is_some() {
                    acts.extend((0..MEMBERS).map(|of| Act::Tell { from: a, to: b, of }));
                }
                if world.cuts == 0 {
                    acts.push(Act::Cut(a, b));
                }
            }
            match &world.tables[a] {
                Some(_) if world.restarts < RESTARTS => acts.push(Act::Crash(a)),
                None => acts.push(Act::Start(a)),
                Some(_) => {}
            }
            if world.old.is_none() && world.tables[a].is_some() {
                acts.extend((0..MEMBERS).map(|of| Act::Keep { from: a, of }));
            }
            if world.old.is_some() && world.tables[a].is_some() {
                acts.push(Act::Repeat(a));
            }
        }
        if world.cut.is_some() {
            acts.push(Act::Mend);
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Suspect(by, of) => {
                let update = suspicion(world, by, of, State::Suspect)?;
                self.tell(&mut next, by, &update);
            }
            Act::Bury(by, of) => {
                let update = suspicion(world, by, of, State::Dead)?;
                self.tell(&mut next, by, &update);
            }
            Act::Tell { from, to, of } => {
                let update = world.tables[from].as_ref()?.update(&name(of))?;
                self.tell(&mut next, to, &update);
            }
            Act::Keep { from, of } => next.old = Some(world.tables[from].as_ref()?.update(&name(of))?),
            Act::Repeat(to) => {
                let update = world.old.clone()?;
                self.tell(&mut next, to, &update);
            }
            Act::Crash(member) => {
                next.tables[member] = None;
                next.restarts += 1;
            }
            Act::Start(member) => {
                // The harder of the two cases: what is drawn for it is below what its last life drew.
                next.lives[member] -= 10;
                next.tables[member] = Some(MemberTable::new(card(member, next.lives[member])));
                next.newest[member] = vec![None; MEMBERS];
            }
            Act::Cut(a, b) => {
                next.cut = Some((a, b));
                next.cuts += 1;
            }
            Act::Mend => next.cut = None,
        }
        for by in 0..MEMBERS {
            for of in 0..MEMBERS {
                let known = next.tables[by].as_ref().and_then(|t| t.get(&name(of))).map(|m| m.record.stamp);
                next.went_back |= known.is_some() && known < next.newest[by][of];
                next.newest[by][of] = next.newest[by][of].max(known);
            }
        }
        (next != *world).then_some(next)
    }

    fn within_boundary(&self, world: &World) -> bool {
        let stamps = world.tables.iter().flatten().flat_map(|t| t.iter().map(|m| m.record.stamp));
        stamps.into_iter().all(|s| s.sequence <= INCARNATIONS && s.generation <= GENERATIONS)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no stamp goes back", |_, world: &World| !world.went_back),
            Property::always("once faults end, all that run agree", agrees),
            Property::sometimes("a member is buried", |_, world: &World| {
                (0..MEMBERS).any(|a| (0..MEMBERS).any(|b| state_of(world, a, b) == Some(State::Dead)))
            }),
        ]
    }
}

fn check(broken: Broken, depth: usize) -> impl Checker<Three> {
    Three(broken).checker().threads(4).target_max_depth(depth).spawn_bfs().join()
}

#[test]
fn no_order_of_words_restarts_and_cuts_parts_three_members_for_good() {
    let checker = check(Broken::Nothing, 7);
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000);
}

#[test]
fn each_rule_that_is_taken_out_is_missed() {
    for broken in [Broken::Refutes, Broken::DeathsEnd, Broken::Claims, Broken::NewestWins] {
        let found = check(broken, 7);
        let found = found.discoveries();
        let broke = ["no stamp goes back", "once faults end, all that run agree"];
        assert!(broke.iter().any(|property| found.contains_key(property)), "{broken:?} was not seen");
    }
}
