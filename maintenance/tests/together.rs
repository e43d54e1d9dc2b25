//! Three hundred processes killed in one instant and started together, in virtual time: when they serve again, and that
//! nothing that they ask is asked by all at once.

mod fleet;

use fleet::{Fleet, Plan, Together, SECOND};

/// So many are left alone by the kill.
fn restart(processes: usize, but: usize, lease: u64, seed: u64) -> Together {
    let plan = Plan {
        processes,
        hosts: 30,
        voters: 3,
        lasts: 12 * SECOND,
        lease,
        asks_every: 0,
        work_most: SECOND,
        fault_every: 0,
        limit: 2,
        loss: 0.01,
        seed,
    };
    Fleet::new(plan).restart(7 * SECOND, but)
}

#[test]
fn three_hundred_that_start_together_serve_within_three_seconds_and_ask_nothing_all_at_once() {
    for (but, seed) in [(0, 1), (20, 2)] {
        let seen = restart(300, but, SECOND, seed);
        let last = seen.serving.last().copied().unwrap_or(u64::MAX);
        println!("all but {but}: first {:?}, last {last} after the start", seen.serving.first());
        for (kind, counts) in &seen.sent {
            println!("{kind}: {:?}", &counts[..counts.len().min(30)]);
        }
        assert!(seen.serving.len() == 300 && last < 3 * SECOND, "{} {last}", seen.serving.len());
        for kind in ["leaves asked for", "questions of those that wait"] {
            let counts = &seen.sent[kind];
            let first: u32 = counts.windows(10).map(|second| second.iter().sum()).max().unwrap_or(0);
            let peak = counts.iter().max().copied().unwrap_or(0);
            assert!(
                peak * 10 <= 3 * first,
                "{kind}: {peak} in a tenth of a second, {first} in the busiest second"
            );
        }
        // So few voters cannot ask often; no two of their bids need come at once.
        assert!(seen.sent["bids"].iter().all(|count| *count <= 6), "{:?}", seen.sent["bids"]);
    }
}
