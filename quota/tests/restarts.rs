//! Simulated restarts of a whole fleet with stored state that is complete, partly lost or entirely lost. At
//! each step, the permits of all processes are checked against the caps.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

mod fleet;

use flaxhead_lease::Voters;
use flaxhead_quota::{
    Context, Effect, Facts, Machine, Message, Name, Process, QuotaApplication, QuotaTiming,
};
use fleet::{site, Fleet, Mode, Scenario, SECOND};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const NODE_COUNT: usize = 8;
const LEASE: u64 = 6 * SECOND;

/// Returns a fleet whose processes store their state and have more demand than the caps allow, after all
/// permits have been granted.
fn fully_granted_fleet(seed: u64, loss_ratio: f64) -> Fleet {
    let mut fleet = Fleet::new(Scenario {
        processes: NODE_COUNT,
        voters: 3,
        max_proxies: NODE_COUNT as u32,
        site: site("banks", 4 * NODE_COUNT as u32),
        hosts: 2 * NODE_COUNT,
        calls_per_host: 8,
        timing: QuotaTiming { lease: LEASE, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND },
        call_duration: SECOND,
        has_long_calls: true,
        call_interval: SECOND / 20,
        fault_interval: 0,
        demand_change_interval: 0,
        loss_ratio,
        mode: Mode::Coordinated,
        seed,
    });
    (0..NODE_COUNT).for_each(|node| fleet.kill(node));
    (0..NODE_COUNT).for_each(|node| fleet.start_with_state(node, None));
    for node in 0..NODE_COUNT {
        capped_tenants(&fleet).iter().for_each(|(tenant, _)| fleet.set_demand(node, *tenant, 40));
    }
    assert!(time_until_fully_granted(&mut fleet) < 60 * SECOND);
    fleet
}

fn capped_tenants(fleet: &Fleet) -> Vec<(usize, u32)> {
    fleet
        .registry()
        .tenants
        .iter()
        .enumerate()
        .filter_map(|(index, tenant)| Some((index, tenant.cap?)))
        .collect()
}

/// Returns the time until all permits of every cap may be used; 60 s if that takes longer.
fn time_until_fully_granted(fleet: &mut Fleet) -> u64 {
    let started_at = fleet.now;
    let is_fully_granted =
        |fleet: &Fleet| capped_tenants(fleet).iter().all(|(tenant, cap)| fleet.total_usable(*tenant) == *cap);
    while !is_fully_granted(fleet) && fleet.now < started_at + 60 * SECOND {
        fleet.run(SECOND / 50);
    }
    fleet.now - started_at
}

/// Stops the processes `nodes` and starts them a second later; a process for which `keeps_state` is true
/// reads its stored state back. Returns the time until all permits of every cap may be used again.
fn restart(fleet: &mut Fleet, nodes: std::ops::Range<usize>, keeps_state: impl Fn(usize) -> bool) -> u64 {
    // Voters record in their stored state that it is complete only at their next lease renewal.
    fleet.run(2 * LEASE);
    let found: Vec<_> =
        (0..NODE_COUNT).map(|node| fleet.persistent_state(node).filter(|_| keeps_state(node))).collect();
    nodes.clone().for_each(|node| fleet.kill(node));
    fleet.run(SECOND);
    nodes.for_each(|node| fleet.start_with_state(node, found[node].clone()));
    time_until_fully_granted(fleet)
}

/// Guards against a leader that, after a restart with the stored state of most voters, waits for earlier
/// grants and calls to end. That is only needed if the state is lost.
#[test]
fn with_the_state_of_most_voters_all_permits_return_within_two_leases() {
    for seed in 1..=5 {
        let mut fleet = fully_granted_fleet(seed, 0.0);
        let with_state = restart(&mut fleet, 0..NODE_COUNT, |_| true);
        let all_but_one_restarted = restart(&mut fleet, 0..NODE_COUNT - 1, |_| true);
        let with_one_state_lost = restart(&mut fleet, 0..NODE_COUNT, |node| node != 1);
        let with_all_states_lost = restart(&mut fleet, 0..NODE_COUNT, |_| false);
        println!(
            "{:?}",
            [with_state, all_but_one_restarted, with_one_state_lost, with_all_states_lost]
                .map(|elapsed| elapsed / (SECOND / 10))
        );
        // After a restart, voters only wait for one lease before an election; the second lease is time for
        // repeated elections.
        assert!(
            [with_state, all_but_one_restarted, with_one_state_lost]
                .iter()
                .all(|elapsed| *elapsed < 2 * LEASE),
            "seed {seed}"
        );
        assert!(with_all_states_lost > 22 * SECOND, "seed {seed}");
    }
}

/// Guards against a cap that is exceeded, or permits that are never granted again, after restarts with partly
/// lost state.
#[test]
fn restarts_with_partly_lost_state_and_lost_messages_never_exceed_a_cap() {
    for seed in 1..=12_usize {
        let mut fleet = fully_granted_fleet(seed as u64, 0.1);
        let first = seed % 3;
        for round in 0..4 {
            let elapsed =
                restart(&mut fleet, first..NODE_COUNT - round % 2, |node| (node + seed + round) % 3 > 0);
            assert!(elapsed < 60 * SECOND, "seed {seed}, round {round}");
        }
        assert_eq!(fleet.stats.cap_violations, 0);
    }
}

/// Shows why a restarted process must not use a stored grant: within the validity of the grant, its permits
/// may have been granted to another process.
#[test]
fn a_stored_grant_may_belong_to_another_process_within_its_lease() {
    let mut fleet = fully_granted_fleet(1, 0.0);
    let (tenant, cap) = capped_tenants(&fleet)[0];
    let usable = |fleet: &Fleet| fleet.usable_at(NODE_COUNT - 1, tenant);
    let (stored_at, stored_permits) = (fleet.now, usable(&fleet));
    fleet.set_demand(NODE_COUNT - 1, tenant, 0);
    while usable(&fleet) == stored_permits || fleet.total_usable(tenant) < cap {
        fleet.run(SECOND / 50);
    }
    assert!(fleet.now < stored_at + LEASE, "the stored grant has not expired");
    let state = fleet.persistent_state(NODE_COUNT - 1);
    fleet.kill(NODE_COUNT - 1);
    fleet.start_with_state(NODE_COUNT - 1, state);
    assert!(fleet.total_usable(tenant) + stored_permits > cap, "the stored grant would exceed the cap");
}

/// Guards against voters that start their elections at the same moment after a common restart, and so prevent
/// each other from winning.
#[test]
fn voters_with_state_that_start_together_attempt_elections_one_at_a_time() {
    let mut fleet = fully_granted_fleet(1, 0.0);
    fleet.run(2 * LEASE);
    let voters: Vec<Name> =
        (0..3).map(|node| Name::new(&format!("p{node:03}")).expect("valid name")).collect();
    let timing = QuotaTiming { lease: LEASE, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND };
    let (facts, mut random) = (Facts { participates: true, ..Facts::default() }, Pcg64::seed_from_u64(3));
    let mut first_election_attempt = |node: usize| {
        let node_address = SocketAddr::from(([10, 0, 0, node as u8], 7_946));
        let process = Process { name: voters[node].clone(), incarnation: 99, address: node_address };
        let quota = QuotaApplication::new(0, fleet.registry().clone(), timing.clone());
        let voter_set = Voters::new(voters.clone(), Vec::new()).expect("valid voters");
        let found = fleet.persistent_state(node).filter(|state| state.is_recovered);
        assert!(found.is_some(), "the state is recovered");
        let mut machine = Machine::new(QuotaApplication::config(&timing), quota, voter_set, process, 0)
            .with_persistence(0, found, SECOND);
        let mut steps = std::iter::once(0).chain((LEASE..3 * LEASE).step_by(1_000));
        let is_election_attempt = |now: &u64| {
            let mut effects = Vec::new();
            machine.tick(&mut Context { now: *now, facts: &facts, random: &mut random }, &mut effects);
            effects
                .iter()
                .any(|effect| matches!(effect, Effect::Send { message: Message::Prepare { .. }, .. }))
        };
        steps.find(is_election_attempt)
    };
    let attempts: BTreeSet<u64> = (0..3).filter_map(&mut first_election_attempt).collect();
    assert_eq!(attempts.len(), 3, "{attempts:?}");
    assert!(attempts.iter().all(|time| *time > LEASE && *time < LEASE + LEASE / 3), "{attempts:?}");
}
