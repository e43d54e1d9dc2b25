//! The leader's record of one process.

use crate::registry::TenantRegistry;
use crate::report::{GrantVersion, QuotaReport, ReportedConfig, Slot, TenantUsage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{Ballot, Micros};
use std::collections::VecDeque;

/// Maximum number of unconfirmed grants. At this number, the last grant is repeated until the process
/// confirms one.
const MAX_UNCONFIRMED_COUNT: usize = 8;
/// Maximum number of tenants in a reported configuration.
const MAX_TENANT_COUNT: usize = 256;

/// Grant that has been sent, and whose permits may be in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuedGrant {
    seq: u64,
    permits: Vec<u32>,
    /// Time by which the grant has expired even by a slow clock of the process, by the leader's clock.
    expires_at: Micros,
}

/// Position of a report among the reports of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ReportVersion {
    /// Time at which the report was sent, by the process's clock.
    pub sent_at: Micros,
    /// Newest grant that the process had received.
    pub grant_version: Option<GrantVersion>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ProcessEntry {
    pub last_report: Option<ReportVersion>,
    /// Time at which the last report arrived.
    pub last_report_at: Option<Micros>,
    /// Whether the process has reported its permits after it stopped applying grants of earlier leaders.
    pub has_reported_permits: bool,
    /// Highest count of this leader's grants that the process has reported.
    confirmed_seq: u64,
    /// Permits reported as granted, and the latest time at which they expire.
    reported_grant: Vec<u32>,
    reported_grant_expires_at: Micros,
    in_flight: Vec<u32>,
    unconfirmed: VecDeque<IssuedGrant>,
    pub reported_slot: Slot,
    /// Whether the last grant assigned a slot.
    pub has_slot: bool,
    /// Demand by tenant of the last report, and of the one before if both arrived within one coalescing
    /// window.
    demand: Vec<u32>,
    coalesced_demand: Vec<u32>,
    pub usage: Vec<TenantUsage>,
    /// Target for permits beyond the guaranteed minimums, and fair shares, by tenant.
    pub target: Vec<u32>,
    pub fair_shares: Vec<u32>,
    /// Configuration of the process if it differs from the leader's.
    pub config: Option<ReportedConfig>,
    /// For a differing configuration: index of each of its tenants in the leader's registry, if the leader
    /// has the tenant.
    tenant_indices: Option<Vec<Option<usize>>>,
    tenant_count: usize,
}

impl ProcessEntry {
    /// Compares the process's configuration with the leader's. Returns whether the order of tenants in its
    /// reports is known.
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

    /// Stores the process's configuration. Returns whether it has changed.
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

    /// Reorders values by tenant from the leader's order to the process's.
    pub fn in_process_order(&self, leader_values: &[u32]) -> Vec<u32> {
        let Some(indices) = &self.tenant_indices else { return leader_values.to_vec() };
        let value =
            |index: &Option<usize>| index.and_then(|index| leader_values.get(index)).copied().unwrap_or(0);
        indices.iter().map(value).collect()
    }

    /// Records a report. `is_config_known` tells that the order of its tenants is known.
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
        // A process that has applied a grant ignores all earlier ones, so those need no tracking.
        self.confirmed_seq = self.confirmed_seq.max(version.seq);
        self.unconfirmed.retain(|grant| grant.seq >= self.confirmed_seq);
        self.reported_grant = self.in_leader_order(&report.granted);
        self.reported_grant_expires_at =
            now + QuotaTiming::with_max_drift(report.grant_left.min(timing.lease));
    }

    /// Permits of a tenant that the process needs. Reports carry the peak since the previous one, so a short
    /// lull between reports moves no permits.
    pub fn demand(&self, tenant: usize) -> u32 {
        let demands = [&self.demand, &self.coalesced_demand];
        demands.iter().filter_map(|demand| demand.get(tenant)).copied().max().unwrap_or(0)
    }

    /// Permits that the process may use now: those of the last unconfirmed grant, or else the reported ones.
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

    /// Maximum number of permits of a tenant that the process may use or has in flight beyond its
    /// `guaranteed` minimum.
    pub fn max_permits(&self, now: Micros, tenant: usize, guaranteed: u32, timing: &QuotaTiming) -> u32 {
        // A call admitted just before its permit expired can be in flight for up to the maximum call duration
        // after that.
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

    /// Records a grant and returns its count. Repeats the last grant if the permits are the same, or if too
    /// many grants are unconfirmed.
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

    /// Permits of the last grant.
    pub fn issued(&self) -> &[u32] {
        self.unconfirmed.back().map_or(&[], |grant| &grant.permits)
    }
}

/// Demand by a report: the peak plus the rejected calls. Rejections add at most the peak and one, so that
/// retries of rejected calls cannot inflate the demand quickly.
fn demand_of(usage: &TenantUsage) -> u32 {
    let peak = usage.peak.max(usage.in_flight.saturating_add(usage.queued));
    peak.saturating_add(usage.rejected.min(peak.saturating_add(1)))
}
