//! Properties of the admission controller under random events, computed from its inputs and outputs only.
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
    Ask { tenant: usize, class: usize },
    End(usize),
    Copy(usize),
    Leave(usize),
    Allow(Allowance, bool),
    Time(u64),
}

fn allowance() -> impl Strategy<Value = Allowance> {
    let units = (proptest::option::of(0_u32..5), 0_u32..5).prop_map(|(cap, share)| TenantAllowance {
        cap,
        guaranteed: cap,
        fair_share: share,
    });
    let tenants = proptest::collection::vec(units, TENANTS);
    (tenants, proptest::option::of(1_u32..10)).prop_map(|(tenants, all)| Allowance {
        tenants,
        total: all,
        expires_at: None,
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..TENANTS + 1, 0_usize..2).prop_map(|(tenant, class)| Event::Ask { tenant, class }),
        8 => any::<usize>().prop_map(Event::End),
        2 => any::<usize>().prop_map(Event::Copy),
        1 => any::<usize>().prop_map(Event::Leave),
        1 => (allowance(), any::<bool>()).prop_map(|(allowance, more)| Event::Allow(allowance, more)),
        3 => (0_u64..200).prop_map(Event::Time),
    ]
}

fn rules() -> AdmissionConfig {
    let classes = vec![
        ClassTiming { latency_objective: 100, deadline: 1_000 },
        ClassTiming { latency_objective: 900, deadline: 1_000 },
    ];
    AdmissionConfig { classes, tenant_count: TENANTS, max_queue: 12, max_retry_after: 400 }
}

/// Admission controller with a reference model of its state.
struct Play {
    gate: AdmissionController,
    now: u64,
    allowance: Allowance,
    /// Tenants of the calls in flight.
    out: Vec<usize>,
    /// Queued calls with their tenant and queue timeout.
    waiting: BTreeMap<QueuedCall, (usize, u64)>,
    /// Deficit of each tenant among those below their share, and among those at or above it, in calls.
    behind: [[f64; TENANTS]; 2],
    asked: usize,
    answered: usize,
}

impl Play {
    fn new(allowance: Allowance) -> Play {
        let gate = AdmissionController::new(0, rules(), allowance.clone(), false);
        let (out, waiting, behind) = Default::default();
        Play { gate, now: 0, allowance, out, waiting, behind, asked: 0, answered: 0 }
    }

    fn in_hand(&self, tenant: usize) -> u32 {
        self.out.iter().filter(|out| **out == tenant).count() as u32
    }

    fn has_room(&self, tenant: usize) -> bool {
        let cap = self.allowance.tenants[tenant].cap;
        cap.is_none_or(|cap| self.in_hand(tenant) < cap) && self.all_free()
    }

    fn all_free(&self) -> bool {
        self.allowance.total.is_none_or(|all| (self.out.len() as u32) < all)
    }

    fn waits(&self, tenant: usize) -> bool {
        self.waiting.values().any(|(whose, _)| *whose == tenant)
    }

    fn weight(&self, tenant: usize) -> f64 {
        f64::from(self.allowance.tenants[tenant].fair_share.max(1))
    }

    fn is_above(&self, tenant: usize) -> bool {
        self.in_hand(tenant) >= self.allowance.tenants[tenant].fair_share.max(1)
    }

    fn entered(&mut self, tenant: usize) -> Result<(), TestCaseError> {
        prop_assert!(self.has_room(tenant), "tenant {tenant} past its units");
        self.out.push(tenant);
        Ok(())
    }

    /// Checks the order of admissions: tenants below their share come first, and no deficit exceeds one call.
    fn reckon(&mut self, tenant: usize) -> Result<(), TestCaseError> {
        if self.allowance.total.is_none() {
            return Ok(());
        }
        let able: Vec<usize> = (0..TENANTS).filter(|t| self.waits(*t) && self.has_room(*t)).collect();
        let above = self.is_above(tenant);
        prop_assert!(!above || able.iter().all(|t| self.is_above(*t)), "{tenant} before an owner");
        let rivals: Vec<usize> = able.into_iter().filter(|t| self.is_above(*t) == above).collect();
        let behind = &self.behind[usize::from(above)];
        // A tenant ahead of its share takes part until it has worked that off; other tenants that do not wait
        // accrue no deficit.
        let takes_part = |t: &usize| rivals.contains(t) || behind[*t] < 0.0;
        let all: f64 = (0..TENANTS).filter(takes_part).map(|t| self.weight(t)).sum();
        for t in 0..TENANTS {
            let part = self.weight(t) / all;
            let behind = &mut self.behind[usize::from(above)][t];
            match rivals.contains(&t) {
                true => *behind += part - f64::from(u8::from(t == tenant)),
                false => *behind = (*behind + part).min(0.0),
            }
            prop_assert!(*behind <= 1.0 + 1e-6, "{t} is {behind} behind");
        }
        Ok(())
    }

    fn heard(&mut self, verdicts: Verdicts) -> Result<(), TestCaseError> {
        for QueuedVerdict { call: key, verdict } in verdicts {
            let found = self.waiting.get(&key).copied();
            prop_assert!(found.is_some(), "a verdict for one that does not wait");
            let Some((tenant, until)) = found else { continue };
            match verdict {
                Verdict::Admitted => {
                    let first = self.waiting.iter().find(|(_, (whose, _))| *whose == tenant);
                    prop_assert_eq!(first.map(|(first, _)| *first), Some(key), "out of order");
                    prop_assert!(self.now < until, "let in too late");
                    self.reckon(tenant)?;
                    self.entered(tenant)?;
                }
                Verdict::Rejected { retry_after: after } => {
                    let shut = self.allowance.tenants[tenant].cap == Some(0);
                    prop_assert!(self.now >= until || shut, "given up though its turn may come");
                    prop_assert!(after <= 400);
                }
            }
            self.waiting.remove(&key);
            self.answered += 1;
        }
        Ok(())
    }

    fn ask(&mut self, tenant: usize, class: usize) -> Result<(), TestCaseError> {
        self.asked += 1;
        let asked = AdmissionRequest { tenant: Some(tenant), class, deadline: self.now + 1_000 };
        let tenant = tenant.min(TENANTS - 1);
        match self.gate.request(self.now, asked) {
            AdmissionDecision::Decided(Verdict::Admitted) => {
                prop_assert!(!self.waits(tenant), "past a line");
                self.entered(tenant)?;
                self.answered += 1;
            }
            AdmissionDecision::Decided(Verdict::Rejected { retry_after: after }) => {
                prop_assert!(!self.has_room(tenant) && after <= 400);
                self.answered += 1;
            }
            AdmissionDecision::Queued(key) => {
                let kept = if class == 0 { 100 } else { 500 };
                self.waiting.insert(key, (tenant, self.now + 1_000 - kept));
            }
        }
        Ok(())
    }

    fn pass_time(&mut self, span: u64) -> Result<(), TestCaseError> {
        let mut verdicts = Verdicts::new();
        let end = self.now + span;
        while let Some(due) = self.gate.next_due().filter(|due| *due <= end) {
            self.now = due;
            self.gate.tick(due, &mut verdicts);
            self.heard(std::mem::take(&mut verdicts))?;
        }
        self.now = end;
        Ok(())
    }

    fn feed(&mut self, event: Event) -> Result<(), TestCaseError> {
        let mut verdicts = Verdicts::new();
        match event {
            Event::Ask { tenant, class } => self.ask(tenant, class)?,
            Event::End(which) if !self.out.is_empty() => {
                let tenant = self.out.swap_remove(which % self.out.len());
                self.gate.release(self.now, Some(tenant), &mut verdicts);
            }
            Event::Copy(which) if !self.out.is_empty() => {
                let tenant = self.out[which % self.out.len()];
                let room = self.has_room(tenant);
                prop_assert_eq!(self.gate.acquire_extra(self.now, Some(tenant)), room);
                if room {
                    self.out.push(tenant);
                }
            }
            Event::Leave(which) if !self.waiting.is_empty() => {
                let key = *self.waiting.keys().nth(which % self.waiting.len()).expect("one");
                self.waiting.remove(&key);
                self.gate.cancel(key);
                self.answered += 1;
            }
            Event::Allow(allowance, to_come) => {
                self.allowance = allowance;
                self.behind = Default::default();
                self.gate.set_allowance(self.now, self.allowance.clone(), to_come, &mut verdicts);
            }
            Event::Time(span) => self.pass_time(span)?,
            Event::End(_) | Event::Copy(_) | Event::Leave(_) => {}
        }
        self.heard(verdicts)?;
        for (tenant, shown) in self.gate.stats().enumerate() {
            let waiting = self.waiting.values().filter(|(whose, _)| *whose == tenant).count() as u32;
            prop_assert_eq!((shown.in_flight, shown.queued), (self.in_hand(tenant), waiting));
            prop_assert!(waiting == 0 || !self.has_room(tenant), "{} waits beside a free unit", tenant);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_the_gate_keeps_to_its_rules(
        first in allowance(), events in proptest::collection::vec(event(), 1..200),
    ) {
        let mut play = Play::new(first);
        for event in events {
            play.feed(event)?;
        }
        // Every call has got its verdict after its deadline.
        play.feed(Event::Time(10_000))?;
        prop_assert!(play.waiting.is_empty());
        prop_assert_eq!(play.asked, play.answered);
    }

    /// Guards against starvation while all queues stay filled, for shares of any size.
    #[test]
    fn among_those_that_wait_nobody_falls_behind(
        shares in proptest::collection::vec(1_u32..60, TENANTS), ends in proptest::collection::vec(any::<usize>(), 1..400),
    ) {
        let units = |share: &u32| TenantAllowance { fair_share: *share, ..TenantAllowance::default() };
        let all = Some(shares.iter().sum::<u32>() / 2 + 1);
        let mut play = Play::new(Allowance { tenants: shares.iter().map(units).collect(), total: all, expires_at: None });
        for which in ends {
            for tenant in 0..TENANTS {
                while play.gate.stats().nth(tenant).is_some_and(|shown| shown.queued < 2) {
                    play.feed(Event::Ask { tenant, class: 0 })?;
                }
            }
            play.feed(Event::End(which))?;
        }
    }
}

fn one_tenant(cap: u32) -> AdmissionController {
    let allowance = Allowance {
        tenants: vec![TenantAllowance { cap: Some(cap), guaranteed: Some(0), fair_share: 1 }],
        total: None,
        expires_at: None,
    };
    AdmissionController::new(0, AdmissionConfig { tenant_count: 1, ..rules() }, allowance, false)
}

fn ask(gate: &mut AdmissionController, now: u64) -> AdmissionDecision {
    gate.request(now, AdmissionRequest { tenant: None, class: 0, deadline: now + 1_000 })
}

#[test]
fn a_call_whose_turn_cannot_come_in_time_is_turned_away_at_once() {
    let mut gate = one_tenant(1);
    assert_eq!(ask(&mut gate, 0), AdmissionDecision::Decided(Verdict::Admitted));
    // A permit was released every 400 us: the second call in the queue would be admitted after 800 us of its
    // 900 us, the third too late.
    for now in [400, 800, 1_200, 1_600] {
        gate.release(now, None, &mut Verdicts::new());
        assert_eq!(ask(&mut gate, now), AdmissionDecision::Decided(Verdict::Admitted));
    }
    assert!(matches!(ask(&mut gate, 1_600), AdmissionDecision::Queued(_)));
    let refused: Vec<AdmissionDecision> = (0..3).map(|_| ask(&mut gate, 1_600)).collect();
    assert!(
        matches!(refused[2], AdmissionDecision::Decided(Verdict::Rejected { retry_after: 400 })),
        "{refused:?}"
    );
    // No permit was released for almost the whole deadline: the first queued call may still get the next one,
    // but none behind it.
    let mut gate = one_tenant(1);
    assert_eq!(ask(&mut gate, 0), AdmissionDecision::Decided(Verdict::Admitted));
    assert!(matches!(ask(&mut gate, 850), AdmissionDecision::Queued(_)));
    assert!(matches!(ask(&mut gate, 850), AdmissionDecision::Decided(Verdict::Rejected { .. })));
}

#[test]
fn where_nothing_is_to_come_nobody_waits() {
    let none = Allowance {
        tenants: vec![TenantAllowance { cap: Some(0), guaranteed: Some(0), fair_share: 0 }],
        total: None,
        expires_at: None,
    };
    let mut gate = one_tenant(0);
    assert_eq!(ask(&mut gate, 0), AdmissionDecision::Decided(Verdict::Rejected { retry_after: 400 }));
    gate.set_allowance(0, none.clone(), true, &mut Verdicts::new());
    let AdmissionDecision::Queued(key) = ask(&mut gate, 0) else { panic!("it may still come") };
    let mut verdicts = Verdicts::new();
    gate.set_allowance(5, none, false, &mut verdicts);
    assert_eq!(verdicts, [QueuedVerdict { call: key, verdict: Verdict::Rejected { retry_after: 400 } }]);
}

#[test]
fn once_the_allowance_is_over_the_own_part_alone_counts() {
    let units = |cap, own| TenantAllowance { cap: Some(cap), guaranteed: Some(own), fair_share: 1 };
    let allowance = Allowance { tenants: vec![units(3, 1)], total: Some(2), expires_at: Some(100) };
    let mut gate =
        AdmissionController::new(0, AdmissionConfig { tenant_count: 1, ..rules() }, allowance, false);
    let answers = [ask(&mut gate, 0), ask(&mut gate, 0), ask(&mut gate, 0)];
    assert_eq!(answers[..2], [AdmissionDecision::Decided(Verdict::Admitted); 2]);
    assert!(matches!(answers[2], AdmissionDecision::Queued(_)) && gate.next_due() == Some(100));
    let mut verdicts = Verdicts::new();
    gate.release(100, None, &mut verdicts);
    assert!(verdicts.is_empty() && !gate.acquire_extra(100, None), "one is in hand, and one is its own");
    gate.release(100, None, &mut verdicts);
    assert_eq!(verdicts.len(), 1);
    assert_eq!((gate.usage()[0].peak, gate.usage()[0].in_flight), (3, 1));
}
