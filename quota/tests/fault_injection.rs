//! Fleets in virtual time with a fault every few seconds, judged at every step against the caps.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

mod fleet;

use flaxhead_quota::QuotaTiming;
use fleet::{site, Fleet, Mode, Plan, SECOND};

fn plan(name: &str, processes: usize, seed: u64) -> Plan {
    Plan {
        processes,
        voters: 3,
        proxies_most: processes as u32,
        site: site(name, 4 * processes as u32),
        hosts: 2 * processes,
        host_calls: 8,
        pace: QuotaTiming { lease: 3 * SECOND, max_call_duration: 4 * SECOND, autonomy_timeout: 8 * SECOND },
        call: SECOND,
        long_calls: true,
        tick: SECOND / 20,
        fault_every: 2 * SECOND,
        shift_every: SECOND,
        loss: 0.03,
        mode: Mode::Settled,
        seed,
    }
}

fn played(plan: Plan, lasts: u64) -> fleet::Seen {
    let mut fleet = Fleet::new(plan);
    fleet.play(lasts);
    fleet.seen
}

#[test]
fn through_drawn_faults_no_cap_is_passed_at_three_sites_and_the_same_seed_plays_the_same() {
    for (at, name) in ["banks", "shops", "one group"].into_iter().enumerate() {
        let seen = played(plan(name, 8, at as u64), 900 * SECOND);
        println!("{name}: {seen:?}");
        assert!(seen.faults > 200 && seen.calls > 5_000, "{seen:?}");
        assert_eq!(seen, played(plan(name, 8, at as u64), 900 * SECOND));
    }
}

/// Two more than own parts are counted for. Nobody takes a part by itself here, as where the voters are never all gone.
#[test]
fn with_more_processes_than_seats_no_cap_is_passed() {
    let pace = QuotaTiming { autonomy_timeout: u64::MAX, ..plan("banks", 8, 0).pace };
    let seen = played(Plan { processes: 10, pace, ..plan("banks", 8, 5) }, 600 * SECOND);
    assert!(seen.faults > 150 && seen.calls > 5_000, "{seen:?}");
}

#[test]
fn three_hundred_processes_through_hundreds_of_faults_pass_no_cap() {
    let many = Plan { fault_every: SECOND / 5, shift_every: SECOND / 5, ..plan("banks", 300, 7) };
    let seen = played(many, 90 * SECOND);
    println!("{seen:?}");
    assert!(seen.faults > 300 && seen.calls > 50_000, "{seen:?}");
}
