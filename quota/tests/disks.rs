//! Fleets in virtual time whose processes go by disks: all are killed and started again, with what was there, without it,
//! or with what was there before. At every step the sum of all that may be used is held against each cap.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

mod fleet;

use flaxhead_lease::Voters;
use flaxhead_quota::{
    Context, Effect, Facts, Machine, Message, Name, Process, QuotaApplication, QuotaTiming,
};
use fleet::{site, Fleet, Mode, Plan, SECOND};
use rand_core::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const ALL: usize = 8;
const LEASE: u64 = 6 * SECOND;

/// Eight that go by disks and want more than any cap, and have all of it.
fn settled(seed: u64, loss: f64) -> Fleet {
    let mut fleet = Fleet::new(Plan {
        processes: ALL,
        voters: 3,
        proxies_most: ALL as u32,
        site: site("banks", 4 * ALL as u32),
        hosts: 2 * ALL,
        host_calls: 8,
        pace: QuotaTiming { lease: LEASE, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND },
        call: SECOND,
        long_calls: true,
        tick: SECOND / 20,
        fault_every: 0,
        shift_every: 0,
        loss,
        mode: Mode::Settled,
        seed,
    });
    (0..ALL).for_each(|place| fleet.kill(place));
    (0..ALL).for_each(|place| fleet.launch_with(place, None));
    for place in 0..ALL {
        capped(&fleet).iter().for_each(|(tenant, _)| fleet.want(place, *tenant, 40));
    }
    assert!(whole_after(&mut fleet) < 60 * SECOND);
    fleet
}

fn capped(fleet: &Fleet) -> Vec<(usize, u32)> {
    fleet.book().tenants.iter().enumerate().filter_map(|(at, tenant)| Some((at, tenant.cap?))).collect()
}

/// How long it takes until all of each cap may be used.
fn whole_after(fleet: &mut Fleet) -> u64 {
    let since = fleet.now;
    let whole = |fleet: &Fleet| capped(fleet).iter().all(|(tenant, cap)| fleet.allowed(*tenant) == *cap);
    while !whole(fleet) && fleet.now < since + 60 * SECOND {
        fleet.play(SECOND / 50);
    }
    fleet.now - since
}

/// Kills these at once and starts them a second later with what a place finds; how long until caps are whole.
fn again(fleet: &mut Fleet, places: std::ops::Range<usize>, keeps: impl Fn(usize) -> bool) -> u64 {
    // The voters are told that all is known with the next renewal of the lease.
    fleet.play(2 * LEASE);
    let found: Vec<_> = (0..ALL).map(|place| fleet.memory(place).filter(|_| keeps(place))).collect();
    places.clone().for_each(|place| fleet.kill(place));
    fleet.play(SECOND);
    places.for_each(|place| fleet.launch_with(place, found[place].clone()));
    whole_after(fleet)
}

/// Without the disks it is that silence, then a lease and the longest call.
#[test]
fn with_a_majority_of_the_voters_disks_caps_are_whole_once_a_lease_of_silence_is_over() {
    for seed in 1..=5 {
        let mut fleet = settled(seed, 0.0);
        let kept = again(&mut fleet, 0..ALL, |_| true);
        let but_one_killed = again(&mut fleet, 0..ALL - 1, |_| true);
        let one_lost = again(&mut fleet, 0..ALL, |place| place != 1);
        let lost = again(&mut fleet, 0..ALL, |_| false);
        println!("{:?}", [kept, but_one_killed, one_lost, lost].map(|took| took / (SECOND / 10)));
        // No lease is waited for after the silence of one, as long as bids come through at once or twice.
        assert!([kept, but_one_killed, one_lost].iter().all(|took| *took < 2 * LEASE), "seed {seed}");
        assert!(lost > 22 * SECOND, "seed {seed}");
    }
}

/// Whatever part of it is there: none of the judge's sums is over a cap, and all is given in the end.
#[test]
fn through_restarts_with_some_of_the_disks_and_lost_messages_no_cap_is_passed() {
    for seed in 1..=12_usize {
        let mut fleet = settled(seed as u64, 0.1);
        let first = seed % 3;
        for round in 0..4 {
            let took = again(&mut fleet, first..ALL - round % 2, |place| (place + seed + round) % 3 > 0);
            assert!(took < 60 * SECOND, "seed {seed}, round {round}");
        }
        assert_eq!(fleet.seen.over, 0);
    }
}

/// Why a process that is started again never spends a grant that its disk might hold, though its time is not over: it may
/// have been lowered since, or given to another as the process before was known to have ended.
#[test]
fn a_grant_as_it_was_within_the_same_lease_may_be_others_by_now() {
    let mut fleet = settled(1, 0.0);
    let (tenant, cap) = capped(&fleet)[0];
    let had = |fleet: &Fleet| fleet.usable_at(ALL - 1, tenant);
    let (written, before) = (fleet.now, had(&fleet));
    fleet.want(ALL - 1, tenant, 0);
    while had(&fleet) == before || fleet.allowed(tenant) < cap {
        fleet.play(SECOND / 50);
    }
    assert!(fleet.now < written + LEASE, "its time is not over");
    let memory = fleet.memory(ALL - 1);
    fleet.kill(ALL - 1);
    fleet.launch_with(ALL - 1, memory);
    assert!(fleet.allowed(tenant) + before > cap, "what was written then would be over the cap now");
}

/// Voters that remember ask nobody once their silence is over: they must not all bid then, in one moment.
#[test]
fn voters_that_remember_and_start_together_bid_one_after_the_other() {
    let mut fleet = settled(1, 0.0);
    fleet.play(2 * LEASE);
    let voters: Vec<Name> = (0..3).map(|place| Name::new(&format!("p{place:03}")).expect("a name")).collect();
    let pace = QuotaTiming { lease: LEASE, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND };
    let (facts, mut random) = (Facts { participates: true, ..Facts::default() }, Pcg64::seed_from_u64(3));
    let mut bids = |place: usize| {
        let at = SocketAddr::from(([10, 0, 0, place as u8], 7_946));
        let me = Process { name: voters[place].clone(), incarnation: 99, address: at };
        let shares = QuotaApplication::new(0, fleet.book().clone(), pace.clone());
        let list = Voters::new(voters.clone(), Vec::new()).expect("voters");
        let found = fleet.memory(place).filter(|memory| memory.is_recovered);
        assert!(found.is_some(), "it is sure");
        let mut machine = Machine::new(QuotaApplication::config(&pace), shares, list, me, 0)
            .with_persistence(0, found, SECOND);
        let mut steps = std::iter::once(0).chain((LEASE..3 * LEASE).step_by(1_000));
        let bid = |now: &u64| {
            let mut out = Vec::new();
            machine.tick(&mut Context { now: *now, facts: &facts, random: &mut random }, &mut out);
            out.iter().any(|of| matches!(of, Effect::Send { message: Message::Prepare { .. }, .. }))
        };
        steps.find(bid)
    };
    let first: BTreeSet<u64> = (0..3).filter_map(&mut bids).collect();
    assert_eq!(first.len(), 3, "{first:?}");
    assert!(first.iter().all(|at| *at > LEASE && *at < LEASE + LEASE / 3), "{first:?}");
}
