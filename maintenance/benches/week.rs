//! Simulations of drains at fleets of several sizes in virtual time, and of a week at 300 processes and 200
//! hosts with faults. Reports the times from a request until its host is free, the times without a leader,
//! and the number of messages.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts of a run are small and never negative"
)]

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Fleet, Metrics, Scenario, HOUR, SECOND};
use std::time::Instant;

fn quantile_seconds(times: &mut [u64], quantile: f64) -> f64 {
    times.sort_unstable();
    let index = (times.len() as f64 * quantile).ceil().max(1.0) as usize - 1;
    times.get(index).map_or(0.0, |micros| *micros as f64 / 1e6)
}

fn report(label: &str, scenario: &Scenario, metrics: &Metrics, start: Instant) {
    let (mut times_to_free, mut leaderless_times) =
        (metrics.times_to_free.clone(), metrics.leaderless_times.clone());
    let seconds = scenario.duration as f64 / 1e6;
    println!(
        "{label}: {} requested, {} free, p50 {:.2} s, p99 {:.2} s; {} leader changes, \
         leaderless p50 {:.1} s, max {:.1} s; {:.2} messages per process and second; {} faults, \
         {} losses of state, {} out at once; {:.0} s of run time",
        metrics.requested,
        metrics.freed,
        quantile_seconds(&mut times_to_free, 0.5),
        quantile_seconds(&mut times_to_free, 0.99),
        metrics.leader_changes,
        quantile_seconds(&mut leaderless_times, 0.5),
        quantile_seconds(&mut leaderless_times, 1.0),
        metrics.messages as f64 / seconds / scenario.process_count as f64,
        metrics.faults,
        metrics.state_losses,
        metrics.peak_hosts_out,
        start.elapsed().as_secs_f64()
    );
}

fn main() {
    let base = Scenario {
        process_count: 5,
        host_count: 200,
        voter_count: 5,
        duration: HOUR,
        lease: 6 * SECOND,
        request_interval: 30 * SECOND,
        max_maintenance_time: 5 * SECOND,
        fault_interval: 0,
        max_hosts_out: 3,
        loss_ratio: 0.01,
        seed: 1,
    };
    for process_count in [5, 50, 300] {
        for (label, fault_interval, request_interval) in [
            ("idle", 0, 100 * HOUR),
            ("drains", 0, 30 * SECOND),
            ("drains and faults", 120 * SECOND, 30 * SECOND),
        ] {
            let scenario = Scenario { process_count, fault_interval, request_interval, ..base.clone() };
            let start = Instant::now();
            let metrics = Fleet::new(scenario.clone()).run();
            report(&format!("{process_count} processes, {label}, an hour"), &scenario, &metrics, start);
        }
    }
    let scenario = Scenario {
        process_count: 300,
        duration: 7 * 24 * HOUR,
        lease: 60 * SECOND,
        request_interval: 1_800 * SECOND,
        max_maintenance_time: 600 * SECOND,
        fault_interval: 600 * SECOND,
        ..base
    };
    let start = Instant::now();
    let metrics = Fleet::new(scenario.clone()).run();
    report("300 processes, a week", &scenario, &metrics, start);
}
