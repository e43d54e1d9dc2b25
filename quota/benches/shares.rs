//! Measurements on simulated fleets of several sizes: how soon and how closely calls follow the fair shares
//! after a change of demand, how soon lent permits return, how many messages are sent, and how soon permits
//! are usable after restarts. Constant equal limits and no limits serve as comparisons.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts of a run are small and never negative"
)]

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use flaxhead_quota::max_min::{allocate_max_min, Demand};
use flaxhead_quota::{Micros, QuotaTiming};
use fleet::{site, Fleet, Mode, Scenario, SECOND};
use std::time::Instant;

const STEP: Micros = SECOND / 20;

fn scenario(processes: usize, mode: Mode, seed: u64) -> Scenario {
    Scenario {
        processes,
        voters: processes.min(5),
        max_proxies: processes as u32,
        site: site("banks", 4 * processes as u32),
        hosts: 2 * processes,
        calls_per_host: 8,
        timing: QuotaTiming {
            lease: 6 * SECOND,
            max_call_duration: 10 * SECOND,
            autonomy_timeout: 15 * SECOND,
        },
        call_duration: SECOND / 10,
        has_long_calls: false,
        call_interval: if processes > 50 { SECOND / 50 } else { SECOND / 200 },
        fault_interval: 0,
        demand_change_interval: 0,
        loss_ratio: 0.0,
        mode,
        seed,
    }
}

/// Returns the fair share of each tenant for its demand, as a scheduler that knows all processes would
/// allocate it.
fn fair_allocation(fleet: &Fleet, capacity: u32) -> Vec<u32> {
    let tenants = fleet.registry().tenants.iter().enumerate();
    let demands = tenants.map(|(index, tenant)| {
        let demand = fleet.total_demand(index).min(tenant.cap.unwrap_or(u32::MAX));
        Demand { weight: tenant.weight, minimum: demand.min(1), wanted: demand }
    });
    allocate_max_min(capacity, &demands.collect::<Vec<_>>())
}

/// Returns the largest and the mean deviation of calls in flight from the fair allocation, in percent, over
/// all tenants that are allocated permits.
fn deviation(in_flight: &[f64], fair_allocation: &[u32]) -> (f64, f64) {
    let relative = |(index, fair_allocation): (usize, &u32)| {
        (*fair_allocation > 0).then(|| 100.0 * (in_flight[index] / f64::from(*fair_allocation) - 1.0).abs())
    };
    let deviations: Vec<f64> = fair_allocation.iter().enumerate().filter_map(relative).collect();
    (
        deviations.iter().copied().fold(0.0, f64::max),
        deviations.iter().sum::<f64>() / deviations.len().max(1) as f64,
    )
}

fn percentile(values: &mut [f64], ratio: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * ratio).ceil().max(1.0) as usize - 1;
    values.get(rank).copied().unwrap_or(f64::NAN)
}

/// Sets the demand of a round. A quarter of the tenants, a different one in each round, has no demand. All
/// other tenants have calls at one half of the processes, and change to the other half after two rounds. This
/// moves permits between tenants and between processes.
fn set_round_demands(fleet: &mut Fleet, processes: usize, round: usize) {
    for tenant in 0..fleet.registry().tenants.len() {
        let is_idle = (tenant + round).is_multiple_of(4);
        let active_half = (tenant + round / 2) % 2;
        for node in 0..processes {
            let is_active = node * 2 / processes == active_half;
            let calls = [24, 10, 6, 16][(tenant * 3 + round + node) % 4];
            fleet.set_demand(node, tenant, if is_idle || !is_active { 0 } else { calls });
        }
    }
}

fn measure_demand_changes(processes: usize, mode: Mode, rounds: usize) {
    let started = Instant::now();
    let scenario = scenario(processes, mode, 1);
    let capacity = scenario.hosts as u32 * scenario.calls_per_host * 9 / 10;
    let mut fleet = Fleet::new(scenario);
    set_round_demands(&mut fleet, processes, 0);
    fleet.run(40 * SECOND);
    let (mut at_1s, mut at_2s, mut at_4s, mut samples) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut usage, mut load) = (Vec::new(), Vec::new());
    let (mut worst_deviation, mut violations) = (0.0_f64, 0);
    for round in 1..=rounds {
        set_round_demands(&mut fleet, processes, round);
        let fair = fair_allocation(&fleet, capacity);
        let allocated: u32 = fair.iter().sum();
        for step in 1..=4 * SECOND / STEP {
            fleet.run(STEP);
            let in_flight: u32 = (0..fair.len()).map(|i| fleet.in_flight(i)).sum();
            usage.push(f64::from(in_flight.min(allocated)) / f64::from(allocated));
            load.push(f64::from(in_flight) / f64::from(capacity));
            let caps = fleet.registry().tenants.iter().enumerate();
            violations +=
                u32::from(caps.clone().any(|(i, t)| t.cap.is_some_and(|cap| fleet.in_flight(i) > cap)));
            // Deviations are calculated from the mean of the last four samples, so that single calls matter
            // less.
            samples.push((0..fair.len()).map(|i| f64::from(fleet.in_flight(i))).collect::<Vec<f64>>());
            samples.drain(..samples.len().saturating_sub(4));
            let averages = (0..fair.len()).map(|i| samples.iter().map(|sample| sample[i]).sum::<f64>() / 4.0);
            let (largest, mean) = deviation(&averages.collect::<Vec<f64>>(), &fair);
            match step * STEP {
                SECOND => at_1s.push(mean),
                after if after == 2 * SECOND => {
                    worst_deviation = worst_deviation.max(largest);
                    at_2s.push(mean);
                }
                after if after == 4 * SECOND => at_4s.push(mean),
                _ => {}
            }
        }
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    println!(
        "{processes} processes, {mode:?}: mean deviation from max-min fairness after 1 s {:.1}% (p90 {:.1}), after 2 s {:.1}% (p90 {:.1}, largest of one tenant {worst_deviation:.0}), after 4 s {:.1}%; \
         use of capacity {:.3}; maximum ratio of calls to capacity {:.2}; a cap exceeded in {:.1}% of the samples; run time {:.0} s",
        mean(&at_1s),
        percentile(&mut at_1s, 0.9),
        mean(&at_2s),
        percentile(&mut at_2s, 0.9),
        mean(&at_4s),
        mean(&usage),
        load.iter().copied().fold(0.0, f64::max),
        100.0 * f64::from(violations) / usage.len() as f64,
        started.elapsed().as_secs_f64()
    );
}

/// Measures how soon a tenant gets its lent permits back while another tenant uses the whole capacity.
fn measure_return_of_lent_permits(processes: usize, mode: Mode, rounds: usize) {
    let scenario = scenario(processes, mode, 2);
    let capacity = scenario.hosts as u32 * scenario.calls_per_host * 9 / 10;
    let mut fleet = Fleet::new(scenario);
    let (owner, borrower) = (2, 3);
    for node in 0..processes {
        fleet.set_demand(node, borrower, 40);
    }
    fleet.run(40 * SECOND);
    let mut elapsed_secs = Vec::new();
    for round in 0..rounds {
        // The owner is the tenant whose permits are lent. Its demand returns at all processes, at half of
        // them or at one, in turn by round.
        let is_active = |node: usize| match round % 3 {
            0 => true,
            1 => node * 2 < processes,
            _ => node == round % processes,
        };
        for node in (0..processes).filter(|node| is_active(*node)) {
            fleet.set_demand(node, owner, 40);
        }
        let fair_share = fair_allocation(&fleet, capacity)[owner];
        let started_at = fleet.now;
        while fleet.now < started_at + 10 * SECOND && fleet.in_flight(owner) * 100 < fair_share * 95 {
            fleet.run(SECOND / 100);
        }
        elapsed_secs.push((fleet.now - started_at) as f64 / 1e6);
        (0..processes).for_each(|node| fleet.set_demand(node, owner, 0));
        fleet.run(6 * SECOND);
    }
    println!(
        "{processes} processes, {mode:?}: time until a tenant has 95% of its lent share again: p50 {:.2} s, p99 {:.2} s (10 s: timed out)",
        percentile(&mut elapsed_secs, 0.5),
        percentile(&mut elapsed_secs, 0.99)
    );
}

fn measure_messages(processes: usize) {
    let mut fleet = Fleet::new(scenario(processes, Mode::Coordinated, 3));
    set_round_demands(&mut fleet, processes, 1);
    fleet.run(40 * SECOND);
    let stats_before = fleet.stats.clone();
    fleet.run(20 * SECOND);
    let per_process_and_second =
        |now: u64, stats_before: u64| (now - stats_before) as f64 / 20.0 / processes as f64;
    println!(
        "{processes} processes: per process and second {:.1} messages, {:.0} bytes, {:.2} changes of the allowance",
        per_process_and_second(fleet.stats.messages, stats_before.messages),
        per_process_and_second(fleet.stats.bytes, stats_before.bytes),
        per_process_and_second(fleet.stats.allowance_changes, stats_before.allowance_changes)
    );
}

fn measure_restart(processes: usize, restart_count: usize, seed: u64) {
    let mut fleet = Fleet::new(scenario(processes, Mode::Coordinated, seed));
    let capped: Vec<(usize, u32)> =
        fleet.registry().tenants.iter().enumerate().filter_map(|(index, t)| Some((index, t.cap?))).collect();
    for node in 0..processes {
        capped.iter().for_each(|(tenant, _)| fleet.set_demand(node, *tenant, 40));
    }
    fleet.run(60 * SECOND);
    (0..restart_count).for_each(|node| fleet.kill(node));
    fleet.run(SECOND);
    (0..restart_count).for_each(|node| fleet.start(node));
    let (started_at, all_permits) = (fleet.now, capped.iter().map(|(_, cap)| cap).sum::<u32>());
    let (mut minimums_after, mut half_after, mut all_after) = (None, None, None);
    while fleet.now < started_at + 60 * SECOND && all_after.is_none() {
        fleet.run(SECOND / 50);
        let usable = capped.iter().map(|(tenant, _)| fleet.total_usable(*tenant)).sum::<u32>();
        let elapsed_secs = (fleet.now - started_at) as f64 / 1e6;
        let minimums =
            capped.iter().map(|(index, _)| fleet.registry().tenants[*index].guaranteed).sum::<u32>()
                * processes as u32;
        minimums_after = minimums_after.or((usable >= minimums).then_some(elapsed_secs));
        half_after = half_after.or((usable * 2 >= all_permits).then_some(elapsed_secs));
        all_after = all_after.or((usable == all_permits).then_some(elapsed_secs));
    }
    println!(
        "{processes} processes, {restart_count} restarted: guaranteed minimums usable after {:.1} s, half of the caps {:.1} s, all {:.1} s",
        minimums_after.unwrap_or(f64::NAN),
        half_after.unwrap_or(f64::NAN),
        all_after.unwrap_or(f64::NAN)
    );
}

fn measure_faults(processes: usize, duration: Micros) {
    let started = Instant::now();
    let timing =
        QuotaTiming { lease: 6 * SECOND, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND };
    let mut fleet = Fleet::new(Scenario {
        fault_interval: SECOND / 3,
        demand_change_interval: SECOND / 10,
        loss_ratio: 0.05,
        call_duration: 2 * SECOND,
        has_long_calls: true,
        call_interval: SECOND / 10,
        timing,
        ..scenario(processes, Mode::Coordinated, 4)
    });
    fleet.run(duration);
    println!(
        "{processes} processes, {:.0} s with {} faults, {} calls, {} messages: caps exceeded {} times, maximum usage {:?}; run time {:.0} s",
        duration as f64 / 1e6,
        fleet.stats.faults,
        fleet.stats.calls,
        fleet.stats.messages,
        fleet.stats.cap_violations,
        fleet.stats.peak_usage,
        started.elapsed().as_secs_f64()
    );
}

fn main() {
    for mode in [Mode::Coordinated, Mode::StaticSplit, Mode::Unlimited] {
        measure_demand_changes(8, mode, 24);
        measure_return_of_lent_permits(8, mode, 30);
    }
    [5, 50, 300].into_iter().for_each(measure_messages);
    for (processes, restart_count) in [(8, 8), (8, 7), (300, 300)] {
        (1..=3).for_each(|seed| measure_restart(processes, restart_count, seed));
    }
    for mode in [Mode::Coordinated, Mode::StaticSplit, Mode::Unlimited] {
        measure_demand_changes(300, mode, 8);
    }
    measure_return_of_lent_permits(300, Mode::Coordinated, 12);
    measure_faults(300, 1_200 * SECOND);
}
