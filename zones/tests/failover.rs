//! Failover in a simulated fleet of 300 processes and 200 hosts. After each fault, no zone stays overloaded
//! by the plan for longer than a second, no weight oscillates, and traffic returns to its own zone within a
//! time limit.

mod fleet;

use flaxhead_zones::{Command, FallbackReason, LocalHealth, Micros, Rejection, Routing};
use fleet::{Fleet, FleetConfig, LEASE, SECOND};

/// Maximum time for which the plan may overload a zone.
const MAX_OVERLOAD_US: Micros = SECOND;
/// The same for a zone that becomes slow, including the time to detect that.
const MAX_SLOW_ZONE_OVERLOAD_US: Micros = 6 * SECOND;
/// Number of runs with random faults.
const RANDOM_RUN_COUNT: u64 = 12;
const FIVE_ZONES: [(&str, &str); 5] =
    [("a", "south"), ("b", "south"), ("c", "south"), ("d", "north"), ("e", "north")];

/// A fleet that has reached a stable plan, which its processes follow, with statistics reset.
fn stable_fleet(config: FleetConfig) -> Fleet {
    let mut fleet = Fleet::new(config);
    let is_stable = |fleet: &Fleet| {
        let follows_plan =
            |process: &fleet::SimulatedProcess| matches!(process.routing, Some(Routing::Planned(_)));
        let follower_count = fleet.processes.iter().filter(|process| follows_plan(process)).count();
        fleet.is_traffic_local(200)
            && follower_count * 100
                >= fleet.processes.len() * if fleet.config.message_loss > 0.1 { 90 } else { 100 }
    };
    assert!(
        !fleet.config.follows_plan || fleet.run_until(60 * SECOND, is_stable).is_some(),
        "{:?}",
        fleet.stats.events.last()
    );
    fleet.run_for(5 * SECOND);
    fleet.stats.reset();
    fleet
}

fn print_stats(fleet: &Fleet, label: &str) {
    let stats = &fleet.stats;
    let to_ms = |spans: &[Micros]| spans.iter().map(|span| span / 1_000).collect::<Vec<_>>();
    println!(
        "{label}: {} plan changes, {} reversals, overload {:?} ms ({:?} ms by all traffic), \
         load {:.2?}, rejected {:.4}, served {:.4}",
        stats.plan_changes,
        stats.max_reversals(),
        to_ms(&stats.max_planned_overload),
        to_ms(&stats.max_total_overload),
        stats.max_planned_load,
        stats.rejected / stats.requested,
        stats.served / stats.requested,
    );
    if std::env::var_os("NOTES").is_some() {
        stats.events.iter().for_each(|(at, event)| {
            println!("{:7} {} {} {}", at / 1_000, event.kind, event.subject, event.reason);
        });
    }
}

/// The version of the plan that a process follows.
fn followed_version(fleet: &Fleet, process: usize) -> Result<String, FallbackReason> {
    let machine = fleet.machine(process).expect("a running process");
    let now = fleet.processes[process].local_time(fleet.now);
    machine.application().current_plan(now, machine.local_replica()).map(|plan| plan.version.to_string())
}

/// Checks the limits that hold in every run.
fn assert_limits(fleet: &Fleet, max_reversals: u32) {
    let stats = &fleet.stats;
    assert!(
        stats.max_planned_overload.iter().all(|overload| *overload <= MAX_OVERLOAD_US),
        "{:?}",
        stats.max_planned_overload
    );
    assert!(stats.max_planned_load.iter().all(|load| *load <= 1.0), "{:?}", stats.max_planned_load);
    assert!(stats.max_reversals() <= max_reversals, "{} reversals", stats.max_reversals());
}

/// Runs until traffic is back in its own zone, or panics after `timeout`.
fn wait_for_local_traffic(fleet: &mut Fleet, timeout: Micros) -> Micros {
    let duration = fleet.run_until(timeout, |fleet| fleet.is_traffic_local(300));
    println!("traffic is local after {duration:?} us");
    duration.unwrap_or_else(|| panic!("traffic is not local: {:?}", fleet.stats.events.last()))
}

#[test]
fn a_zone_fails_for_five_seconds_and_returns_cold_under_high_load() {
    for seed in 1..4 {
        let mut fleet = stable_fleet(FleetConfig { load_per_mille: 675, seed, ..FleetConfig::default() });
        let failed_at = fleet.now;
        fleet.hosts.fail(1);
        fleet.run_for(5 * SECOND);
        let reaction_time = fleet.stats.first_event(failed_at, "plan", "").expect("a new plan");
        println!(
            "new plan after {reaction_time} us, reports of up to {} bytes",
            fleet.stats.max_report_bytes
        );
        assert!(reaction_time <= 4 * SECOND / 5 && fleet.weight(1, 1) == Some(0), "{reaction_time}");
        fleet.hosts.recover(1, 0.1);
        wait_for_local_traffic(&mut fleet, 30 * SECOND);
        print_stats(&fleet, "one zone fails");
        assert_limits(&fleet, 1);
        assert!(fleet.stats.served > 0.98 * fleet.stats.requested);
    }
}

#[test]
fn two_zones_fail_and_only_the_classes_with_low_priority_are_rejected() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    fleet.run_for(10 * SECOND);
    fleet.hosts.fail(2);
    fleet.run_for(10 * SECOND);
    fleet.stats.rejected_in_tick = 0.0;
    let (rejected, requested) = (fleet.stats.rejected, fleet.stats.requested);
    fleet.run_for(10 * SECOND);
    // The two zones left have capacity for 2.0 of a demand of 2.4.
    let rejected_ratio = (fleet.stats.rejected - rejected) / (fleet.stats.requested - requested);
    println!("rejected {rejected_ratio:.3}");
    assert!((0.13..0.21).contains(&rejected_ratio), "{rejected_ratio}");
    // The two classes with the highest priority are admitted in full.
    let rejects_higher_class = |process: &fleet::SimulatedProcess| {
        matches!(
            &process.routing,
            Some(Routing::Planned(split)) if split.admission.full_classes < 2
        )
    };
    assert!(!fleet.processes.iter().any(rejects_higher_class));
    fleet.hosts.recover(1, 0.1);
    fleet.run_for(15 * SECOND);
    fleet.hosts.recover(2, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "two zones fail");
    assert_limits(&fleet, 3);
}

#[test]
fn the_leaders_zone_fails_with_all_its_processes() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    let leader = fleet.leader().expect("a leader");
    let zone = fleet.processes[leader].zone;
    fleet.fail_zone(zone);
    fleet.run_for(15 * SECOND);
    assert!(fleet.leader().is_some_and(|next_leader| fleet.processes[next_leader].zone != zone));
    assert_eq!(fleet.weight(zone, zone).unwrap_or(0), 0);
    // Processes that are cut off stop following the plan when their lease expires.
    let zone_processes = (0..300).filter(|process| fleet.processes[*process].zone == zone);
    assert!(zone_processes
        .into_iter()
        .all(|process| followed_version(&fleet, process) == Err(FallbackReason::LeaseExpired)));
    fleet.recover_zone(zone, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "the leader's zone fails");
    assert_limits(&fleet, 1);
}

#[test]
fn a_link_cut_in_one_direction_affects_only_its_pair_of_zones() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(0);
    fleet.run_for(5 * SECOND);
    assert!(fleet.weight(0, 1).is_some_and(|weight| weight > 2_000));
    fleet.hosts.cut_links.push((0, 1));
    fleet.run_for(5 * SECOND);
    // No traffic goes from a to b any more, and b is available from the other zones.
    assert_eq!(fleet.weight(0, 1), Some(0));
    let machine = fleet.machine(fleet.leader().expect("a leader")).expect("a running process");
    let unavailable = machine.state().pairs.iter().filter(|pair| pair.health == 2 && pair.target == "b");
    assert_eq!(unavailable.map(|pair| pair.observer.as_str()).collect::<Vec<_>>(), ["a"]);
    fleet.hosts.cut_links.clear();
    fleet.hosts.recover(0, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "link cut in one direction");
    assert_limits(&fleet, 2);
}

#[test]
fn a_slow_zone_becomes_degraded_and_not_unavailable() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    let start = fleet.now;
    fleet.hosts.set_slowdown(1, 3.0);
    fleet.run_for(30 * SECOND);
    let own_weight = fleet.weight(1, 1).expect("a split");
    print_stats(&fleet, "slow zone");
    println!("weight of the own zone: {own_weight}");
    assert!(fleet.stats.first_event(start, "degraded", "b").is_some());
    assert!(fleet.stats.first_event(start, "unavailable", "b").is_none());
    assert!((1_000..7_000).contains(&own_weight), "{own_weight}");
    // The zone's queue drains, and its load does not oscillate.
    assert!(
        fleet.stats.max_total_overload[1] <= MAX_SLOW_ZONE_OVERLOAD_US,
        "{:?}",
        fleet.stats.max_total_overload
    );
    assert!(fleet.stats.max_reversals() <= 1, "{} reversals", fleet.stats.max_reversals());
    // The other zones are never overloaded by its traffic.
    assert!(
        [0, 2, 3].iter().all(|zone| fleet.stats.max_planned_overload[*zone] == 0),
        "{:?}",
        fleet.stats.max_planned_overload
    );
    fleet.hosts.set_slowdown(1, 1.0);
    // The achieved capacity rises by two thousandths every half second: from a quarter to all in about 190 s.
    wait_for_local_traffic(&mut fleet, 190 * SECOND);
}

#[test]
fn a_flapping_zone_changes_the_plan_a_few_times_only() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    for _ in 0..10 {
        fleet.hosts.fail(1);
        fleet.run_for(3 * SECOND);
        fleet.hosts.recover(1, 0.5);
        fleet.run_for(3 * SECOND);
    }
    print_stats(&fleet, "flapping zone");
    assert!(fleet.stats.plan_changes <= 20, "{} plan changes", fleet.stats.plan_changes);
    assert_limits(&fleet, 1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
}

#[test]
fn a_region_fails_with_and_without_its_processes_and_returns() {
    let mut fleet = stable_fleet(FleetConfig {
        load_per_mille: 560,
        zones: FIVE_ZONES.to_vec(),
        ..FleetConfig::default()
    });
    fleet.fail_zone(3);
    fleet.fail_zone(4);
    // The region's processes receive no requests while they are cut off.
    fleet.run_for(10 * SECOND);
    fleet.recover_zone(3, 0.1);
    fleet.recover_zone(4, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "region fails with its processes");
    assert_limits(&fleet, 1);

    // Only the hosts fail: the region's traffic goes to the other region, as no closer zone is left.
    fleet.stats.reset();
    fleet.hosts.fail(3);
    fleet.hosts.fail(4);
    fleet.run_for(10 * SECOND);
    assert!((0..3).all(|target| fleet.weight(3, target).is_some_and(|weight| weight > 2_000)));
    fleet.hosts.recover(3, 0.1);
    fleet.hosts.recover(4, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "hosts of a region fail");
    assert_limits(&fleet, 1);
}

#[test]
fn traffic_of_a_failed_zone_stays_in_its_region_while_there_is_capacity() {
    let mut fleet = stable_fleet(FleetConfig {
        load_per_mille: 400,
        zones: FIVE_ZONES.to_vec(),
        ..FleetConfig::default()
    });
    fleet.hosts.fail(4);
    fleet.run_for(10 * SECOND);
    assert!(fleet.weight(4, 3).is_some_and(|weight| weight > 9_800), "{:?}", fleet.weight(4, 3));
    assert_limits(&fleet, 1);
}

#[test]
fn a_new_leader_completes_the_failover_of_a_killed_one() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 675, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    let reaction_time = fleet.run_until(5 * SECOND, |fleet| fleet.stats.plan_changes > 0);
    assert!(reaction_time.is_some());
    fleet.kill(fleet.leader().expect("a leader"));
    fleet.run_for(10 * SECOND);
    assert!(fleet.leader().is_some() && fleet.weight(1, 1) == Some(0));
    // The next leader is killed as well, while traffic returns to the zone.
    fleet.hosts.recover(1, 0.1);
    let plan_changes = fleet.stats.plan_changes;
    assert!(fleet.run_until(30 * SECOND, |fleet| fleet.stats.plan_changes > plan_changes + 2).is_some());
    fleet.kill(fleet.leader().expect("a leader"));
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "leader killed");
    assert_limits(&fleet, 1);
}

#[test]
fn processes_that_resume_after_a_pause_follow_no_outdated_plan() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    let paused: Vec<usize> = (100..140).collect();
    paused.iter().for_each(|process| fleet.pause(*process));
    fleet.hosts.fail(1);
    fleet.run_for(2 * LEASE);
    for process in paused {
        fleet.resume(process);
        assert_eq!(followed_version(&fleet, process), Err(FallbackReason::LeaseExpired));
    }
    fleet.run_for(LEASE);
    let follows_plan =
        |process: &fleet::SimulatedProcess| matches!(process.routing, Some(Routing::Planned(_)));
    assert!(fleet.processes.iter().all(follows_plan));
    assert_limits(&fleet, 1);
}

#[test]
fn failover_works_with_thirty_percent_of_messages_lost() {
    let mut fleet =
        stable_fleet(FleetConfig { load_per_mille: 600, message_loss: 0.3, ..FleetConfig::default() });
    let failed_at = fleet.now;
    fleet.hosts.fail(1);
    fleet.run_for(8 * SECOND);
    println!("new plan after {:?} us", fleet.stats.first_event(failed_at, "plan", ""));
    assert_eq!(fleet.weight(1, 1), Some(0));
    // About half of the renewals are lost, and a lease allows four attempts, so about one process in 16 has
    // no lease at any moment.
    let follows_plan =
        |process: &&fleet::SimulatedProcess| matches!(process.routing, Some(Routing::Planned(_)));
    let follower_count = fleet.processes.iter().filter(follows_plan).count();
    println!("{follower_count} processes follow the plan");
    assert!(follower_count >= 270, "{follower_count}");
    fleet.hosts.recover(1, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "30% of messages lost");
    assert_limits(&fleet, 1);
}

#[test]
fn failover_continues_after_all_processes_restart() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    assert!(fleet.run_until(5 * SECOND, |fleet| fleet.stats.plan_changes > 0).is_some());
    (0..300).for_each(|process| fleet.kill(process));
    fleet.run_for(SECOND);
    (0..300).for_each(|process| fleet.start(process));
    fleet.run_for(30 * SECOND);
    assert!(fleet.weight(1, 1) == Some(0), "{:?}", fleet.stats.events.last());
    fleet.hosts.recover(1, 0.1);
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    print_stats(&fleet, "all processes restarted");
    assert_limits(&fleet, 1);
}

#[test]
fn operators_evacuate_zones_only_while_the_others_have_capacity() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    let by = || "night shift".to_owned();
    let zone = || "b".to_owned();
    // By then the replicated plan counts as complete, so commands are accepted.
    fleet.run_for(2 * LEASE);
    let mut id = 0;
    let mut execute = |fleet: &mut Fleet, command: Command| {
        id += 1;
        fleet.submit(7, id, command);
        fleet.run_for(2 * SECOND);
        fleet
            .stats
            .command_results
            .get(&id)
            .cloned()
            .unwrap_or_else(|| panic!("{id}: {:?}", fleet.stats.events.last()))
            .map(|response| response.unchanged)
    };
    assert_eq!(execute(&mut fleet, Command::Evacuate { zone: zone(), by: by() }), Ok(false));
    assert_eq!(execute(&mut fleet, Command::Evacuate { zone: zone(), by: by() }), Ok(true));
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.weight(1, 1), Some(0));
    // Without b, the other zones need the capacity of c.
    let rejected = execute(&mut fleet, Command::Evacuate { zone: "c".into(), by: by() });
    assert!(
        matches!(
            &rejected,
            Err(Rejection::InsufficientCapacity { zone, shortfall }) if zone == "c" && *shortfall > 1_000
        ),
        "{rejected:?}"
    );
    let unknown = execute(&mut fleet, Command::Evacuate { zone: "x".into(), by: by() });
    assert_eq!(unknown, Err(Rejection::UnknownZone("x".into())));
    assert!(matches!(execute(&mut fleet, Command::Hold { by: "\n".into() }), Err(Rejection::InvalidText(_))));
    assert_eq!(execute(&mut fleet, Command::Hold { by: by() }), Ok(false));
    assert_eq!(
        execute(&mut fleet, Command::Restore { zone: zone(), by: by() }),
        Err(Rejection::OnHold(by()))
    );
    // Traffic leaves an unavailable zone in spite of the hold, but does not return.
    fleet.hosts.fail(0);
    fleet.run_for(5 * SECOND);
    assert_eq!(fleet.weight(0, 0), Some(0));
    fleet.hosts.recover(0, 1.0);
    fleet.run_for(20 * SECOND);
    assert_eq!(fleet.weight(0, 0), Some(0), "on hold");
    assert_eq!(execute(&mut fleet, Command::Release { by: by() }), Ok(false));
    assert_eq!(execute(&mut fleet, Command::Restore { zone: zone(), by: by() }), Ok(false));
    wait_for_local_traffic(&mut fleet, 60 * SECOND);
    assert!(
        fleet.stats.max_planned_overload.iter().all(|overload| *overload <= MAX_OVERLOAD_US),
        "{:?}",
        fleet.stats.max_planned_overload
    );
}

#[test]
fn the_plan_prevents_an_overload_that_occurs_without_it() {
    // Without a plan, the processes of failed zones send their calls to all other zones, whatever their
    // capacity.
    let run = |is_plan_followed: bool| {
        let mut fleet = stable_fleet(FleetConfig {
            load_per_mille: 600,
            follows_plan: is_plan_followed,
            ..FleetConfig::default()
        });
        fleet.hosts.fail(1);
        fleet.run_for(3 * SECOND);
        fleet.hosts.fail(2);
        fleet.run_for(15 * SECOND);
        print_stats(
            &fleet,
            if is_plan_followed { "two zones fail, with the plan" } else { "two zones fail, without a plan" },
        );
        fleet.stats.max_total_overload.iter().copied().max().unwrap_or(0)
    };
    let (with_plan, without_plan) = (run(true), run(false));
    assert!(with_plan <= MAX_OVERLOAD_US && without_plan > 10 * SECOND, "{with_plan} {without_plan}");
}

#[test]
fn a_process_that_reports_all_zones_as_unreachable_is_rejected_and_named() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    let start = fleet.now;
    for _ in 0..200 {
        fleet.report_all_unreachable(77);
        fleet.run_for(fleet::TICK);
    }
    let is_local = (0..4).all(|zone| fleet.weight(zone, zone) == Some(10_000));
    assert!(is_local && fleet.stats.plan_changes == 0, "{} plan changes", fleet.stats.plan_changes);
    assert!(fleet.stats.first_event(start, "report rejected", "p077").is_some());
}

#[test]
fn a_zone_unreachable_for_a_minority_stays_in_the_plan_and_they_fall_back() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    // A quarter of the processes of zone 1 cannot reach it.
    let affected: Vec<usize> = (0..300).filter(|process| process % 16 == 1).collect();
    fleet.hosts.unreachable_zones = affected.iter().map(|process| (*process, 1)).collect();
    fleet.run_for(10 * SECOND);
    assert!(
        fleet.stats.plan_changes == 0 && fleet.weight(1, 1) == Some(10_000),
        "{} plan changes",
        fleet.stats.plan_changes
    );
    assert!(affected.iter().all(|process| matches!(
        fleet.processes[*process].routing,
        Some(Routing::Local(FallbackReason::NoReachableZone))
    )));
    // An affected process loses one trial call every two seconds, out of at least 18.
    let (served, requested) = (fleet.stats.served, fleet.stats.requested);
    fleet.run_for(10 * SECOND);
    assert!(fleet.stats.served - served > 0.98 * (fleet.stats.requested - requested));
    assert_limits(&fleet, 0);
}

#[test]
fn a_leader_with_an_empty_host_list_changes_nothing_and_rejects_no_report() {
    let mut fleet =
        stable_fleet(FleetConfig { process_count: 60, load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.is_list_empty = true;
    fleet.run_for(10 * SECOND);
    assert!(fleet.stats.events.is_empty() && fleet.is_traffic_local(300), "{:?}", fleet.stats.events.first());
}

#[test]
fn draining_hosts_of_a_failover_target_lowers_its_weight() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    fleet.run_for(5 * SECOND);
    let before = fleet.weight(1, 2).expect("a split");
    fleet.hosts.drain(2, 12);
    fleet.run_for(5 * SECOND);
    let after = fleet.weight(1, 2).expect("a split");
    println!("weight {before}, then {after}");
    assert!(after + 1_000 < before, "{before} {after}");
    assert_limits(&fleet, 1);
}

#[test]
fn a_new_leader_does_not_change_the_plan_before_it_knows_the_demand() {
    let mut fleet = stable_fleet(FleetConfig { load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    fleet.hosts.fail(2);
    fleet.run_for(20 * SECOND);
    fleet.stats.reset();
    // Two thirds of the processes do not report. The demand of the others alone would fit into the capacity.
    (90..300).for_each(|process| fleet.pause(process));
    fleet.kill(fleet.leader().expect("a leader"));
    assert!(fleet.run_until(30 * SECOND, |fleet| fleet.leader().is_some()).is_some());
    fleet.run_for(2 * SECOND);
    assert_eq!(fleet.stats.plan_changes, 0);
    (90..300).for_each(|process| fleet.resume(process));
    fleet.run_for(10 * SECOND);
    print_stats(&fleet, "leader killed while calls are rejected");
    assert_limits(&fleet, 0);
}

#[test]
fn random_faults_overload_no_zone_and_traffic_returns_home() {
    for seed in 1..=RANDOM_RUN_COUNT {
        let zones = if seed % 2 == 0 { fleet::FOUR_ZONES.to_vec() } else { FIVE_ZONES.to_vec() };
        let zone_count = zones.len();
        let load_per_mille = 400 + (seed as u32 * 37) % 200;
        let config = FleetConfig {
            process_count: 40 + (seed as usize % 3) * 20,
            load_per_mille,
            message_loss: 0.02,
            seed,
            zones,
            ..FleetConfig::default()
        };
        let mut fleet = stable_fleet(config);
        let mut faults = Vec::new();
        for _ in 0..3 {
            faults.push(fleet.inject_fault(zone_count));
            let duration_s = fleet.random_number(8);
            fleet.run_for((1 + duration_s) * SECOND);
        }
        let overload = fleet.stats.max_planned_overload.clone();
        fleet.end_faults();
        let recovery_time = fleet.run_until(200 * SECOND, |fleet| fleet.is_traffic_local(300));
        assert!(recovery_time.is_some(), "seed {seed}, {faults:?}: {:?}", fleet.stats.events.last());
        // A zone that becomes slow itself has a longer limit, as that must be detected first.
        let is_slow =
            |zone: usize| faults.iter().any(|(kind, fault_zone)| *kind == "slow" && *fault_zone == zone);
        let overloaded = (0..zone_count).filter(|zone| {
            overload[*zone] > if is_slow(*zone) { MAX_SLOW_ZONE_OVERLOAD_US } else { MAX_OVERLOAD_US }
        });
        let overloaded: Vec<usize> = overloaded.collect();
        assert!(overloaded.is_empty(), "seed {seed}, {faults:?}: {overloaded:?} of {overload:?}");
        assert!(
            fleet.stats.max_reversals() <= 8,
            "seed {seed}, {faults:?}: {} reversals",
            fleet.stats.max_reversals()
        );
    }
}

#[test]
fn the_plan_only_removes_zones_from_the_own_choice_of_a_process() {
    let mut fleet =
        stable_fleet(FleetConfig { process_count: 12, load_per_mille: 600, ..FleetConfig::default() });
    fleet.hosts.fail(1);
    fleet.run_for(10 * SECOND);
    let machine = fleet.machine(5).expect("a running process");
    let now = fleet.processes[5].local_time(fleet.now);
    let split = machine.state().split("b").expect("a split");
    let is_planned = |zone: usize| {
        split.weights.iter().any(|(target, weight)| target == fleet.topology.name(zone) && *weight > 0)
    };
    assert!(!is_planned(1) && [0, 2, 3].into_iter().all(is_planned));
    for bits in 0..256_u32 {
        let zone_health = |zone: u32| LocalHealth {
            is_listed: bits >> zone & 1 == 1,
            all_failing: bits >> (4 + zone) & 1 == 1,
        };
        let local_health: Vec<LocalHealth> = (0..4).map(zone_health).collect();
        let is_usable = |zone: &usize| {
            local_health[*zone].is_listed && !local_health[*zone].all_failing && is_planned(*zone)
        };
        match machine.application().routing(now, machine.local_replica(), &local_health) {
            Routing::Local(reason) => {
                assert_eq!((reason, (0..4).find(is_usable)), (FallbackReason::NoReachableZone, None));
            }
            Routing::Planned(planned) => {
                assert_eq!(planned.weights.iter().sum::<u32>(), 10_000);
                assert!(
                    (0..4).all(|zone| (planned.weights[zone] > 0) == is_usable(&zone)),
                    "{local_health:?} {planned:?}"
                );
                assert!(
                    planned
                        .trial_zones
                        .iter()
                        .all(|zone| local_health[*zone].is_listed && planned.weights[*zone] == 0),
                    "{planned:?}"
                );
                assert_eq!(planned.trial_zones.contains(&1), local_health[1].is_listed);
            }
        }
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = |seed| {
        let mut fleet =
            Fleet::new(FleetConfig { process_count: 60, message_loss: 0.1, seed, ..FleetConfig::default() });
        fleet.run_for(15 * SECOND);
        fleet.hosts.fail(2);
        fleet.run_for(10 * SECOND);
        fleet.stats
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}
