//! Exhaustive check of the protocol's state machines, with three voters and a cap of two permits in most
//! setups. One permit is the guaranteed minimum of the process that has the only slot, and the other one is
//! granted. In some setups, two proxies that are not voters have all calls. Messages are lost or delivered
//! late, and processes crash without stored state, pause for longer than a lease, or are partitioned in one
//! direction or both. In each step, a sixth of a lease, all messages are delivered that no fault affects.

mod system;

use flaxhead_rig::SystemModel as _;
use stateright::{Checker, HasDiscoveries, Model, Property};
use system::{
    in_flight, now, usable_permits, Fault, FleetModel, FleetState, Mutation, Topology, MINIMUM_FOR_ALL,
    TOTAL_STEPS, VOTERS, VOTERS_ALONE, VOTERS_AND_TWO_PROXIES,
};

const INVARIANTS_HOLD: &str = "the invariants hold";

impl Model for FleetModel {
    type State = FleetState;
    type Action = Fault;

    fn init_states(&self) -> Vec<FleetState> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &FleetState, faults: &mut Vec<Fault>) {
        flaxhead_rig::SystemModel::list_faults(self, state, faults);
    }

    fn next_state(&self, state: &FleetState, fault: Fault) -> Option<FleetState> {
        Some(self.run_step(state, fault).state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(INVARIANTS_HOLD, |_, state: &FleetState| state.violation.is_none()),
            Property::always(
                "the whole cap is usable after the faults",
                |fleet: &FleetModel, state: &FleetState| {
                    state.step < fleet.initial.step + TOTAL_STEPS || {
                        usable_permits(state) == fleet.topology.cap
                            && in_flight(state, fleet.topology.active_nodes[1]) > 0
                    }
                },
            ),
        ]
    }
}

fn check(
    topology: Topology,
    mutation: Mutation,
    max_faults: u8,
    between_messages: bool,
) -> (usize, Vec<&'static str>) {
    check_model(FleetModel::new(topology, mutation, max_faults, between_messages))
}

fn check_model(fleet: FleetModel) -> (usize, Vec<&'static str>) {
    let mutation = fleet.mutation;
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    // All states are visited, except with a mutation, where the first violation of an invariant ends the
    // search.
    let finish_condition = match mutation {
        Mutation::None => HasDiscoveries::All,
        _ => HasDiscoveries::AnyOf([INVARIANTS_HOLD].into()),
    };
    let checker = fleet.checker().threads(threads).finish_when(finish_condition).spawn_bfs().join();
    for (property, path) in checker.discoveries() {
        if mutation == Mutation::None {
            let last = path.last_state().clone();
            let faults: Vec<Fault> = path.into_actions();
            let faults: Vec<(usize, &Fault)> =
                faults.iter().enumerate().filter(|(_, a)| **a != Fault::Nothing).collect();
            println!(
                "{property}: {faults:?}\n{:?}, {:?}, {:?}",
                last.violation, last.environment.allowances, last.environment.calls
            );
            last.nodes.iter().for_each(|node| println!("{:?}", node.status(now(last.step))));
        }
    }
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn one_fault_between_any_two_messages_keeps_the_cap_and_all_permits_return() {
    let (states, violated) = check(VOTERS_ALONE, Mutation::None, 1, true);
    println!("{states} states");
    assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
}

#[test]
fn two_faults_between_any_two_steps_keep_the_cap_and_all_permits_return() {
    let (states, violated) = check(VOTERS_ALONE, Mutation::None, 2, false);
    println!("{states} states");
    assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
}

/// Checks all mutations, and returns those that violate no invariant although they disable a rule of the
/// protocol.
fn undetected_mutations(topology: Topology) -> Vec<Mutation> {
    // Calls are so long that they are still in flight when their permits are granted to the second active
    // node.
    let long_calls = Topology { call_steps: 10, ..topology };
    let cases = [
        (Mutation::AssumeConfirmed, 1, true),
        (Mutation::AcceptStaleGrants, 1, true),
        (Mutation::IgnoreExpiry, 1, false),
        (Mutation::SkipLearning, 2, false),
        (Mutation::TreatSilentAsExited, 1, false),
        (Mutation::AssignSlotToAll, 0, false),
    ];
    let mut undetected_mutations = Vec::new();
    let cases = cases
        .map(|(mutation, max_faults, between_messages)| (topology, mutation, max_faults, between_messages));
    for (topology, mutation, max_faults, between_messages) in
        cases.into_iter().chain([(long_calls, Mutation::HideCallsInFlight, 0, false)])
    {
        let (states, violated) = check(topology, mutation, max_faults, between_messages);
        println!("{mutation:?}: {states} states, {violated:?}");
        undetected_mutations.extend((!violated.contains(&INVARIANTS_HOLD)).then_some(mutation));
    }
    undetected_mutations
}

#[test]
fn every_mutation_is_detected() {
    assert_eq!(undetected_mutations(VOTERS_ALONE), []);
}

/// With two faults, only the leader and the proxy that has calls at first are affected, which limits the
/// number of states. Two faults at any processes are checked by the test without proxies.
#[test]
fn two_proxies_beside_the_voters_keep_the_cap_and_get_all_permits_back() {
    let one_fault = FleetModel::new(VOTERS_AND_TWO_PROXIES, Mutation::None, 1, true);
    let two_faults = FleetModel::new(VOTERS_AND_TWO_PROXIES, Mutation::None, 2, false).restrict_faults();
    for fleet in [one_fault, two_faults] {
        let (states, violated) = check_model(fleet);
        println!("{states} states");
        assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
    }
}

#[test]
fn every_mutation_is_detected_with_proxies_beside_the_voters() {
    assert_eq!(undetected_mutations(VOTERS_AND_TWO_PROXIES), []);
}

/// Returns a model in which all voters lose their state in one step, while two proxies hold grants of all
/// permits that can be granted.
fn fleet_after_voter_state_loss(mutation: Mutation, max_faults: u8) -> FleetModel {
    let mut fleet = FleetModel::new(MINIMUM_FOR_ALL, mutation, max_faults, true);
    let mut state = fleet.initial.clone();
    for voter in 0..VOTERS {
        fleet.crash(&mut state, voter);
    }
    fleet.initial = state;
    fleet
}

#[test]
fn grants_of_proxies_count_after_all_voters_have_lost_their_state() {
    let (states, violated) = check_model(fleet_after_voter_state_loss(Mutation::None, 1));
    println!("{states} states");
    assert!(violated.is_empty() && states > 10_000, "{states} {violated:?}");
    for mutation in [Mutation::IgnoreLoss, Mutation::AssumeConfirmed] {
        let (states, violated) = check_model(fleet_after_voter_state_loss(mutation, 1));
        println!("{mutation:?}: {states} states, {violated:?}");
        assert!(violated.contains(&INVARIANTS_HOLD), "{mutation:?}: {states} states");
    }
}
