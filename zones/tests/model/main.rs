//! Exhaustive check of the protocol on the real machines: three voters, each a proxy in a zone of its own,
//! while one zone fails and recovers, so that the plan keeps changing. Faults are injected at every point of
//! the message exchange: messages are lost or duplicated, and processes restart without state, pause for
//! longer than a lease, or are cut off in one or both directions. A step takes a sixth of a lease, and all
//! messages sent in it arrive in it unless a fault prevents that.

mod fleet_model;

use fleet_model::{
    Action, FleetModel, ModelState, Mutation, Outage, END_STEP_COUNT, FAULT_STEP_COUNT, OUTAGE_STEP_COUNT,
    PROCESS_COUNT,
};
use stateright::{Checker, Model, Property};

impl Model for FleetModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.violation.is_some() || state.step >= self.initial.step + END_STEP_COUNT {
            return;
        }
        actions.push(Action::Proceed);
        if state.step >= self.initial.step + FAULT_STEP_COUNT + 2 * OUTAGE_STEP_COUNT {
            return;
        }
        if state.duplicate.is_some() {
            actions.push(Action::DeliverDuplicate);
        }
        if state.fault_count >= self.max_fault_count || state.step >= self.initial.step + FAULT_STEP_COUNT {
            return;
        }
        let message_count = self.run(state, Action::Proceed).1;
        let positions = if self.between_messages { 0..message_count } else { 0..message_count.min(1) };
        let may_begin_outage = state.outage.is_none();
        for position in positions {
            if self.between_messages {
                actions.push(Action::Lose(position));
                if state.duplicate.is_none() {
                    actions.push(Action::Duplicate(position));
                }
            }
            for process in 0..PROCESS_COUNT {
                actions.push(Action::Restart(process, position));
                if may_begin_outage {
                    let outages = [
                        Outage::Paused,
                        Outage::Partitioned,
                        Outage::InboundBlocked,
                        Outage::OutboundBlocked,
                    ];
                    actions.extend(outages.map(|outage| Action::BeginOutage(process, outage, position)));
                }
            }
        }
    }

    fn next_state(&self, state: &ModelState, action: Action) -> Option<ModelState> {
        Some(self.run(state, action).0)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no violation", |_, state: &ModelState| state.violation.is_none()),
            Property::always(
                "all processes follow one plan after the faults",
                |model: &FleetModel, state: &ModelState| {
                    state.step < model.initial.step + END_STEP_COUNT || state.all_follow_one_plan()
                },
            ),
        ]
    }
}

fn check(mutation: Mutation, max_fault_count: u8, between_messages: bool) -> (usize, Vec<&'static str>) {
    let model = FleetModel::new(mutation, max_fault_count, between_messages);
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(4);
    let checker = model.checker().threads(threads).spawn_bfs().join();
    for (name, path) in checker.discoveries() {
        if mutation == Mutation::Unmodified {
            let violation = path.last_state().violation;
            let actions: Vec<Action> = path.into_actions();
            let actions: Vec<(usize, &Action)> =
                actions.iter().enumerate().filter(|(_, a)| **a != Action::Proceed).collect();
            println!("{name}: {actions:?} {violation:?}");
        }
    }
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn no_process_follows_an_outdated_plan_after_one_fault_between_any_two_messages() {
    let (states, failed) = check(Mutation::Unmodified, 1, true);
    println!("{states} states");
    assert!(failed.is_empty() && states > 5_000, "{states} {failed:?}");
}

#[test]
fn no_process_follows_an_outdated_plan_after_two_faults_between_any_two_steps() {
    let (states, failed) = check(Mutation::Unmodified, 2, false);
    println!("{states} states");
    assert!(failed.is_empty() && states > 5_000, "{states} {failed:?}");
}

#[test]
fn the_check_detects_each_rule_that_is_removed() {
    let mut undetected = Vec::new();
    for (mutation, max_fault_count, between_messages) in [
        (Mutation::IgnoreLeaseExpiry, 1, false),
        (Mutation::IgnoreHigherBallot, 2, false),
        (Mutation::ReuseVersion, 0, false),
        (Mutation::KeepPlanAfterRestart, 1, false),
    ] {
        let (states, failed) = check(mutation, max_fault_count, between_messages);
        println!("{mutation:?}: {states} states, {failed:?}");
        undetected.extend((!failed.contains(&"no violation")).then_some(mutation));
    }
    assert_eq!(undetected, []);
}
