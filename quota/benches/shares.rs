//! Shares at fleets of several sizes, in virtual time: how fast they follow a change, how much of what the hosts carry is
//! used, how fast an owner is back, what is sent, and how long all caps take to be whole after all were restarted; beside
//! a fixed split and beside nothing that is shared.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts of a run are small and never negative"
)]

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use flaxhead_quota::max_min::{allocate_max_min, Demand};
use flaxhead_quota::{Micros, QuotaTiming};
use fleet::{site, Fleet, Mode, Plan, SECOND};
use std::time::Instant;

const STEP: Micros = SECOND / 20;

fn plan(processes: usize, mode: Mode, seed: u64) -> Plan {
    Plan {
        processes,
        voters: processes.min(5),
        proxies_most: processes as u32,
        site: site("banks", 4 * processes as u32),
        hosts: 2 * processes,
        host_calls: 8,
        pace: QuotaTiming {
            lease: 6 * SECOND,
            max_call_duration: 10 * SECOND,
            autonomy_timeout: 15 * SECOND,
        },
        call: SECOND / 10,
        long_calls: false,
        tick: if processes > 50 { SECOND / 50 } else { SECOND / 200 },
        fault_every: 0,
        shift_every: 0,
        loss: 0.0,
        mode,
        seed,
    }
}

/// What each tenant gets of what the hosts carry by one scheduler that sees all.
fn exact(fleet: &Fleet, carried: u32) -> Vec<u32> {
    let tenants = fleet.book().tenants.iter().enumerate();
    let wants = tenants.map(|(at, tenant)| {
        let demand = fleet.wanted(at).min(tenant.cap.unwrap_or(u32::MAX));
        Demand { weight: tenant.weight, minimum: demand.min(1), wanted: demand }
    });
    allocate_max_min(carried, &wants.collect::<Vec<_>>())
}

/// Worst and mean deviation of what is in hand, over tenants that should have any, in percent.
fn off(in_hand: &[f64], exact: &[u32]) -> (f64, f64) {
    let off = |(at, exact): (usize, &u32)| {
        (*exact > 0).then(|| 100.0 * (in_hand[at] / f64::from(*exact) - 1.0).abs())
    };
    let off: Vec<f64> = exact.iter().enumerate().filter_map(off).collect();
    (off.iter().copied().fold(0.0, f64::max), off.iter().sum::<f64>() / off.len().max(1) as f64)
}

fn place(sorted: &mut [f64], share: f64) -> f64 {
    sorted.sort_by(f64::total_cmp);
    let place = (sorted.len() as f64 * share).ceil().max(1.0) as usize - 1;
    sorted.get(place).copied().unwrap_or(f64::NAN)
}

/// Each tenant's calls at one half of the processes; with every change other tenants, and the other half.
fn change(fleet: &mut Fleet, processes: usize, round: usize) {
    for tenant in 0..fleet.book().tenants.len() {
        let idle = (tenant + round).is_multiple_of(4);
        let half = (tenant + round / 2) % 2;
        for place in 0..processes {
            let there = place * 2 / processes == half;
            let calls = [24, 10, 6, 16][(tenant * 3 + round + place) % 4];
            fleet.want(place, tenant, if idle || !there { 0 } else { calls });
        }
    }
}

fn changes(processes: usize, mode: Mode, rounds: usize) {
    let start = Instant::now();
    let plan = plan(processes, mode, 1);
    let carried = plan.hosts as u32 * plan.host_calls * 9 / 10;
    let mut fleet = Fleet::new(plan);
    change(&mut fleet, processes, 0);
    fleet.play(40 * SECOND);
    let (mut one, mut two, mut four, mut recent) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (mut used, mut over) = (Vec::new(), Vec::new());
    let (mut worst, mut passed) = (0.0_f64, 0);
    for round in 1..=rounds {
        change(&mut fleet, processes, round);
        let exact = exact(&fleet, carried);
        let whole: u32 = exact.iter().sum();
        for step in 1..=4 * SECOND / STEP {
            fleet.play(STEP);
            let in_hand: u32 = (0..exact.len()).map(|at| fleet.in_hand(at)).sum();
            used.push(f64::from(in_hand.min(whole)) / f64::from(whole));
            over.push(f64::from(in_hand) / f64::from(carried));
            let caps = fleet.book().tenants.iter().enumerate();
            passed += u32::from(caps.clone().any(|(at, t)| t.cap.is_some_and(|cap| fleet.in_hand(at) > cap)));
            // What is in hand, as a mean over the last fifth of a second.
            recent.push((0..exact.len()).map(|at| f64::from(fleet.in_hand(at))).collect::<Vec<f64>>());
            recent.drain(..recent.len().saturating_sub(4));
            let means = (0..exact.len()).map(|at| recent.iter().map(|of| of[at]).sum::<f64>() / 4.0);
            let (most, mean) = off(&means.collect::<Vec<f64>>(), &exact);
            match step * STEP {
                SECOND => one.push(mean),
                after if after == 2 * SECOND => {
                    worst = worst.max(most);
                    two.push(mean);
                }
                after if after == 4 * SECOND => four.push(mean),
                _ => {}
            }
        }
    }
    let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len() as f64;
    println!(
        "{processes} processes, {mode:?}: off exact max-min after 1 s {:.1}% (p90 {:.1}), after 2 s {:.1}% (p90 {:.1}, one tenant {worst:.0}), after 4 s {:.1}%; \
         use of capacity {:.3}; most calls beside what hosts carry {:.2}; over a cap in {:.1}% of the time; {:.0} s to play",
        mean(&one),
        place(&mut one, 0.9),
        mean(&two),
        place(&mut two, 0.9),
        mean(&four),
        mean(&used),
        over.iter().copied().fold(0.0, f64::max),
        100.0 * f64::from(passed) / used.len() as f64,
        start.elapsed().as_secs_f64()
    );
}

/// A tenant without calls comes back, while another uses all that is there.
fn owner_back(processes: usize, mode: Mode, rounds: usize) {
    let plan = plan(processes, mode, 2);
    let carried = plan.hosts as u32 * plan.host_calls * 9 / 10;
    let mut fleet = Fleet::new(plan);
    let (owner, lender) = (2, 3);
    for place in 0..processes {
        fleet.want(place, lender, 40);
    }
    fleet.play(40 * SECOND);
    let mut took = Vec::new();
    for round in 0..rounds {
        // At all processes, at half of them, at one.
        let there = |place: usize| match round % 3 {
            0 => true,
            1 => place * 2 < processes,
            _ => place == round % processes,
        };
        for place in (0..processes).filter(|place| there(*place)) {
            fleet.want(place, owner, 40);
        }
        let share = exact(&fleet, carried)[owner];
        let since = fleet.now;
        while fleet.now < since + 10 * SECOND && fleet.in_hand(owner) * 100 < share * 95 {
            fleet.play(SECOND / 100);
        }
        took.push((fleet.now - since) as f64 / 1e6);
        (0..processes).for_each(|place| fleet.want(place, owner, 0));
        fleet.play(6 * SECOND);
    }
    println!(
        "{processes} processes, {mode:?}: owner back at 95% of its share after lending: p50 {:.2} s, p99 {:.2} s (10 s: not)",
        place(&mut took, 0.5),
        place(&mut took, 0.99)
    );
}

fn sent(processes: usize) {
    let mut fleet = Fleet::new(plan(processes, Mode::Settled, 3));
    change(&mut fleet, processes, 1);
    fleet.play(40 * SECOND);
    let before = fleet.seen.clone();
    fleet.play(20 * SECOND);
    let each = |now: u64, before: u64| (now - before) as f64 / 20.0 / processes as f64;
    println!(
        "{processes} processes: {:.1} messages and {:.0} bytes a process and second; {:.2} allowances pushed",
        each(fleet.seen.messages, before.messages),
        each(fleet.seen.bytes, before.bytes),
        each(fleet.seen.pushed, before.pushed)
    );
}

fn restarted(processes: usize, killed: usize, seed: u64) {
    let mut fleet = Fleet::new(plan(processes, Mode::Settled, seed));
    let capped: Vec<(usize, u32)> =
        fleet.book().tenants.iter().enumerate().filter_map(|(at, t)| Some((at, t.cap?))).collect();
    for place in 0..processes {
        capped.iter().for_each(|(tenant, _)| fleet.want(place, *tenant, 40));
    }
    fleet.play(60 * SECOND);
    (0..killed).for_each(|place| fleet.kill(place));
    fleet.play(SECOND);
    (0..killed).for_each(|place| fleet.launch(place));
    let (since, all) = (fleet.now, capped.iter().map(|(_, cap)| cap).sum::<u32>());
    let (mut own, mut half, mut whole) = (None, None, None);
    while fleet.now < since + 60 * SECOND && whole.is_none() {
        fleet.play(SECOND / 50);
        let usable = capped.iter().map(|(tenant, _)| fleet.allowed(*tenant)).sum::<u32>();
        let took = (fleet.now - since) as f64 / 1e6;
        let parts =
            capped.iter().map(|(at, _)| fleet.book().tenants[*at].guaranteed).sum::<u32>() * processes as u32;
        own = own.or((usable >= parts).then_some(took));
        half = half.or((usable * 2 >= all).then_some(took));
        whole = whole.or((usable == all).then_some(took));
    }
    println!(
        "{processes} processes, {killed} killed and started: own parts after {:.1} s, half of the caps {:.1} s, all {:.1} s",
        own.unwrap_or(f64::NAN),
        half.unwrap_or(f64::NAN),
        whole.unwrap_or(f64::NAN)
    );
}

fn through_faults(processes: usize, lasts: Micros) {
    let start = Instant::now();
    let pace =
        QuotaTiming { lease: 6 * SECOND, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND };
    let mut fleet = Fleet::new(Plan {
        fault_every: SECOND / 3,
        shift_every: SECOND / 10,
        loss: 0.05,
        call: 2 * SECOND,
        long_calls: true,
        tick: SECOND / 10,
        pace,
        ..plan(processes, Mode::Settled, 4)
    });
    fleet.play(lasts);
    println!(
        "{processes} processes, {:.0} s with {} faults, {} calls, {} messages: over a cap {} times, most {:?}; {:.0} s to play",
        lasts as f64 / 1e6,
        fleet.seen.faults,
        fleet.seen.calls,
        fleet.seen.messages,
        fleet.seen.over,
        fleet.seen.most,
        start.elapsed().as_secs_f64()
    );
}

fn main() {
    for mode in [Mode::Settled, Mode::Fixed, Mode::Nothing] {
        changes(8, mode, 24);
        owner_back(8, mode, 30);
    }
    [5, 50, 300].into_iter().for_each(sent);
    for (processes, killed) in [(8, 8), (8, 7), (300, 300)] {
        (1..=3).for_each(|seed| restarted(processes, killed, seed));
    }
    for mode in [Mode::Settled, Mode::Fixed, Mode::Nothing] {
        changes(300, mode, 8);
    }
    owner_back(300, Mode::Settled, 12);
    through_faults(300, 1_200 * SECOND);
}
