//! Turns at fleets of several sizes, in virtual time: how long until a host is free, how long nobody hands out turns,
//! what is sent; and a week of 300 processes and 200 hosts with faults.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the counts of a run are small and never negative"
)]

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Fleet, Plan, Seen, HOUR, SECOND};
use std::time::Instant;

fn at(sorted: &mut [u64], share: f64) -> f64 {
    sorted.sort_unstable();
    let place = (sorted.len() as f64 * share).ceil().max(1.0) as usize - 1;
    sorted.get(place).map_or(0.0, |micros| *micros as f64 / 1e6)
}

fn say(what: &str, plan: &Plan, seen: &Seen, start: Instant) {
    let (mut took, mut without) = (seen.took.clone(), seen.without.clone());
    let seconds = plan.lasts as f64 / 1e6;
    println!(
        "{what}: {} asked, {} free, p50 {:.2} s, p99 {:.2} s; {} holders, without one p50 {:.1} s, most {:.1} s; \
         {:.2} messages a process and second; {} faults, forgotten {} times, {} out at once; {:.0} s to play",
        seen.asked,
        seen.freed,
        at(&mut took, 0.5),
        at(&mut took, 0.99),
        seen.holders,
        at(&mut without, 0.5),
        at(&mut without, 1.0),
        seen.messages as f64 / seconds / plan.processes as f64,
        seen.faults,
        seen.forgotten,
        seen.out_most,
        start.elapsed().as_secs_f64()
    );
}

fn main() {
    let base = Plan {
        processes: 5,
        hosts: 200,
        voters: 5,
        lasts: HOUR,
        lease: 6 * SECOND,
        asks_every: 30 * SECOND,
        work_most: 5 * SECOND,
        fault_every: 0,
        limit: 3,
        loss: 0.01,
        seed: 1,
    };
    for processes in [5, 50, 300] {
        for (what, fault_every, asks_every) in [
            ("idle", 0, 100 * HOUR),
            ("turns", 0, 30 * SECOND),
            ("turns and faults", 120 * SECOND, 30 * SECOND),
        ] {
            let plan = Plan { processes, fault_every, asks_every, ..base.clone() };
            let start = Instant::now();
            let seen = Fleet::new(plan.clone()).play();
            say(&format!("{processes} processes, {what}, an hour"), &plan, &seen, start);
        }
    }
    let plan = Plan {
        processes: 300,
        lasts: 7 * 24 * HOUR,
        lease: 60 * SECOND,
        asks_every: 1_800 * SECOND,
        work_most: 600 * SECOND,
        fault_every: 600 * SECOND,
        ..base
    };
    let start = Instant::now();
    let seen = Fleet::new(plan.clone()).play();
    say("300 processes, a week", &plan, &seen, start);
}
