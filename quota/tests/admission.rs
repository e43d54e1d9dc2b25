//! Random events for the admission controller. After each event, its outputs are compared with what the rules
//! of admission require.
#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use flaxhead_quota::admission::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, ClassTiming, QueuedCall,
    QueuedVerdict, Verdict, Verdicts,
};
use flaxhead_quota::{Allowance, TenantAllowance};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TENANTS: usize = 4;

#[derive(Clone, Debug)]
enum Event {
    Request { tenant: usize, class: usize },
    Release(usize),
    AcquireHedge(usize),
    Cancel(usize),
    SetAllowance(Allowance, bool),
    AdvanceTime(u64),
}

fn allowance() -> impl Strategy<Value = Allowance> {
    let tenant_allowance = (proptest::option::of(0_u32..5), 0_u32..5)
        .prop_map(|(cap, share)| TenantAllowance { cap, guaranteed: cap, fair_share: share });
    let tenants = proptest::collection::vec(tenant_allowance, TENANTS);
    (tenants, proptest::option::of(1_u32..10)).prop_map(|(tenants, max_total)| Allowance {
        tenants,
        total: max_total,
        expires_at: None,
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..TENANTS + 1, 0_usize..2).prop_map(|(tenant, class)| Event::Request { tenant, class }),
        8 => any::<usize>().prop_map(Event::Release),
        2 => any::<usize>().prop_map(Event::AcquireHedge),
        1 => any::<usize>().prop_map(Event::Cancel),
        1 => (allowance(), any::<bool>())
            .prop_map(|(allowance, expects_more)| Event::SetAllowance(allowance, expects_more)),
        3 => (0_u64..200).prop_map(Event::AdvanceTime),
    ]
}

fn config() -> AdmissionConfig {
    let classes = vec![
        ClassTiming { latency_objective: 100, deadline: 1_000 },
        ClassTiming { latency_objective: 900, deadline: 1_000 },
    ];
    AdmissionConfig { classes, tenant_count: TENANTS, max_queue: 12, max_retry_after: 400 }
}

/// Admission controller under test, and the calls and deficits that it should have after the same events.
struct Harness {
    controller: AdmissionController,
    now: u64,
    allowance: Allowance,
    /// Tenant of each call in flight.
    in_flight_tenants: Vec<usize>,
    /// Tenant and timeout of each queued call.
    queued: BTreeMap<QueuedCall, (usize, u64)>,
    /// Number of calls by which each tenant is behind its share: in the first array by the admissions of
    /// tenants below their share, in the second one by those of all other tenants.
    deficits: [[f64; TENANTS]; 2],
    requests: usize,
    verdict_count: usize,
}

impl Harness {
    fn new(allowance: Allowance) -> Harness {
        let controller = AdmissionController::new(0, config(), allowance.clone(), false);
        let (in_flight_tenants, queued, deficits) = Default::default();
        Harness {
            controller,
            now: 0,
            allowance,
            in_flight_tenants,
            queued,
            deficits,
            requests: 0,
            verdict_count: 0,
        }
    }

    fn in_flight(&self, tenant: usize) -> u32 {
        self.in_flight_tenants.iter().filter(|call_tenant| **call_tenant == tenant).count() as u32
    }

    fn has_permit(&self, tenant: usize) -> bool {
        let cap = self.allowance.tenants[tenant].cap;
        cap.is_none_or(|cap| self.in_flight(tenant) < cap) && self.is_below_total()
    }

    fn is_below_total(&self) -> bool {
        self.allowance.total.is_none_or(|total| (self.in_flight_tenants.len() as u32) < total)
    }

    fn is_queued(&self, tenant: usize) -> bool {
        self.queued.values().any(|(call_tenant, _)| *call_tenant == tenant)
    }

    fn weight(&self, tenant: usize) -> f64 {
        f64::from(self.allowance.tenants[tenant].fair_share.max(1))
    }

    fn is_at_share(&self, tenant: usize) -> bool {
        self.in_flight(tenant) >= self.allowance.tenants[tenant].fair_share.max(1)
    }

    fn record_admission(&mut self, tenant: usize) -> Result<(), TestCaseError> {
        prop_assert!(self.has_permit(tenant), "tenant {tenant} exceeds its permits");
        self.in_flight_tenants.push(tenant);
        Ok(())
    }

    /// Checks, for the admission of a queued call of `tenant`, that no queued call of a tenant below its
    /// share was passed over, and that no tenant is more than one call behind its share.
    fn check_order(&mut self, tenant: usize) -> Result<(), TestCaseError> {
        if self.allowance.total.is_none() {
            return Ok(());
        }
        let eligible: Vec<usize> =
            (0..TENANTS).filter(|t| self.is_queued(*t) && self.has_permit(*t)).collect();
        let is_above_share = self.is_at_share(tenant);
        prop_assert!(
            !is_above_share || eligible.iter().all(|t| self.is_at_share(*t)),
            "tenant {tenant} precedes a tenant below its share"
        );
        let group: Vec<usize> =
            eligible.into_iter().filter(|t| self.is_at_share(*t) == is_above_share).collect();
        let group_deficits = &self.deficits[usize::from(is_above_share)];
        // Tenants whose queued calls could be admitted compete for the permit, and so do tenants that are
        // ahead of their share, until they no longer are ahead. The deficits of all other tenants do not
        // grow.
        let takes_part = |t: &usize| group.contains(t) || group_deficits[*t] < 0.0;
        let total: f64 = (0..TENANTS).filter(takes_part).map(|t| self.weight(t)).sum();
        for t in 0..TENANTS {
            let fraction = self.weight(t) / total;
            let deficit = &mut self.deficits[usize::from(is_above_share)][t];
            match group.contains(&t) {
                true => *deficit += fraction - f64::from(u8::from(t == tenant)),
                false => *deficit = (*deficit + fraction).min(0.0),
            }
            prop_assert!(*deficit <= 1.0 + 1e-6, "tenant {t} is {deficit} calls behind");
        }
        Ok(())
    }

    fn handle_verdicts(&mut self, verdicts: Verdicts) -> Result<(), TestCaseError> {
        for QueuedVerdict { call: queued_call, verdict } in verdicts {
            let found = self.queued.get(&queued_call).copied();
            prop_assert!(found.is_some(), "verdict for a call that is not queued");
            let Some((tenant, times_out_at)) = found else { continue };
            match verdict {
                Verdict::Admitted => {
                    let first = self.queued.iter().find(|(_, (call_tenant, _))| *call_tenant == tenant);
                    prop_assert_eq!(
                        first.map(|(first, _)| *first),
                        Some(queued_call),
                        "admitted out of order"
                    );
                    prop_assert!(self.now < times_out_at, "admitted after its timeout");
                    self.check_order(tenant)?;
                    self.record_admission(tenant)?;
                }
                Verdict::Rejected { retry_after: delay } => {
                    let is_blocked = self.allowance.tenants[tenant].cap == Some(0);
                    prop_assert!(self.now >= times_out_at || is_blocked, "rejected before its timeout");
                    prop_assert!(delay <= 400);
                }
            }
            self.queued.remove(&queued_call);
            self.verdict_count += 1;
        }
        Ok(())
    }

    fn request(&mut self, tenant: usize, class: usize) -> Result<(), TestCaseError> {
        self.requests += 1;
        let admission_request = AdmissionRequest { tenant: Some(tenant), class, deadline: self.now + 1_000 };
        let tenant = tenant.min(TENANTS - 1);
        match self.controller.request(self.now, admission_request) {
            AdmissionDecision::Decided(Verdict::Admitted) => {
                prop_assert!(!self.is_queued(tenant), "admitted ahead of queued calls");
                self.record_admission(tenant)?;
                self.verdict_count += 1;
            }
            AdmissionDecision::Decided(Verdict::Rejected { retry_after: delay }) => {
                prop_assert!(!self.has_permit(tenant) && delay <= 400);
                self.verdict_count += 1;
            }
            AdmissionDecision::Queued(call) => {
                let reserved = if class == 0 { 100 } else { 500 };
                self.queued.insert(call, (tenant, self.now + 1_000 - reserved));
            }
        }
        Ok(())
    }

    fn advance_time(&mut self, span: u64) -> Result<(), TestCaseError> {
        let mut verdicts = Verdicts::new();
        let end = self.now + span;
        while let Some(due) = self.controller.next_due().filter(|due| *due <= end) {
            self.now = due;
            self.controller.tick(due, &mut verdicts);
            self.handle_verdicts(std::mem::take(&mut verdicts))?;
        }
        self.now = end;
        Ok(())
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut verdicts = Verdicts::new();
        match event {
            Event::Request { tenant, class } => self.request(tenant, class)?,
            Event::Release(choice) if !self.in_flight_tenants.is_empty() => {
                let tenant = self.in_flight_tenants.swap_remove(choice % self.in_flight_tenants.len());
                self.controller.release(self.now, Some(tenant), &mut verdicts);
            }
            Event::AcquireHedge(choice) if !self.in_flight_tenants.is_empty() => {
                let tenant = self.in_flight_tenants[choice % self.in_flight_tenants.len()];
                let has_permit_now = self.has_permit(tenant);
                prop_assert_eq!(self.controller.acquire_extra(self.now, Some(tenant)), has_permit_now);
                if has_permit_now {
                    self.in_flight_tenants.push(tenant);
                }
            }
            Event::Cancel(choice) if !self.queued.is_empty() => {
                let call = *self.queued.keys().nth(choice % self.queued.len()).expect("a queued call");
                self.queued.remove(&call);
                self.controller.cancel(call);
                self.verdict_count += 1;
            }
            Event::SetAllowance(allowance, expects_more) => {
                self.allowance = allowance;
                self.deficits = Default::default();
                self.controller.set_allowance(self.now, self.allowance.clone(), expects_more, &mut verdicts);
            }
            Event::AdvanceTime(span) => self.advance_time(span)?,
            Event::Release(_) | Event::AcquireHedge(_) | Event::Cancel(_) => {}
        }
        self.handle_verdicts(verdicts)?;
        for (tenant, stats) in self.controller.stats().enumerate() {
            let queued_count =
                self.queued.values().filter(|(call_tenant, _)| *call_tenant == tenant).count() as u32;
            prop_assert_eq!((stats.in_flight, stats.queued), (self.in_flight(tenant), queued_count));
            prop_assert!(
                queued_count == 0 || !self.has_permit(tenant),
                "tenant {} has queued calls and a free permit",
                tenant
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn random_events_never_violate_the_admission_rules(
        initial in allowance(), events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut harness = Harness::new(initial);
        for event in events {
            harness.apply(event)?;
        }
        // All calls have passed their deadlines, so none may be left without a verdict.
        harness.apply(Event::AdvanceTime(10_000))?;
        prop_assert!(harness.queued.is_empty());
        prop_assert_eq!(harness.requests, harness.verdict_count);
    }

    /// Guards against a tenant that falls behind its share while all tenants have queued calls, for shares of
    /// any size.
    #[test]
    fn no_waiting_tenant_falls_more_than_one_call_behind(
        shares in proptest::collection::vec(1_u32..60, TENANTS),
        releases in proptest::collection::vec(any::<usize>(), 1..400),
    ) {
        let tenant_allowance =
            |share: &u32| TenantAllowance { fair_share: *share, ..TenantAllowance::default() };
        let max_total = Some(shares.iter().sum::<u32>() / 2 + 1);
        let mut harness = Harness::new(Allowance {
            tenants: shares.iter().map(tenant_allowance).collect(),
            total: max_total,
            expires_at: None,
        });
        for choice in releases {
            for tenant in 0..TENANTS {
                while harness.controller.stats().nth(tenant).is_some_and(|stats| stats.queued < 2) {
                    harness.apply(Event::Request { tenant, class: 0 })?;
                }
            }
            harness.apply(Event::Release(choice))?;
        }
    }
}

fn one_tenant(cap: u32) -> AdmissionController {
    let allowance = Allowance {
        tenants: vec![TenantAllowance { cap: Some(cap), guaranteed: Some(0), fair_share: 1 }],
        total: None,
        expires_at: None,
    };
    AdmissionController::new(0, AdmissionConfig { tenant_count: 1, ..config() }, allowance, false)
}

fn request(controller: &mut AdmissionController, now: u64) -> AdmissionDecision {
    controller.request(now, AdmissionRequest { tenant: None, class: 0, deadline: now + 1_000 })
}

/// Guards against calls that are left in the queue, or admitted, after the process has answered all others.
#[test]
fn a_closed_controller_rejects_queued_calls_and_later_ones() {
    let mut controller = one_tenant(1);
    assert_eq!(request(&mut controller, 0), AdmissionDecision::Decided(Verdict::Admitted));
    let queued: Vec<AdmissionDecision> = (0..2).map(|_| request(&mut controller, 10)).collect();
    let mut verdicts = Verdicts::new();
    controller.close(20, &mut verdicts);
    let rejected = Verdict::Rejected { retry_after: 0 };
    let decisions: Vec<AdmissionDecision> =
        verdicts.iter().map(|rejection| AdmissionDecision::Queued(rejection.call)).collect();
    assert_eq!(decisions, queued);
    assert!(verdicts.iter().all(|rejection| rejection.verdict == rejected));
    verdicts.clear();
    controller.release(30, None, &mut verdicts);
    assert_eq!(verdicts, []);
    assert_eq!(request(&mut controller, 40), AdmissionDecision::Decided(rejected));
    assert_eq!(controller.next_due(), None);
}

#[test]
fn a_call_that_cannot_be_admitted_in_time_is_rejected_at_once() {
    let mut controller = one_tenant(1);
    assert_eq!(request(&mut controller, 0), AdmissionDecision::Decided(Verdict::Admitted));
    // A permit has been released every 400 us, and a call can be queued for 900 us. So the second call in the
    // queue can expect its permit in time, after 800 us, and the third call cannot.
    for now in [400, 800, 1_200, 1_600] {
        controller.release(now, None, &mut Verdicts::new());
        assert_eq!(request(&mut controller, now), AdmissionDecision::Decided(Verdict::Admitted));
    }
    assert!(matches!(request(&mut controller, 1_600), AdmissionDecision::Queued(_)));
    let decisions: Vec<AdmissionDecision> = (0..3).map(|_| request(&mut controller, 1_600)).collect();
    assert!(
        matches!(decisions[2], AdmissionDecision::Decided(Verdict::Rejected { retry_after: 400 })),
        "{decisions:?}"
    );
    // The only permit has been in use for 850 us without any release. One more call may be queued, because
    // the next release can be for this call, but the call after it is rejected.
    let mut controller = one_tenant(1);
    assert_eq!(request(&mut controller, 0), AdmissionDecision::Decided(Verdict::Admitted));
    assert!(matches!(request(&mut controller, 850), AdmissionDecision::Queued(_)));
    assert!(matches!(request(&mut controller, 850), AdmissionDecision::Decided(Verdict::Rejected { .. })));
}

#[test]
fn no_call_is_queued_while_the_cap_is_zero_and_no_grant_is_expected() {
    let blocked_allowance = Allowance {
        tenants: vec![TenantAllowance { cap: Some(0), guaranteed: Some(0), fair_share: 0 }],
        total: None,
        expires_at: None,
    };
    let mut controller = one_tenant(0);
    assert_eq!(
        request(&mut controller, 0),
        AdmissionDecision::Decided(Verdict::Rejected { retry_after: 400 })
    );
    controller.set_allowance(0, blocked_allowance.clone(), true, &mut Verdicts::new());
    let AdmissionDecision::Queued(queued_call) = request(&mut controller, 0) else {
        panic!("a grant is expected")
    };
    let mut verdicts = Verdicts::new();
    controller.set_allowance(5, blocked_allowance, false, &mut verdicts);
    assert_eq!(
        verdicts,
        [QueuedVerdict { call: queued_call, verdict: Verdict::Rejected { retry_after: 400 } }]
    );
}

#[test]
fn an_expired_allowance_leaves_the_guaranteed_minimum() {
    let tenant_allowance =
        |cap, guaranteed| TenantAllowance { cap: Some(cap), guaranteed: Some(guaranteed), fair_share: 1 };
    let allowance =
        Allowance { tenants: vec![tenant_allowance(3, 1)], total: Some(2), expires_at: Some(100) };
    let mut controller =
        AdmissionController::new(0, AdmissionConfig { tenant_count: 1, ..config() }, allowance, false);
    let decisions = [request(&mut controller, 0), request(&mut controller, 0), request(&mut controller, 0)];
    assert_eq!(decisions[..2], [AdmissionDecision::Decided(Verdict::Admitted); 2]);
    assert!(matches!(decisions[2], AdmissionDecision::Queued(_)) && controller.next_due() == Some(100));
    let mut verdicts = Verdicts::new();
    controller.release(100, None, &mut verdicts);
    assert!(verdicts.is_empty() && !controller.acquire_extra(100, None), "the guaranteed minimum is in use");
    controller.release(100, None, &mut verdicts);
    assert_eq!(verdicts.len(), 1);
    assert_eq!((controller.usage()[0].peak, controller.usage()[0].in_flight), (3, 1));
}
