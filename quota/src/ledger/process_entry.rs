//! The leader's record of one process: its last report, and the grants that the process may still use.

use crate::registry::TenantRegistry;
use crate::report::{GrantVersion, QuotaReport, ReportedConfig, Slot, TenantUsage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{Ballot, Micros};
use std::collections::VecDeque;

/// Number of grants in [`ProcessEntry::unconfirmed`] from which on the leader extends the last grant instead
/// of issuing a new one.
const MAX_UNCONFIRMED_COUNT: usize = 8;
/// Number of tenants above which a reported configuration is ignored.
const MAX_TENANT_COUNT: usize = 256;

/// Grant that the leader has sent to the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuedGrant {
    seq: u64,
    /// Permits beyond the guaranteed minimums, by tenant.
    permits: Vec<u32>,
    /// Latest time, by the leader's clock, at which the grant expires at the process, whose clock may be
    /// slow.
    expires_at: Micros,
}

/// Sort key of one process's reports, by which the leader recognizes outdated ones: the time of sending, then
/// the grant that the process had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ReportVersion {
    /// Time at which the process sent the report, by the process's clock.
    pub sent_at: Micros,
    /// Newest grant that the process had received when it sent the report.
    pub grant_version: Option<GrantVersion>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ProcessEntry {
    pub last_report: Option<ReportVersion>,
    /// Time at which the last report arrived, by the leader's clock; `None`: no report has arrived.
    pub last_report_at: Option<Micros>,
    /// Whether the process has reported its permits to this leader. From then on it ignores grants of earlier
    /// leaders.
    pub has_reported_permits: bool,
    /// Highest [`GrantVersion::seq`] of this leader's grants that a report has confirmed.
    confirmed_seq: u64,
    /// Permits, by tenant, of the grant that the process used according to its last report.
    reported_grant: Vec<u32>,
    /// Latest time, by the leader's clock, at which the grant of `reported_grant` expires.
    reported_grant_expires_at: Micros,
    in_flight: Vec<u32>,
    /// Grants of this leader that the process may use, the oldest first: the newest grant that a report has
    /// confirmed, and all grants that were issued after it.
    unconfirmed: VecDeque<IssuedGrant>,
    pub reported_slot: Slot,
    /// Whether the last grant let the process use its guaranteed minimums.
    pub has_slot: bool,
    /// Demand for each tenant, in permits, by the last report.
    demand: Vec<u32>,
    /// Demand by the report before the last one, if both arrived within [`QuotaTiming::coalescing_window`]
    /// and so count as one report; otherwise empty.
    coalesced_demand: Vec<u32>,
    pub usage: Vec<TenantUsage>,
    /// Permits beyond the guaranteed minimums that the leader's allocation gives to the process, by tenant in
    /// the leader's order.
    pub target: Vec<u32>,
    /// Part of each tenant's fair share that falls to the process, in permits, in the leader's order.
    pub fair_shares: Vec<u32>,
    /// Configuration of the process; `None`: the same as the leader's.
    pub config: Option<ReportedConfig>,
    /// For each tenant of the process, in the process's order, its index in the leader's registry, or `None`
    /// if the leader does not have the tenant. `None` instead of the list: both configurations are the same.
    tenant_indices: Option<Vec<Option<usize>>>,
    tenant_count: usize,
}

impl ProcessEntry {
    /// Finds out in which order the process reports its tenants. Returns `false` if the process's
    /// configuration differs from the leader's and has not been reported yet.
    pub fn identify_config(&mut self, registry: &TenantRegistry, report: &QuotaReport) -> bool {
        self.tenant_count = registry.tenants.len();
        if report.digest == registry.digest {
            self.tenant_indices = None;
            return true;
        }
        let config = report.config.as_ref().filter(|config| config.tenants.len() <= MAX_TENANT_COUNT);
        let Some(config) = config else { return self.config.is_some() };
        let index = |name: &str| registry.tenants.iter().position(|tenant| tenant.name == name);
        self.tenant_indices = Some(config.tenants.iter().map(|tenant| index(&tenant.name)).collect());
        true
    }

    /// Stores the configuration of the process if it differs from the leader's. Returns whether the stored
    /// configuration has changed.
    pub fn store_config(&mut self, report: &QuotaReport) -> bool {
        let config = match self.tenant_indices {
            None => None,
            Some(_) => report.config.clone().or_else(|| self.config.clone()),
        };
        let has_changed = self.config != config;
        self.config = config;
        has_changed
    }

    fn in_leader_order<T: Copy + Default>(&self, process_values: &[T]) -> Vec<T> {
        let mut leader_values = vec![T::default(); self.tenant_count];
        for (index, value) in process_values.iter().enumerate() {
            let leader_index = match &self.tenant_indices {
                None => Some(index),
                Some(indices) => indices.get(index).copied().flatten(),
            };
            if let Some(leader_value) = leader_index.and_then(|index| leader_values.get_mut(index)) {
                *leader_value = *value;
            }
        }
        leader_values
    }

    /// Reorders values by tenant from the order of the leader's registry to that of the process.
    pub fn in_process_order(&self, leader_values: &[u32]) -> Vec<u32> {
        let Some(indices) = &self.tenant_indices else { return leader_values.to_vec() };
        let value =
            |index: &Option<usize>| index.and_then(|index| leader_values.get(index)).copied().unwrap_or(0);
        indices.iter().map(value).collect()
    }

    /// Records a report. Its permits are only used if the process follows this leader, whose ballot is
    /// `ballot`, and if `is_config_known`, that is, the order of the process's tenants is known.
    pub fn record(
        &mut self,
        now: Micros,
        ballot: &Ballot,
        timing: &QuotaTiming,
        report: QuotaReport,
        is_config_known: bool,
    ) {
        let is_coalesced = self.last_report_at.is_some_and(|at| now < at + timing.coalescing_window());
        self.last_report_at = Some(now);
        self.reported_slot = report.slot;
        self.usage = self.in_leader_order(&report.usage.tenants);
        self.in_flight = self.usage.iter().map(|usage| usage.in_flight).collect();
        let demand = self.usage.iter().map(demand_of).collect();
        let previous = std::mem::replace(&mut self.demand, demand);
        self.coalesced_demand = if is_coalesced { previous } else { Vec::new() };
        let version = report.grant_version.filter(|version| version.ballot == *ballot && is_config_known);
        let Some(version) = version else { return };
        self.has_reported_permits = true;
        // The process ignores grants older than the one that it has reported, so their permits need no longer
        // be counted.
        self.confirmed_seq = self.confirmed_seq.max(version.seq);
        self.unconfirmed.retain(|grant| grant.seq >= self.confirmed_seq);
        self.reported_grant = self.in_leader_order(&report.granted);
        self.reported_grant_expires_at =
            now + QuotaTiming::with_max_drift(report.grant_left.min(timing.lease));
    }

    /// Returns the demand of the process for a tenant, in permits: that of the last report, or the higher one
    /// of the last two reports if they arrived less than [`QuotaTiming::coalescing_window`] apart. Reports
    /// carry the peak since the previous report, so that a short drop in demand moves no permits.
    pub fn demand(&self, tenant: usize) -> u32 {
        let demands = [&self.demand, &self.coalesced_demand];
        demands.iter().filter_map(|demand| demand.get(tenant)).copied().max().unwrap_or(0)
    }

    /// Returns the permits beyond the guaranteed minimums that the process may use now: those of the last
    /// grant of this leader, or the reported ones if this leader has issued no grant to the process.
    pub fn current_permits(&self, now: Micros) -> Vec<u32> {
        if let Some(last) = self.unconfirmed.back() {
            return last.permits.clone();
        }
        if now < self.reported_grant_expires_at {
            self.reported_grant.clone()
        } else {
            vec![0; self.tenant_count]
        }
    }

    /// Returns how many permits of a tenant the process may use beyond `guaranteed`, its guaranteed minimum,
    /// or has in use beyond it if that is more. The result is the maximum of the permits in issued grants
    /// that the process may still use, of those in the reported grant, and of the reported calls in flight
    /// beyond the minimum.
    pub fn max_permits(&self, now: Micros, tenant: usize, guaranteed: u32, timing: &QuotaTiming) -> u32 {
        // A call admitted just before its permit expired can stay in flight for the maximum call duration.
        let max_call_duration = QuotaTiming::with_max_drift(timing.max_call_duration);
        let counts_until = |moment: Micros| now < moment + max_call_duration;
        let tenant_permits = |permits: &[u32]| permits.get(tenant).copied().unwrap_or(0);
        let issued = self.unconfirmed.iter().filter(|grant| counts_until(grant.expires_at));
        let issued = issued.map(|grant| tenant_permits(&grant.permits)).max().unwrap_or(0);
        let reported = if counts_until(self.reported_grant_expires_at) {
            tenant_permits(&self.reported_grant)
        } else {
            0
        };
        let in_flight = match self.last_report_at {
            Some(at) if counts_until(at) => tenant_permits(&self.in_flight).saturating_sub(guaranteed),
            _ => 0,
        };
        issued.max(reported).max(in_flight)
    }

    /// Records a grant of `permits`, and returns its [`GrantVersion::seq`]. If the last grant has the same
    /// permits, or too many grants are unconfirmed, extends the last grant instead.
    pub fn issue(&mut self, now: Micros, timing: &QuotaTiming, permits: Vec<u32>) -> u64 {
        let expires_at = now + QuotaTiming::with_max_drift(timing.lease);
        let is_full = self.unconfirmed.len() >= MAX_UNCONFIRMED_COUNT;
        let last = self.unconfirmed.back_mut().filter(|last| is_full || last.permits == permits);
        if let Some(last) = last {
            last.expires_at = expires_at;
            return last.seq;
        }
        let last_seq = self.unconfirmed.back().map_or(0, |last| last.seq);
        let seq = last_seq.max(self.confirmed_seq) + 1;
        self.unconfirmed.push_back(IssuedGrant { seq, permits, expires_at });
        seq
    }

    /// Returns the permits of the last grant of this leader; empty: this leader has issued no grant to the
    /// process.
    pub fn issued(&self) -> &[u32] {
        self.unconfirmed.back().map_or(&[], |grant| &grant.permits)
    }
}

/// Returns the demand that a report shows, in permits: the peak of calls, plus the rejected ones. Rejected
/// calls count as at most the peak and one, so that one report can at most double the demand and add one.
fn demand_of(usage: &TenantUsage) -> u32 {
    let peak = usage.peak.max(usage.in_flight.saturating_add(usage.queued));
    peak.saturating_add(usage.rejected.min(peak.saturating_add(1)))
}
