//! What operators see of the tenants at this proxy. The names of the keys in JSON are those of the side port.

use super::queues::{AdmissionQueues, QueuesView};
use flaxhead_coordination::Coordinator;
use flaxhead_quota::admission::QueueStats;
use flaxhead_quota::{QuotaApplication, QuotaView, Slot, Tenant, TenantRegistry, TenantView};
use html_escape::encode_safe;
use serde::Serialize;
use std::fmt::Write;

/// A tenant at this proxy. Permits are calls in flight, a hedged request being one more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TenantStatus {
    /// Its name; `others`: calls of no tenant, or of an unknown one.
    pub tenant: String,
    /// Permits that all proxies together may have of it; `None`: it has no cap.
    pub cap: Option<u32>,
    /// Those of them that this proxy is guaranteed.
    #[serde(rename = "own")]
    pub guaranteed: Option<u32>,
    /// Those of them that this proxy was granted beside that.
    pub granted: Option<u32>,
    /// Its fair share here of what the hosts can carry; `None`: not agreed upon.
    #[serde(rename = "share")]
    pub fair_share: Option<u32>,
    /// Permits in use here.
    #[serde(rename = "in_hand")]
    pub in_flight: u32,
    /// The part of its fair share that others use now.
    pub lent: u32,
    /// Calls that wait here.
    #[serde(rename = "waiting")]
    pub queued: u32,
    /// Calls admitted since the start.
    #[serde(rename = "entered")]
    pub admitted: u64,
    /// Calls rejected since the start.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Hedged requests that were denied a permit since the start.
    #[serde(rename = "denied")]
    pub denied_hedges: u64,
    /// Why calls wait or are rejected now; empty: they are not.
    #[serde(rename = "why")]
    pub reason: String,
}

/// All tenants at this proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuotaStatus {
    /// In the order of the settings, calls of no tenant last.
    pub tenants: Vec<TenantStatus>,
    /// Permits of all tenants together; `None`: not agreed upon, and only caps bind.
    #[serde(rename = "all")]
    pub total: Option<u32>,
    /// Whether this proxy uses its guaranteed minimums.
    #[serde(rename = "seat")]
    pub slot: Slot,
    /// Who grants, as far as is known.
    pub granted_by: Option<String>,
    /// At the proxy that grants: the whole fleet.
    pub fleet: Option<QuotaView>,
}

/// What the rows of all tenants have in common.
struct ProxyState {
    slot: Slot,
    total: Option<u32>,
    /// All permits that there are for all tenants together are in use.
    is_full: bool,
}

impl QuotaStatus {
    pub(super) fn new(
        registry: &TenantRegistry,
        queues: &AdmissionQueues,
        coordinator: Option<&Coordinator<QuotaApplication>>,
    ) -> QuotaStatus {
        let mut status = QuotaStatus {
            tenants: Vec::new(),
            total: None,
            slot: Slot::Assigned,
            granted_by: None,
            fleet: None,
        };
        if let Some(coordinator) = coordinator {
            coordinator.with_machine(|machine, now| {
                status.slot = machine.application().slot();
                status.granted_by = machine.status(now).leader;
                status.fleet = machine.leader_data(now).map(|ledger| ledger.view(now));
            });
        }
        let (view, now) = (queues.view(), queues.now());
        status.total = view.allowance.total(now);
        let in_flight: u32 = view.tenants.iter().map(|tenant| tenant.in_flight).sum();
        let is_full = status.total.is_some_and(|total| in_flight >= total);
        let state = ProxyState { slot: status.slot, total: status.total, is_full };
        let tenants = registry.tenants.iter().enumerate();
        status.tenants = tenants
            .zip(&view.tenants)
            .map(|((place, tenant), stats)| {
                let cap = view.allowance.cap(now, place);
                TenantStatus::new(tenant, *stats, place, cap, &view, &state)
            })
            .collect();
        status
    }

    /// The table of the status page.
    pub fn html(&self) -> String {
        let heads =
            ["tenant", "cap", "own", "granted", "share", "in hand", "lent", "waiting", "refused", "why"];
        let mut page = table_head(&heads);
        for row in &self.tenants {
            let (tenant, reason) = (encode_safe(&row.tenant), encode_safe(&row.reason));
            let TenantStatus { in_flight, lent, queued, rejected, .. } = row;
            let [cap, guaranteed, granted, fair_share] =
                [row.cap, row.guaranteed, row.granted, row.fair_share].map(cell);
            // Writing to a string cannot fail.
            let _ = writeln!(
                page,
                "<tr><td>{tenant}</td><td>{cap}</td><td>{guaranteed}</td><td>{granted}</td><td>{fair_share}</td><td>{in_flight}</td>\
                 <td>{lent}</td><td>{queued}</td><td>{rejected}</td><td>{reason}</td></tr>"
            );
        }
        page += "</table>\n";
        if let Some(by) = &self.granted_by {
            let _ = writeln!(page, "<p>Granted by {}</p>", encode_safe(by));
        }
        page + &self.fleet.as_ref().map(fleet_html).unwrap_or_default()
    }
}

impl TenantStatus {
    fn new(
        tenant: &Tenant,
        stats: QueueStats,
        place: usize,
        cap: Option<u32>,
        view: &QueuesView,
        state: &ProxyState,
    ) -> TenantStatus {
        let allowance = view.allowance.tenants.get(place).copied().unwrap_or_default();
        let QueueStats { in_flight, queued, admitted, rejected, denied_hedges } = stats;
        let (guaranteed, fair_share) = (allowance.guaranteed, allowance.fair_share);
        TenantStatus {
            tenant: tenant.name.clone(),
            cap: tenant.cap,
            guaranteed,
            granted: cap.zip(guaranteed).map(|(cap, guaranteed)| cap.saturating_sub(guaranteed)),
            fair_share: state.total.map(|_| fair_share),
            in_flight,
            // Others have it only where all permits are in use.
            lent: if state.is_full { fair_share.saturating_sub(in_flight) } else { 0 },
            queued,
            admitted,
            rejected,
            denied_hedges,
            reason: reason(cap, in_flight, state),
        }
    }
}

/// Why calls of a tenant wait or are rejected now; empty: they are not.
fn reason(cap: Option<u32>, in_flight: u32, state: &ProxyState) -> String {
    match cap {
        Some(0) if state.slot == Slot::Pending => "it waits for a seat".to_owned(),
        Some(0) => "no seat: more proxies run than proxies_most".to_owned(),
        Some(cap) if in_flight >= cap => format!("its cap leaves it {cap} here"),
        _ if state.is_full => "the hosts can carry no more".to_owned(),
        _ => String::new(),
    }
}

fn table_head(heads: &[&str]) -> String {
    let heads: String = heads.iter().map(|head| format!("<th>{head}</th>")).collect();
    format!("<table><tr>{heads}</tr>\n")
}

fn cell(number: Option<u32>) -> String {
    number.map_or_else(|| "-".to_owned(), |number| number.to_string())
}

/// The whole fleet, as the proxy that grants knows it.
fn fleet_html(fleet: &QuotaView) -> String {
    let heads = ["tenant", "cap", "share", "granted", "in hand", "lent", "waiting", "refused", "held by"];
    let mut page = format!("<h2>All proxies</h2>\n{}", table_head(&heads));
    for row in &fleet.tenants {
        let holders: Vec<String> =
            row.holders.iter().map(|holder| format!("{} {}", holder.name, holder.granted)).collect();
        let (name, holders) = (encode_safe(&row.name), holders.join(", "));
        let holders = encode_safe(&holders);
        let [cap, fair_share] = [row.cap, row.fair_share].map(cell);
        let TenantView { granted, in_flight, lent, queued, rejected, .. } = row;
        let _ = writeln!(
            page,
            "<tr><td>{name}</td><td>{cap}</td><td>{fair_share}</td><td>{granted}</td><td>{in_flight}</td><td>{lent}</td><td>{queued}</td>\
             <td>{rejected}</td><td>{holders}</td></tr>"
        );
    }
    page += "</table>\n";
    for reason in &fleet.reasons {
        let _ = writeln!(page, "<p>{}</p>", encode_safe(reason));
    }
    page
}

#[cfg(test)]
mod tests;
