//! This proxy at the quotas' coordinator: what it has in flight is reported with each renewal, and what it may have goes to
//! the admission controller.

use super::super::hosts::{HostCondition, HostMonitor};
use super::queues::AdmissionQueues;
use crate::http::Engine;
use flaxhead_coordination::{Clock, Coordinator, Participant};
use flaxhead_engine::Health;
use flaxhead_lease::{Ballot, Machine};
use flaxhead_quota::{Allowance, HostCapacity, QuotaApplication, Slot, Usage};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Minimum time between two wishes for an early report: the machine limits the rate further.
const EARLY_REPORT_PAUSE: Duration = Duration::from_millis(20);
/// How often the leader looks for what it has to log for operators.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the admission controller was last given.
#[derive(Clone, Debug, PartialEq)]
struct AppliedQuota {
    allowance: Allowance,
    slot: Slot,
}

/// Passes usage to the machine, and allowances to the queues.
pub(super) struct QuotaParticipant {
    queues: AdmissionQueues,
    known: HostMonitor,
    engine: Engine,
    clock: Cell<Option<Clock>>,
    applied: RefCell<Option<AppliedQuota>>,
    /// Under which ballot quotas were granted, as it was last logged.
    logged_ballot: RefCell<Option<Ballot>>,
    started: Instant,
}

impl QuotaParticipant {
    /// With these queues, for an engine that this monitor observes.
    pub fn new(queues: AdmissionQueues, known: HostMonitor, engine: Engine) -> QuotaParticipant {
        QuotaParticipant {
            queues,
            known,
            engine,
            clock: Cell::new(None),
            applied: RefCell::new(None),
            logged_ballot: RefCell::new(None),
            started: Instant::now(),
        }
    }

    /// Sets what may be in flight, where that has changed.
    fn apply(&self, quota: AppliedQuota) {
        let mut applied = self.applied.borrow_mut();
        if applied.as_ref() == Some(&quota) {
            return;
        }
        if applied.as_ref().is_none_or(|applied| applied.slot != quota.slot) {
            self.log_slot(quota.slot);
        }
        let AppliedQuota { allowance, slot } = quota.clone();
        let clock = self.clock.get();
        let expires_at =
            allowance.expires_at.zip(clock).map(|(at, clock)| self.queues.at(clock.to_instant(at)));
        self.queues.set_allowance(Allowance { expires_at, ..allowance }, slot == Slot::Pending);
        *applied = Some(quota);
    }

    fn log_slot(&self, slot: Slot) {
        let waited = self.started.elapsed().as_millis();
        match slot {
            Slot::Pending => tracing::info!("shares: this proxy waits for a seat: it is not known yet how many others run"),
            Slot::Assigned => tracing::info!("shares: this proxy goes by its own parts, {waited} ms after its start"),
            Slot::Denied => tracing::info!("shares: this proxy has no seat: more run than proxies_most, and capped tenants get nothing of their own here"),
        }
    }
}

impl Participant<QuotaApplication> for QuotaParticipant {
    fn facts(&self) -> Vec<HostCapacity> {
        let capacity = |HostCondition { endpoint, failing, warmth, weight }: HostCondition<'_>| {
            HostCapacity { ready: endpoint.health == Health::Ready, failing, warmth, size: weight }
        };
        self.known.conditions(&self.engine, capacity)
    }

    fn before_step(&self, application: &mut QuotaApplication) {
        let now = self.clock.get().map_or(0, Clock::now);
        let totals = self.known.take_attempt_totals();
        let usage = Usage {
            tenants: self.queues.usage(),
            attempts: totals.ended,
            rejected_by_hosts: totals.rejected,
        };
        self.queues.usage_reported();
        application.set_usage(now, usage);
        // What was granted takes effect before the next report confirms it.
        let allowance = application.allowance(now);
        self.apply(AppliedQuota { allowance, slot: application.slot() });
    }

    fn after_step(&self, machine: &Machine<QuotaApplication>, clock: Clock) {
        self.clock.set(Some(clock));
        let ballot = machine.application().grant_version().map(|version| &version.ballot);
        if self.logged_ballot.borrow().as_ref() == ballot {
            return;
        }
        self.logged_ballot.replace(ballot.cloned());
        match ballot {
            Some(ballot) => tracing::info!("shares: granted by {}, as {ballot}", ballot.name),
            None => tracing::info!("shares: granted by nobody"),
        }
    }

    fn leadership_changed(&self, ballot: Option<&Ballot>) {
        match ballot {
            Some(ballot) => tracing::info!("shares: this proxy grants, as {ballot}"),
            None => tracing::info!("shares: this proxy grants no longer"),
        }
    }

    fn event(&self, event: String) {
        tracing::info!("shares: {event}");
    }
}

/// Has usage reported early where queues grow, for good.
pub(super) async fn report_early(queues: &AdmissionQueues, coordinator: &Coordinator<QuotaApplication>) {
    loop {
        queues.grown().await;
        coordinator.wake();
        sleep(EARLY_REPORT_PAUSE).await;
    }
}

/// Logs at the leader why it grants less than there is, as that changes, for good.
pub(super) async fn log_reasons(coordinator: &Coordinator<QuotaApplication>) {
    let mut logged: Vec<String> = Vec::new();
    loop {
        sleep(LOG_INTERVAL).await;
        let view =
            coordinator.with_machine(|machine, now| machine.leader_data(now).map(|ledger| ledger.view(now)));
        let mut reasons = view.map(|view| view.reasons).unwrap_or_default();
        // That ends by itself.
        reasons.retain(|reason| !reason.starts_with("learning"));
        for new in reasons.iter().filter(|reason| !logged.contains(reason)) {
            tracing::info!("shares: {new}");
        }
        for over in logged.iter().filter(|reason| !reasons.contains(reason)) {
            tracing::info!("shares: over: {over}");
        }
        logged = reasons;
    }
}
