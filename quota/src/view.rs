//! What operators see of the fleet. The names of the keys in JSON are those of the side port.

use crate::ledger::{ProcessUsage, QuotaLedger};
use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: Micros = 1_000_000;

/// A process that has permits of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitHolderView {
    /// The process.
    pub name: String,
    /// Permits that it may use beside its guaranteed minimum, or has in flight beyond it.
    pub granted: u32,
    /// Calls in flight, by its last report.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
}

/// A tenant, over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// Its name.
    pub name: String,
    /// Maximum number of calls in flight; `None`: it has no cap.
    pub cap: Option<u32>,
    /// Its fair share of what the hosts carry, in calls; `None`: not agreed upon.
    #[serde(rename = "share")]
    pub fair_share: Option<u32>,
    /// Permits that are granted, with the guaranteed minimums of processes that have a slot.
    pub granted: u32,
    /// Calls in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// The part of its fair share that others may use, as it does not.
    pub lent: u32,
    /// Calls that wait for a permit.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Calls that were rejected for want of one, by the last report of each process.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// The processes that have permits of it.
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

/// The fleet, as the leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaView {
    /// By tenant.
    pub tenants: Vec<TenantView>,
    /// Calls that the hosts carry, less the margin; `None`: not agreed upon.
    #[serde(rename = "carried")]
    pub capacity: Option<u32>,
    /// Why less is granted than there is: `learning for 9 s more`, `not heard: n3`, `no seat: n9`, `caps differ at n2`.
    #[serde(rename = "why")]
    pub reasons: Vec<String>,
}

impl QuotaLedger {
    /// What operators see.
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
        let mut add = |what: &str, names: Vec<String>| {
            if !names.is_empty() {
                reasons.push(format!("{what} {}", names.join(" ")));
            }
        };
        add("not heard:", self.silent(now));
        add("no seat:", self.processes_without_slot().into_iter().map(ToString::to_string).collect());
        add("caps differ at", self.with_other_config());
        reasons
    }
}
