//! Simulation of 300 processes that are killed and restarted together: all may send calls again within three
//! seconds, and the messages that they send after the restart are spread over time.

mod fleet;

use fleet::{Fleet, RestartMetrics, Scenario, SECOND};

fn kill_and_restart(process_count: usize, survivors: usize, lease: u64, seed: u64) -> RestartMetrics {
    let scenario = Scenario {
        process_count,
        host_count: 30,
        voter_count: 3,
        duration: 12 * SECOND,
        lease,
        request_interval: 0,
        max_maintenance_time: SECOND,
        fault_interval: 0,
        max_hosts_out: 2,
        loss_ratio: 0.01,
        seed,
    };
    Fleet::new(scenario).kill_and_restart(7 * SECOND, survivors)
}

#[test]
fn processes_restarted_together_serve_within_three_seconds_without_a_burst_of_requests() {
    for (survivors, seed) in [(0, 1), (20, 2)] {
        let metrics = kill_and_restart(300, survivors, SECOND, seed);
        let last = metrics.times_to_serve.last().copied().unwrap_or(u64::MAX);
        println!(
            "{survivors} survivors: first serves after {:?} us, last after {last} us",
            metrics.times_to_serve.first()
        );
        for (kind, counts) in &metrics.sent_by_kind {
            println!("{kind}: {:?}", &counts[..counts.len().min(30)]);
        }
        assert!(
            metrics.times_to_serve.len() == 300 && last < 3 * SECOND,
            "{} {last}",
            metrics.times_to_serve.len()
        );
        // No tenth of a second may have more than 30 % of the messages of one kind in the busiest second, which
        // is three times the mean of that second.
        for kind in ["lease renewals", "recovery queries"] {
            let counts = &metrics.sent_by_kind[kind];
            let busiest: u32 = counts.windows(10).map(|second| second.iter().sum()).max().unwrap_or(0);
            let peak = counts.iter().max().copied().unwrap_or(0);
            assert!(
                peak * 10 <= 3 * busiest,
                "{kind}: {peak} in a tenth of a second, {busiest} in the busiest second"
            );
        }
        // Only the three voters send prepare requests. These are too few to be spread over a second, so the
        // number in a tenth of a second has a fixed bound of 6: one request from each voter to each of the
        // two other voters.
        assert!(
            metrics.sent_by_kind["prepare requests"].iter().all(|count| *count <= 6),
            "{:?}",
            metrics.sent_by_kind["prepare requests"]
        );
    }
}
