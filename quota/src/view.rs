//! Status of quotas over the fleet, as shown to operators. The JSON keys are those of the status pages.

use crate::ledger::{ProcessUsage, QuotaLedger};
use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Process that holds permits of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHolderView {
    /// Process name.
    pub name: String,
    /// Permits granted beyond the guaranteed minimum, or in flight beyond it if that is more.
    pub granted: u32,
    /// Calls in flight by the last report.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
}

/// Status of a tenant over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// Tenant name.
    pub name: String,
    /// Maximum number of calls in flight; `None`: no cap.
    pub cap: Option<u32>,
    /// Fair share of the hosts' capacity, in calls; `None`: the capacity is unknown or not configured.
    #[serde(rename = "share")]
    pub fair_share: Option<u32>,
    /// Permits granted, including the guaranteed minimums of processes that have a slot.
    pub granted: u32,
    /// Calls in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// Unused part of the fair share, which other tenants may use.
    pub lent: u32,
    /// Calls queued for a permit.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Calls rejected for lack of a permit, by the last report of each process.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Processes that hold permits of the tenant.
    #[serde(rename = "held_by")]
    pub holders: Vec<PermitHolderView>,
}

impl TenantView {
    fn add(&mut self, process: &ProcessUsage<'_>) {
        let ProcessUsage { guaranteed, granted, usage, .. } = *process;
        self.granted = self.granted.saturating_add(granted).saturating_add(guaranteed);
        self.in_flight = self.in_flight.saturating_add(usage.in_flight);
        self.queued = self.queued.saturating_add(usage.queued);
        self.rejected = self.rejected.saturating_add(usage.rejected);
        if granted > 0 || usage.in_flight > 0 {
            let name = process.process.name.to_string();
            self.holders.push(PermitHolderView { name, granted, in_flight: usage.in_flight });
        }
    }
}

/// Status of the fleet as known to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaView {
    /// Status by tenant, in the order of the settings.
    pub tenants: Vec<TenantView>,
    /// Calls that the hosts carry, less the margin; `None`: unknown or not configured.
    #[serde(rename = "carried")]
    pub capacity: Option<u32>,
    /// Reasons for which less is granted than the caps allow: `learning for 9 s more`, `not heard: n3`, `no
    /// seat: n9`, `caps differ at n2`.
    #[serde(rename = "why")]
    pub reasons: Vec<String>,
}

impl QuotaLedger {
    /// Returns the status of the fleet at `now`.
    pub fn view(&self, now: Micros) -> QuotaView {
        let tenants = (0..self.tenants().len()).map(|tenant| self.tenant_view(now, tenant)).collect();
        QuotaView { tenants, capacity: self.capacity(), reasons: self.reasons(now) }
    }

    fn tenant_view(&self, now: Micros, tenant: usize) -> TenantView {
        let fair_share = self.fair_share(tenant);
        let name = self.tenants()[tenant].name.clone();
        let mut view = TenantView { name, cap: self.cap(tenant), fair_share, ..TenantView::default() };
        for process in self.usages(now, tenant) {
            view.add(&process);
        }
        let used = view.in_flight.saturating_add(view.queued);
        view.lent = fair_share.map_or(0, |fair_share| fair_share.saturating_sub(used));
        view
    }

    fn reasons(&self, now: Micros) -> Vec<String> {
        let mut reasons = Vec::new();
        if let Some(until) = self.learning_until(now) {
            let seconds = (until - now).div_ceil(MICROS_PER_SECOND);
            reasons.push(format!("learning for {seconds} s more"));
        }
        let mut add = |prefix: &str, names: Vec<String>| {
            if !names.is_empty() {
                reasons.push(format!("{prefix} {}", names.join(" ")));
            }
        };
        add("not heard:", self.silent(now));
        add("no seat:", self.processes_without_slot().into_iter().map(ToString::to_string).collect());
        add("caps differ at", self.with_other_config());
        reasons
    }
}
