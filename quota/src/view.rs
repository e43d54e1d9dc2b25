//! Status of the fleet's quotas for the status pages. The serde names are the JSON keys of these pages.

use crate::ledger::{ProcessUsage, QuotaLedger};
use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// Permits and calls of a tenant at one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHolderView {
    /// Name by which the process takes part in the lease protocol.
    pub name: String,
    /// Number of permits beyond the guaranteed minimum that the process may use, or has in use if that is
    /// more.
    pub granted: u32,
    /// Number of calls of the tenant in flight according to the process's last report.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
}

/// Permits and calls of a tenant at all processes together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// Name of the tenant in the settings; `others`: the default tenant.
    pub name: String,
    /// Cap on the tenant's calls in flight at all processes together; `None`: the tenant has no cap.
    pub cap: Option<u32>,
    /// Portion of the hosts' capacity by the tenant's weight, in calls; `None`: the capacity is unknown or
    /// not configured.
    #[serde(rename = "share")]
    pub fair_share: Option<u32>,
    /// Sum of the guaranteed minimums of all processes that have a slot, and of the permits beyond them
    /// ([`PermitHolderView::granted`]).
    pub granted: u32,
    /// Number of calls in flight according to the last report of each process.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// Permits of the fair share that the tenant does not use, so that other tenants may use them.
    pub lent: u32,
    /// Number of calls queued for a permit, according to the last report of each process.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Number of calls rejected for lack of a permit, summed over the last report of each process.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Processes that may use permits of the tenant beyond the guaranteed minimum, or have calls of the
    /// tenant in flight.
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

/// Permits and calls of all tenants, as the leader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaView {
    /// Status by tenant, in the order of the leader's settings.
    pub tenants: Vec<TenantView>,
    /// Number of calls that all hosts can have in flight, less the margin; `None`: the capacity is unknown or
    /// not configured.
    #[serde(rename = "carried")]
    pub capacity: Option<u32>,
    /// Reasons why fewer permits are granted than the caps allow, such as `learning for 9 s more`, `not
    /// heard: n3`, `no seat: n9` or `caps differ at n2`.
    #[serde(rename = "why")]
    pub reasons: Vec<String>,
}

impl QuotaLedger {
    /// Returns the permits and calls that the leader knows of at `now`.
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
