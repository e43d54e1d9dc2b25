//! Three voters and a cap of two calls: one is the part of whoever has the one seat, the other is granted. The voters
//! are the proxies that want them, or two proxies beside them are. Checked exhaustively on the real machines over every
//! place at which a message is lost or comes again later, a process crashes and forgets, freezes for longer than its
//! lease, or is cut off in one direction or both. A step is a sixth of a lease in which all that is sent arrives, but
//! for what the fault takes.

mod world;

use flaxhead_rig::SystemModel as _;
use stateright::{Checker, HasDiscoveries, Model, Property};
use world::{
    in_hand, now, usable, Broken, Fault, Fleet, Site, World, ENDS, PARTS_FOR_ALL, TWO_BESIDE, VOTERS,
    VOTERS_ALONE,
};

const NOTHING_WRONG: &str = "nothing is wrong";

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
        Some(self.run_step(world, fault).world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NOTHING_WRONG, |_, world: &World| world.violation.is_none()),
            Property::always(
                "the whole cap can be used once faults ended",
                |fleet: &Fleet, world: &World| {
                    world.step < fleet.first.step + ENDS || {
                        usable(world) == fleet.site.cap && in_hand(world, fleet.site.busy[1]) > 0
                    }
                },
            ),
        ]
    }
}

fn check(site: Site, broken: Broken, faults: u8, fine: bool) -> (usize, Vec<&'static str>) {
    check_from(Fleet::new(site, broken, faults, fine))
}

fn check_from(fleet: Fleet) -> (usize, Vec<&'static str>) {
    let broken = fleet.broken;
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    // All is walked through, unless a rule is out and that is seen.
    let until = match broken {
        Broken::Nothing => HasDiscoveries::All,
        _ => HasDiscoveries::AnyOf([NOTHING_WRONG].into()),
    };
    let checker = fleet.checker().threads(threads).finish_when(until).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if broken == Broken::Nothing {
            let last = path.last_state().clone();
            let faults: Vec<Fault> = path.into_actions();
            let faults: Vec<(usize, &Fault)> =
                faults.iter().enumerate().filter(|(_, a)| **a != Fault::Nothing).collect();
            println!(
                "{name}: {faults:?}\n{:?}, {:?}, {:?}",
                last.violation, last.environment.allowances, last.environment.calls
            );
            last.nodes.iter().for_each(|node| println!("{:?}", node.status(now(last.step))));
        }
    }
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn one_fault_between_any_two_messages_never_passes_the_cap_and_all_of_it_comes_back() {
    let (states, found) = check(VOTERS_ALONE, Broken::Nothing, 1, true);
    println!("{states} states");
    assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
}

#[test]
fn two_faults_between_any_two_steps_never_pass_the_cap_and_all_of_it_comes_back() {
    let (states, found) = check(VOTERS_ALONE, Broken::Nothing, 2, false);
    println!("{states} states");
    assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
}

/// Rules that can be taken out without the check seeing it.
fn missed(site: Site) -> Vec<Broken> {
    // Calls that still run when the units have come from the one proxy to the other.
    let long = Site { call: 10, ..site };
    let rules = [
        (Broken::Confirmed, 1, true),
        (Broken::Fence, 1, true),
        (Broken::Ends, 1, false),
        (Broken::Learns, 2, false),
        (Broken::KeepsUnheard, 1, false),
        (Broken::Seats, 0, false),
    ];
    let mut missed = Vec::new();
    let rules = rules.map(|(broken, faults, fine)| (site, broken, faults, fine));
    for (site, broken, faults, fine) in rules.into_iter().chain([(long, Broken::InHand, 0, false)]) {
        let (states, found) = check(site, broken, faults, fine);
        println!("{broken:?}: {states} states, {found:?}");
        missed.extend((!found.contains(&NOTHING_WRONG)).then_some(broken));
    }
    missed
}

#[test]
fn a_rule_that_is_taken_out_is_missed() {
    assert_eq!(missed(VOTERS_ALONE), []);
}

/// Two faults befall the holder and the proxy that has calls first; all others' are walked through above.
#[test]
fn beside_the_voters_two_proxies_never_pass_the_cap_and_get_all_of_it_back() {
    let one = Fleet::new(TWO_BESIDE, Broken::Nothing, 1, true);
    let two = Fleet::new(TWO_BESIDE, Broken::Nothing, 2, false).spare_others();
    for fleet in [one, two] {
        let (states, found) = check_from(fleet);
        println!("{states} states");
        assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
    }
}

#[test]
fn beside_the_voters_a_rule_that_is_taken_out_is_missed() {
    assert_eq!(missed(TWO_BESIDE), []);
}

/// All voters forget in one step, while two proxies live on that were granted what there is.
fn after_all_voters_forgot(broken: Broken, faults: u8) -> Fleet {
    let mut fleet = Fleet::new(PARTS_FOR_ALL, broken, faults, true);
    let mut world = fleet.first.clone();
    for voter in 0..VOTERS {
        fleet.crash(&mut world, voter);
    }
    fleet.first = world;
    fleet
}

#[test]
fn what_proxies_were_granted_counts_where_all_voters_forgot() {
    let (states, found) = check_from(after_all_voters_forgot(Broken::Nothing, 1));
    println!("{states} states");
    assert!(found.is_empty() && states > 10_000, "{states} {found:?}");
    for rule in [Broken::Forgotten, Broken::Confirmed] {
        let (states, found) = check_from(after_all_voters_forgot(rule, 1));
        println!("{rule:?}: {states} states, {found:?}");
        assert!(found.contains(&NOTHING_WRONG), "{rule:?}: {states} states");
    }
}
