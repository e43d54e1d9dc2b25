//! Exchange of reports and grants between the ledger of a leader and the quotas of processes.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use flaxhead_quota::{
    Ballot, HostCapacity, LocalQuota, Micros, Name, Process, QuotaConfig, QuotaGrant, QuotaLedger,
    QuotaReport, QuotaTiming, Slot, TenantRegistry, TenantUsage, Usage,
};
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const BANKS: [(&str, f64); 2] = [("etna", 0.5), ("iblea", 0.3)];

fn pace() -> QuotaTiming {
    QuotaTiming { lease: 6 * SECOND, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND }
}

fn book(caps: &[&str], proxies_most: u32) -> TenantRegistry {
    let caps = caps.iter().map(|cap| (*cap).to_owned()).collect();
    TenantRegistry::new(&QuotaConfig { max_proxies: proxies_most, caps, ..QuotaConfig::default() }, BANKS)
        .expect("terms")
}

fn process(number: u8) -> Process {
    let name = Name::new(&format!("n{number}")).expect("a name");
    Process { name, incarnation: 1, address: SocketAddr::from(([127, 0, 0, number], 7_946)) }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, name: process(1).name, incarnation: 1 }
}

/// Usage of the first tenant by calls in flight and demand.
fn usage(in_hand: u32, wanted: u32) -> Usage {
    let of = TenantUsage {
        in_flight: in_hand,
        peak: wanted.max(in_hand),
        queued: wanted.saturating_sub(in_hand),
        rejected: 0,
    };
    Usage { tenants: vec![of], ..Usage::default() }
}

struct Fleet {
    ledger: QuotaLedger,
    held: Vec<LocalQuota>,
    now: Micros,
}

impl Fleet {
    fn new(books: Vec<TenantRegistry>) -> Fleet {
        let now = 100 * SECOND;
        let ledger = QuotaLedger::new(now, books[0].clone(), pace(), ballot(1), true, []);
        let held = books.into_iter().map(|book| LocalQuota::new(now, book, pace())).collect();
        Fleet { ledger, held, now }
    }

    fn word(&mut self, of: usize, usage: Usage) -> QuotaReport {
        self.held[of].observe_fence(&ballot(1));
        self.held[of].report(self.now, usage)
    }

    /// Sends a report and applies the resulting grant a tenth of a second later.
    fn renew(&mut self, of: usize, usage: Usage) -> QuotaGrant {
        let word = self.word(of, usage);
        self.ledger.record_report(self.now, &process(of as u8 + 1), self.now, word);
        self.leave(of)
    }

    fn leave(&mut self, of: usize) -> QuotaGrant {
        let asked = self.now;
        self.now += SECOND / 10;
        let leave = self.ledger.grant(self.now, &process(of as u8 + 1));
        self.held[of].apply_grant(&ballot(1), asked + pace().lease, leave.clone());
        leave
    }

    fn cap(&mut self, of: usize) -> u32 {
        let now = self.now;
        self.held[of].allowance(now).cap(now, 0).expect("a cap")
    }
}

#[test]
fn units_move_only_once_the_lowered_grant_is_confirmed_and_its_calls_are_over() {
    let mut fleet = Fleet::new(vec![book(&["etna 40"], 2), book(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    let whole = fleet.cap(0);
    assert_eq!(whole, 35, "all but the other's own part");
    // The second process wants as much. The first gets a lower grant, but has as many calls in flight as
    // before.
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    assert_eq!(fleet.cap(1), 5);
    fleet.renew(0, usage(35, 40));
    assert_eq!((fleet.cap(0), fleet.cap(1)), (20, 5));
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 5, "not confirmed");
    fleet.renew(0, usage(32, 40));
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 8, "what is in hand beyond the grant counts");
    fleet.renew(0, usage(20, 40));
    fleet.renew(1, usage(8, 40));
    assert_eq!((fleet.cap(0), fleet.cap(1)), (20, 20));
}

#[test]
fn a_word_that_comes_late_or_twice_does_not_undo_a_later_one() {
    let mut fleet = Fleet::new(vec![book(&["etna 40"], 2), book(&["etna 40"], 2)]);
    // The first report shows no calls in flight, and arrives after the process has used its whole grant.
    let (early, said) = (fleet.word(0, usage(0, 40)), fleet.now);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    (0..2).for_each(|_| drop(fleet.renew(0, usage(35, 40))));
    assert_eq!(fleet.cap(0), 20);
    fleet.ledger.record_report(fleet.now, &process(1), said, early);
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 5, "what is in hand beyond the grant counts still");
}

#[test]
fn one_that_is_not_heard_keeps_its_units_until_leave_and_the_longest_call_are_over() {
    let mut fleet = Fleet::new(vec![book(&["etna 40"], 2), book(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    let end = fleet.now + 16 * SECOND;
    while fleet.now < end {
        fleet.renew(1, usage(5, 40));
        assert_eq!(fleet.cap(1), 5, "at {}", fleet.now);
        let of_others = fleet.ledger.view(fleet.now);
        let granted = of_others.tenants[0].holders.iter().find(|row| row.name == "n1").expect("a row");
        assert_eq!(granted.granted, 30);
    }
    assert!(fleet.ledger.view(fleet.now).reasons.contains(&"not heard: n1".to_owned()));
    fleet.now += SECOND;
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 35);
    // The first process's grant has expired by its own clock, so it only has its guaranteed minimum.
    assert_eq!(fleet.cap(0), 5);
}

#[test]
fn a_new_holder_gives_what_processes_state_and_no_more_until_all_have() {
    let mut fleet = Fleet::new(vec![book(&["etna 40"], 2), book(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    let roster = [process(1), process(2)];
    let next = ballot(2);
    fleet.ledger =
        QuotaLedger::new(fleet.now, fleet.held[0].registry().clone(), pace(), next.clone(), true, &roster);
    let asked = fleet.now;
    // A process that has not heard of the new leader may still apply grants of the previous one.
    let word = fleet.held[0].report(asked, usage(0, 40));
    fleet.ledger.record_report(asked, &process(1), asked, word);
    let leave = fleet.ledger.grant(asked, &process(1));
    assert_eq!((leave.permits.clone(), leave.is_complete), (None, false));
    fleet.held[0].apply_grant(&next, asked + pace().lease, leave);
    let stale =
        QuotaGrant { seq: 99, permits: Some(vec![35, 0, 0]), has_slot: true, ..QuotaGrant::default() };
    assert!(!fleet.held[0].apply_grant(&ballot(1), asked + pace().lease, stale));
    let word = fleet.held[0].report(asked + 1, usage(0, 40));
    fleet.ledger.record_report(asked + 1, &process(1), asked + 1, word);
    assert_eq!(fleet.ledger.grant(asked + 1, &process(1)).permits, Some(vec![30, 0, 0]));
    assert!(fleet.ledger.learning_until(asked + 1).is_some());
    fleet.held[1].observe_fence(&next);
    let word = fleet.held[1].report(asked + 1, usage(0, 40));
    fleet.ledger.record_report(asked + 1, &process(2), asked + 1, word);
    assert_eq!(fleet.ledger.learning_until(asked + 1), None);
}

#[test]
fn one_too_many_has_no_seat_and_may_use_nothing_but_what_it_is_granted() {
    let mut fleet = Fleet::new(vec![book(&["etna 8"], 2); 3]);
    for of in [0, 1, 2, 0, 1, 2] {
        fleet.renew(of, usage(0, 0));
    }
    let seats: Vec<Slot> = fleet.held.iter().map(LocalQuota::slot).collect();
    assert_eq!(seats, [Slot::Assigned, Slot::Assigned, Slot::Denied]);
    assert!(fleet.ledger.view(fleet.now).reasons.contains(&"no seat: n3".to_owned()));
    for of in [2, 0, 1, 2, 0, 1, 2, 0, 1, 2] {
        fleet.renew(of, usage(0, if of == 2 { 40 } else { 0 }));
    }
    assert_eq!(fleet.cap(2), 6);
    // Without a slot, nothing is left after the grant has expired.
    fleet.now += 7 * SECOND;
    assert_eq!(fleet.cap(2), 0);
    // A process with the same address replaces the first one, so the two share one slot.
    let (again, now) = (Process { incarnation: 2, ..process(1) }, fleet.now);
    let mut held = LocalQuota::new(now, book(&["etna 8"], 2), pace());
    let word = held.report(now, usage(0, 0));
    fleet.ledger.record_report(now, &again, now, word);
    assert!(fleet.ledger.grant(now, &again).has_slot);
    assert!(!fleet.renew(2, usage(0, 0)).has_slot);
    fleet.ledger.remove_process(&process(1));
    fleet.ledger.remove_process(&again);
    assert!(fleet.renew(2, usage(0, 0)).has_slot);
}

#[test]
fn where_settings_differ_the_lower_cap_holds_by_the_names_of_tenants_and_is_named() {
    // The second process has a lower cap, and a different order of tenants.
    let terms = QuotaConfig { max_proxies: 2, caps: vec!["etna 8".to_owned()], ..QuotaConfig::default() };
    let other = TenantRegistry::new(&terms, [BANKS[1], BANKS[0]]).expect("terms");
    let mut fleet = Fleet::new(vec![book(&["etna 40"], 2), other]);
    let second = |wanted: u32| {
        let etna = usage(0, wanted).tenants[0];
        Usage { tenants: vec![TenantUsage::default(), etna], ..Usage::default() }
    };
    for _ in 0..4 {
        fleet.renew(0, usage(0, 40));
        fleet.renew(1, second(40));
    }
    let (now, first) = (fleet.now, fleet.cap(0));
    let allowance = fleet.held[1].allowance(now);
    assert_eq!(allowance.cap(now, 0), None, "iblea has no cap");
    let second = allowance.cap(now, 1).expect("a cap");
    assert_eq!((first + second, first), (8, 4), "{:?}", fleet.ledger.view(now));
    assert!(fleet.ledger.view(now).reasons.contains(&"caps differ at n2".to_owned()));
    // The lower minimum stays in effect after the grant has expired.
    fleet.now += 7 * SECOND;
    assert_eq!(fleet.cap(0), 1);
}

#[test]
fn a_started_process_waits_for_a_seat_only_while_that_can_change_the_answer() {
    let mut held = LocalQuota::new(0, book(&["etna 40"], 2), pace());
    assert_eq!((held.allowance(0).cap(0, 0), held.next_change(0)), (Some(0), Some(15 * SECOND)));
    assert_eq!(held.allowance(15 * SECOND).cap(15 * SECOND, 0), Some(5));
    let mut held = LocalQuota::new(0, book(&["etna 40"], 2), pace());
    held.assume_slot();
    assert_eq!(held.allowance(1).cap(1, 0), Some(5));
}

#[test]
fn hosts_are_shared_by_portion_and_what_one_leaves_is_lent() {
    let terms = QuotaConfig { calls_per_host: 10, max_proxies: 2, ..QuotaConfig::default() };
    let mut fleet = Fleet::new(vec![TenantRegistry::new(&terms, BANKS).expect("terms"); 2]);
    fleet.ledger.set_hosts(&[HostCapacity { ready: true, failing: false, warmth: 1_000, size: 10_000 }]);
    let use_of = |wanted: u32| usage(0, wanted).tenants[0];
    let both = |etna, iblea| Usage { tenants: vec![use_of(etna), use_of(iblea)], ..Usage::default() };
    for _ in 0..3 {
        fleet.renew(0, both(90, 90));
        fleet.renew(1, both(0, 90));
    }
    let (now, all) = (fleet.now, |held: &mut LocalQuota, now| held.allowance(now));
    let (one, two) = (all(&mut fleet.held[0], now), all(&mut fleet.held[1], now));
    // Capacity of 90 calls: 56 for etna, which only has calls at one process, and 34 for iblea, over both
    // processes.
    let shares = |allowance: &flaxhead_quota::Allowance| -> Vec<u32> {
        allowance.tenants.iter().map(|units| units.fair_share).collect()
    };
    assert_eq!((shares(&one), shares(&two)), (vec![56, 17, 0], vec![0, 17, 0]));
    assert_eq!((one.total(now), two.total(now)), (Some(73), Some(17)));
    // The total ends with the grant.
    assert_eq!(one.total(now + 7 * SECOND), None);
    for _ in 0..3 {
        fleet.renew(0, both(0, 90));
        fleet.renew(1, both(0, 90));
    }
    let view = fleet.ledger.view(fleet.now);
    assert!(view.tenants[1].fair_share > Some(80), "{view:?}");
}
