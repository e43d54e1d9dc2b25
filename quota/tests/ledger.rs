//! Exchange of single reports and grants between a leader's `QuotaLedger` and the `LocalQuota` of each
//! process.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use flaxhead_quota::{
    Ballot, HostCapacity, LocalQuota, Micros, Name, Process, QuotaConfig, QuotaGrant, QuotaLedger,
    QuotaReport, QuotaTiming, Slot, TenantRegistry, TenantUsage, Usage,
};
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const BANKS: [(&str, f64); 2] = [("etna", 0.5), ("iblea", 0.3)];

fn timing() -> QuotaTiming {
    QuotaTiming { lease: 6 * SECOND, max_call_duration: 10 * SECOND, autonomy_timeout: 15 * SECOND }
}

fn registry(caps: &[&str], max_proxy_count: u32) -> TenantRegistry {
    let caps = caps.iter().map(|cap| (*cap).to_owned()).collect();
    TenantRegistry::new(&QuotaConfig { max_proxies: max_proxy_count, caps, ..QuotaConfig::default() }, BANKS)
        .expect("valid config")
}

fn process(number: u8) -> Process {
    let name = Name::new(&format!("n{number}")).expect("valid name");
    Process { name, incarnation: 1, address: SocketAddr::from(([127, 0, 0, number], 7_946)) }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, name: process(1).name, incarnation: 1 }
}

/// Returns the usage of a process with `calls` calls of the first tenant in flight, and with a demand of
/// `wanted` permits for this tenant.
fn usage(calls: u32, wanted: u32) -> Usage {
    let tenant_usage = TenantUsage {
        in_flight: calls,
        peak: wanted.max(calls),
        queued: wanted.saturating_sub(calls),
        rejected: 0,
    };
    Usage { tenants: vec![tenant_usage], ..Usage::default() }
}

struct Fleet {
    ledger: QuotaLedger,
    local_quotas: Vec<LocalQuota>,
    now: Micros,
}

impl Fleet {
    fn new(registries: Vec<TenantRegistry>) -> Fleet {
        let now = 100 * SECOND;
        let ledger = QuotaLedger::new(now, registries[0].clone(), timing(), ballot(1), true, []);
        let local_quotas =
            registries.into_iter().map(|registry| LocalQuota::new(now, registry, timing())).collect();
        Fleet { ledger, local_quotas, now }
    }

    fn make_report(&mut self, index: usize, usage: Usage) -> QuotaReport {
        self.local_quotas[index].observe_ballot(&ballot(1));
        self.local_quotas[index].report(self.now, usage)
    }

    /// Records a report of the process in the ledger, and applies the grant that the ledger issues a tenth of
    /// a second later.
    fn renew(&mut self, index: usize, usage: Usage) -> QuotaGrant {
        let report = self.make_report(index, usage);
        self.ledger.record_report(self.now, &process(index as u8 + 1), self.now, report);
        self.request_grant(index)
    }

    fn request_grant(&mut self, index: usize) -> QuotaGrant {
        let requested_at = self.now;
        self.now += SECOND / 10;
        let grant = self.ledger.grant(self.now, &process(index as u8 + 1));
        self.local_quotas[index].apply_grant(&ballot(1), requested_at + timing().lease, grant.clone());
        grant
    }

    fn cap(&mut self, index: usize) -> u32 {
        let now = self.now;
        self.local_quotas[index].allowance(now).cap(now, 0).expect("a cap")
    }
}

#[test]
fn permits_move_after_the_lowered_grant_is_confirmed_and_its_calls_have_ended() {
    let mut fleet = Fleet::new(vec![registry(&["etna 40"], 2), registry(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    let first_cap = fleet.cap(0);
    assert_eq!(first_cap, 35, "all but the guaranteed minimum of the other process");
    // Both processes want 40 permits. The first process is granted fewer than before, but still has 35 calls
    // in flight.
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    assert_eq!(fleet.cap(1), 5);
    fleet.renew(0, usage(35, 40));
    assert_eq!((fleet.cap(0), fleet.cap(1)), (20, 5));
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 5, "not confirmed");
    fleet.renew(0, usage(32, 40));
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 8, "calls in flight beyond the grant count");
    fleet.renew(0, usage(20, 40));
    fleet.renew(1, usage(8, 40));
    assert_eq!((fleet.cap(0), fleet.cap(1)), (20, 20));
}

#[test]
fn a_delayed_or_repeated_report_does_not_replace_a_later_one() {
    let mut fleet = Fleet::new(vec![registry(&["etna 40"], 2), registry(&["etna 40"], 2)]);
    // The first report of the first process shows no calls, and reaches the ledger only after a later report
    // of this process with 35 calls.
    let (early_report, reported_at) = (fleet.make_report(0, usage(0, 40)), fleet.now);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    (0..2).for_each(|_| drop(fleet.renew(0, usage(35, 40))));
    assert_eq!(fleet.cap(0), 20);
    fleet.ledger.record_report(fleet.now, &process(1), reported_at, early_report);
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 5, "calls in flight beyond the grant still count");
}

#[test]
fn a_silent_process_keeps_its_permits_until_its_grant_and_longest_call_have_ended() {
    let mut fleet = Fleet::new(vec![registry(&["etna 40"], 2), registry(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    let end = fleet.now + 16 * SECOND;
    while fleet.now < end {
        fleet.renew(1, usage(5, 40));
        assert_eq!(fleet.cap(1), 5, "at {}", fleet.now);
        let view = fleet.ledger.view(fleet.now);
        let holder =
            view.tenants[0].holders.iter().find(|holder| holder.name == "n1").expect("n1 holds permits");
        assert_eq!(holder.granted, 30);
    }
    assert!(fleet.ledger.view(fleet.now).reasons.contains(&"not heard: n1".to_owned()));
    fleet.now += SECOND;
    fleet.renew(1, usage(5, 40));
    assert_eq!(fleet.cap(1), 35);
    // By the clock of the first process its grant has expired, so that only its guaranteed minimum of 5
    // permits is left.
    assert_eq!(fleet.cap(0), 5);
}

#[test]
fn a_new_leader_only_confirms_reported_permits_until_all_processes_have_reported() {
    let mut fleet = Fleet::new(vec![registry(&["etna 40"], 2), registry(&["etna 40"], 2)]);
    (0..3).for_each(|_| drop(fleet.renew(0, usage(0, 40))));
    (0..3).for_each(|_| drop(fleet.renew(1, usage(0, 40))));
    let roster = [process(1), process(2)];
    let next_ballot = ballot(2);
    fleet.ledger = QuotaLedger::new(
        fleet.now,
        fleet.local_quotas[0].registry().clone(),
        timing(),
        next_ballot.clone(),
        true,
        &roster,
    );
    let requested_at = fleet.now;
    // Until the process knows the new leader, it may still apply grants of the previous leader, so the new
    // leader cannot rely on its reported permits.
    let report = fleet.local_quotas[0].report(requested_at, usage(0, 40));
    fleet.ledger.record_report(requested_at, &process(1), requested_at, report);
    let grant = fleet.ledger.grant(requested_at, &process(1));
    assert_eq!((grant.permits.clone(), grant.is_complete), (None, false));
    fleet.local_quotas[0].apply_grant(&next_ballot, requested_at + timing().lease, grant);
    let stale =
        QuotaGrant { seq: 99, permits: Some(vec![35, 0, 0]), has_slot: true, ..QuotaGrant::default() };
    assert!(!fleet.local_quotas[0].apply_grant(&ballot(1), requested_at + timing().lease, stale));
    let report = fleet.local_quotas[0].report(requested_at + 1, usage(0, 40));
    fleet.ledger.record_report(requested_at + 1, &process(1), requested_at + 1, report);
    assert_eq!(fleet.ledger.grant(requested_at + 1, &process(1)).permits, Some(vec![30, 0, 0]));
    assert!(fleet.ledger.learning_until(requested_at + 1).is_some());
    fleet.local_quotas[1].observe_ballot(&next_ballot);
    let report = fleet.local_quotas[1].report(requested_at + 1, usage(0, 40));
    fleet.ledger.record_report(requested_at + 1, &process(2), requested_at + 1, report);
    assert_eq!(fleet.ledger.learning_until(requested_at + 1), None);
}

#[test]
fn a_process_without_a_slot_may_only_use_granted_permits() {
    let mut fleet = Fleet::new(vec![registry(&["etna 8"], 2); 3]);
    for index in [0, 1, 2, 0, 1, 2] {
        fleet.renew(index, usage(0, 0));
    }
    let slots: Vec<Slot> = fleet.local_quotas.iter().map(LocalQuota::slot).collect();
    assert_eq!(slots, [Slot::Assigned, Slot::Assigned, Slot::Denied]);
    assert!(fleet.ledger.view(fleet.now).reasons.contains(&"no seat: n3".to_owned()));
    for index in [2, 0, 1, 2, 0, 1, 2, 0, 1, 2] {
        fleet.renew(index, usage(0, if index == 2 { 40 } else { 0 }));
    }
    assert_eq!(fleet.cap(2), 6);
    // The third process has no slot, so that it has no permits once its grant has expired.
    fleet.now += 7 * SECOND;
    assert_eq!(fleet.cap(2), 0);
    // A new process with the address of the first process replaces it, and takes over its slot.
    let (replacement, now) = (Process { incarnation: 2, ..process(1) }, fleet.now);
    let mut local_quota = LocalQuota::new(now, registry(&["etna 8"], 2), timing());
    let report = local_quota.report(now, usage(0, 0));
    fleet.ledger.record_report(now, &replacement, now, report);
    assert!(fleet.ledger.grant(now, &replacement).has_slot);
    assert!(!fleet.renew(2, usage(0, 0)).has_slot);
    fleet.ledger.remove_process(&process(1));
    fleet.ledger.remove_process(&replacement);
    assert!(fleet.renew(2, usage(0, 0)).has_slot);
}

#[test]
fn with_differing_configurations_the_lower_cap_applies_by_tenant_name_and_is_reported() {
    // The second process configures a lower cap, and has its tenants in another order.
    let config = QuotaConfig { max_proxies: 2, caps: vec!["etna 8".to_owned()], ..QuotaConfig::default() };
    let other_registry = TenantRegistry::new(&config, [BANKS[1], BANKS[0]]).expect("valid config");
    let mut fleet = Fleet::new(vec![registry(&["etna 40"], 2), other_registry]);
    let second_usage = |wanted: u32| {
        let etna_usage = usage(0, wanted).tenants[0];
        Usage { tenants: vec![TenantUsage::default(), etna_usage], ..Usage::default() }
    };
    for _ in 0..4 {
        fleet.renew(0, usage(0, 40));
        fleet.renew(1, second_usage(40));
    }
    let (now, first_cap) = (fleet.now, fleet.cap(0));
    let allowance = fleet.local_quotas[1].allowance(now);
    assert_eq!(allowance.cap(now, 0), None, "iblea has no cap");
    let second_cap = allowance.cap(now, 1).expect("a cap");
    assert_eq!((first_cap + second_cap, first_cap), (8, 4), "{:?}", fleet.ledger.view(now));
    assert!(fleet.ledger.view(now).reasons.contains(&"caps differ at n2".to_owned()));
    // The minimum of the first process is still the lowered one after its grant has expired.
    fleet.now += 7 * SECOND;
    assert_eq!(fleet.cap(0), 1);
}

#[test]
fn a_started_process_waits_for_a_slot_until_the_autonomy_timeout_or_loss_of_all_state() {
    let mut local_quota = LocalQuota::new(0, registry(&["etna 40"], 2), timing());
    assert_eq!(
        (local_quota.allowance(0).cap(0, 0), local_quota.next_change(0)),
        (Some(0), Some(15 * SECOND))
    );
    assert_eq!(local_quota.allowance(15 * SECOND).cap(15 * SECOND, 0), Some(5));
    let mut local_quota = LocalQuota::new(0, registry(&["etna 40"], 2), timing());
    local_quota.assume_slot();
    assert_eq!(local_quota.allowance(1).cap(1, 0), Some(5));
}

#[test]
fn capacity_is_shared_by_portion_and_unused_shares_are_lent() {
    let config = QuotaConfig { calls_per_host: 10, max_proxies: 2, ..QuotaConfig::default() };
    let mut fleet = Fleet::new(vec![TenantRegistry::new(&config, BANKS).expect("valid config"); 2]);
    fleet.ledger.set_hosts(&[HostCapacity { ready: true, failing: false, warmth: 1_000, size: 10_000 }]);
    let usage_of = |wanted: u32| usage(0, wanted).tenants[0];
    let usage_of_both =
        |etna, iblea| Usage { tenants: vec![usage_of(etna), usage_of(iblea)], ..Usage::default() };
    for _ in 0..3 {
        fleet.renew(0, usage_of_both(90, 90));
        fleet.renew(1, usage_of_both(0, 90));
    }
    let (now, allowance_of) = (fleet.now, |local_quota: &mut LocalQuota, now| local_quota.allowance(now));
    let (first_allowance, second_allowance) =
        (allowance_of(&mut fleet.local_quotas[0], now), allowance_of(&mut fleet.local_quotas[1], now));
    // The capacity is 90 calls. Tenant etna gets 56 of them, all at the only process with demand for it;
    // tenant iblea gets 34, divided between two processes.
    let fair_shares = |allowance: &flaxhead_quota::Allowance| -> Vec<u32> {
        allowance.tenants.iter().map(|tenant| tenant.fair_share).collect()
    };
    assert_eq!(
        (fair_shares(&first_allowance), fair_shares(&second_allowance)),
        (vec![56, 17, 0], vec![0, 17, 0])
    );
    assert_eq!((first_allowance.total(now), second_allowance.total(now)), (Some(73), Some(17)));
    // The limit on all tenants together ends when the grant expires.
    assert_eq!(first_allowance.total(now + 7 * SECOND), None);
    for _ in 0..3 {
        fleet.renew(0, usage_of_both(0, 90));
        fleet.renew(1, usage_of_both(0, 90));
    }
    let view = fleet.ledger.view(fleet.now);
    assert!(view.tenants[1].fair_share > Some(80), "{view:?}");
}
