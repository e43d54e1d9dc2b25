//! Fleets of simulated processes with frequent faults. At each step, the permits that all processes may use
//! or have in use are checked against the caps.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

mod fleet;

use flaxhead_quota::QuotaTiming;
use fleet::{site, Fleet, Mode, Scenario, SECOND};

fn scenario(name: &str, processes: usize, seed: u64) -> Scenario {
    Scenario {
        processes,
        voters: 3,
        max_proxies: processes as u32,
        site: site(name, 4 * processes as u32),
        hosts: 2 * processes,
        calls_per_host: 8,
        timing: QuotaTiming {
            lease: 3 * SECOND,
            max_call_duration: 4 * SECOND,
            autonomy_timeout: 8 * SECOND,
        },
        call_duration: SECOND,
        has_long_calls: true,
        call_interval: SECOND / 20,
        fault_interval: 2 * SECOND,
        demand_change_interval: SECOND,
        loss_ratio: 0.03,
        mode: Mode::Coordinated,
        seed,
    }
}

fn run_scenario(scenario: Scenario, duration: u64) -> fleet::Stats {
    let mut fleet = Fleet::new(scenario);
    fleet.run(duration);
    fleet.stats
}

#[test]
fn random_faults_never_exceed_a_cap_and_runs_are_reproducible() {
    for (seed, name) in ["banks", "shops", "one group"].into_iter().enumerate() {
        let stats = run_scenario(scenario(name, 8, seed as u64), 900 * SECOND);
        println!("{name}: {stats:?}");
        assert!(stats.faults > 200 && stats.calls > 5_000, "{stats:?}");
        assert_eq!(stats, run_scenario(scenario(name, 8, seed as u64), 900 * SECOND));
    }
}

/// Guards against minimums that add up to more than the cap if there are two more processes than slots. No
/// process assumes a slot here, because the autonomy timeout never passes.
#[test]
fn no_cap_is_exceeded_with_more_processes_than_slots() {
    let timing = QuotaTiming { autonomy_timeout: u64::MAX, ..scenario("banks", 8, 0).timing };
    let stats = run_scenario(Scenario { processes: 10, timing, ..scenario("banks", 8, 5) }, 600 * SECOND);
    assert!(stats.faults > 150 && stats.calls > 5_000, "{stats:?}");
}

#[test]
fn three_hundred_processes_with_frequent_faults_never_exceed_a_cap() {
    let large_fleet = Scenario {
        fault_interval: SECOND / 5,
        demand_change_interval: SECOND / 5,
        ..scenario("banks", 300, 7)
    };
    let stats = run_scenario(large_fleet, 90 * SECOND);
    println!("{stats:?}");
    assert!(stats.faults > 300 && stats.calls > 50_000, "{stats:?}");
}
