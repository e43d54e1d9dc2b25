//! Simulation of five hours of drains at a small fleet, with a fault every few minutes. A run of a week at a
//! larger fleet is a benchmark: `cargo bench -p flaxhead-maintenance`.

mod fleet;

use fleet::{Fleet, Scenario, HOUR, SECOND};

fn scenario(seed: u64) -> Scenario {
    Scenario {
        process_count: 12,
        host_count: 30,
        voter_count: 5,
        duration: 5 * HOUR,
        lease: 12 * SECOND,
        request_interval: 240 * SECOND,
        max_maintenance_time: 60 * SECOND,
        fault_interval: 180 * SECOND,
        max_hosts_out: 2,
        loss_ratio: 0.01,
        seed,
    }
}

#[test]
fn drains_complete_despite_frequent_faults_and_runs_are_reproducible() {
    let metrics = Fleet::new(scenario(1)).run();
    println!(
        "{} requested, {} freed, {} faults, {} leader changes, {} losses of state",
        metrics.requested, metrics.freed, metrics.faults, metrics.leader_changes, metrics.state_losses
    );
    assert!(metrics.faults > 60 && metrics.leader_changes > 5, "{metrics:?}");
    // When the run ends, some drains may still wait for their host to become free, and some free hosts may
    // still be under maintenance.
    assert!(
        metrics.freed + 10 >= metrics.requested
            && metrics.completed + 10 >= metrics.freed
            && metrics.requested > 50,
        "{metrics:?}"
    );
    assert_eq!(metrics, Fleet::new(scenario(1)).run());
    assert_ne!(metrics, Fleet::new(scenario(2)).run());
}
