//! What the leader knows of one process.

use crate::registry::TenantRegistry;
use crate::report::{GrantVersion, QuotaReport, ReportedConfig, Slot, TenantUsage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{Ballot, Micros};
use std::collections::VecDeque;

/// Maximum number of grants that were sent and not confirmed; until one of them is, the last is sent again.
const MAX_UNCONFIRMED: usize = 8;
/// Maximum number of tenants that another configuration may have.
const MAX_TENANTS: usize = 256;

/// Permits that were granted, and may be used.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuedGrant {
    seq: u64,
    permits: Vec<u32>,
    /// When it has expired, by the leader's clock, whatever the process's says.
    expires_at: Micros,
}

/// Which report of a process is the newest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ReportVersion {
    /// When it was sent, by the process's clock.
    pub sent_at: Micros,
    /// The newest grant that the process had heard of.
    pub grant_version: Option<GrantVersion>,
}

/// What the leader knows of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ProcessEntry {
    pub last_report: Option<ReportVersion>,
    /// When the last report came.
    pub last_report_at: Option<Micros>,
    /// It has reported what it has, as one that takes nothing of an earlier leader any more.
    pub is_settled: bool,
    /// It has taken this grant of ours, or a later one.
    confirmed_seq: u64,
    /// What it reported that it was granted, and when that has expired at the latest.
    reported_grant: Vec<u32>,
    reported_grant_until: Micros,
    in_flight: Vec<u32>,
    unconfirmed: VecDeque<IssuedGrant>,
    pub reported_slot: Slot,
    /// Whether it was granted a slot.
    pub has_slot: bool,
    /// By tenant: permits that were wanted by its last report, and by the one before where that came just before it.
    demand: Vec<u32>,
    coalesced_demand: Vec<u32>,
    pub usage: Vec<TenantUsage>,
    /// What it is to be granted beside its guaranteed minimums, and its fair shares, by tenant.
    pub target: Vec<u32>,
    pub fair_shares: Vec<u32>,
    /// Its configuration, where that is not the leader's.
    pub config: Option<ReportedConfig>,
    /// Where its configuration differs: the place of each of its tenants among the leader's.
    tenant_places: Option<Vec<Option<usize>>>,
    tenants: usize,
}

impl ProcessEntry {
    /// Learns which configuration it has. Returns whether that is known.
    pub fn learn_config(&mut self, registry: &TenantRegistry, report: &QuotaReport) -> bool {
        self.tenants = registry.tenants.len();
        if report.digest == registry.digest {
            self.tenant_places = None;
            return true;
        }
        let config = report.config.as_ref().filter(|config| config.tenants.len() <= MAX_TENANTS);
        let Some(config) = config else { return self.config.is_some() };
        let place = |name: &str| registry.tenants.iter().position(|tenant| tenant.name == name);
        self.tenant_places = Some(config.tenants.iter().map(|tenant| place(&tenant.name)).collect());
        true
    }

    /// Stores its configuration. Returns whether that has changed.
    pub fn store_config(&mut self, report: &QuotaReport) -> bool {
        let config = match self.tenant_places {
            None => None,
            Some(_) => report.config.clone().or_else(|| self.config.clone()),
        };
        let has_changed = self.config != config;
        self.config = config;
        has_changed
    }

    fn in_leader_order<T: Copy + Default>(&self, theirs: &[T]) -> Vec<T> {
        let mut ours = vec![T::default(); self.tenants];
        for (place, value) in theirs.iter().enumerate() {
            let own_place = match &self.tenant_places {
                None => Some(place),
                Some(places) => places.get(place).copied().flatten(),
            };
            if let Some(own) = own_place.and_then(|place| ours.get_mut(place)) {
                *own = *value;
            }
        }
        ours
    }

    /// Values by tenant, in the order of the process's configuration.
    pub fn in_process_order(&self, ours: &[u32]) -> Vec<u32> {
        let Some(places) = &self.tenant_places else { return ours.to_vec() };
        let value = |place: &Option<usize>| place.and_then(|place| ours.get(place)).copied().unwrap_or(0);
        places.iter().map(value).collect()
    }

    /// Takes a report. `is_config_known`: its tenants can be told apart.
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
        self.is_settled = true;
        // A process that has taken a grant takes none before it.
        self.confirmed_seq = self.confirmed_seq.max(version.seq);
        self.unconfirmed.retain(|grant| grant.seq >= self.confirmed_seq);
        self.reported_grant = self.in_leader_order(&report.granted);
        self.reported_grant_until = now + QuotaTiming::with_max_drift(report.grant_left.min(timing.lease));
    }

    /// Permits of a tenant that it wants. Each report tells the peak since the one before, so that a lull between two looks
    /// moves nothing.
    pub fn demand(&self, tenant: usize) -> u32 {
        let demands = [&self.demand, &self.coalesced_demand];
        demands.iter().filter_map(|demand| demand.get(tenant)).copied().max().unwrap_or(0)
    }

    /// Permits that it may use now: those that it reported, or was granted since.
    pub fn current_permits(&self, now: Micros) -> Vec<u32> {
        if let Some(last) = self.unconfirmed.back() {
            return last.permits.clone();
        }
        if now < self.reported_grant_until {
            self.reported_grant.clone()
        } else {
            vec![0; self.tenants]
        }
    }

    /// The most permits of a tenant that it may use or has in flight, beside its `guaranteed` minimum.
    pub fn max_permits(&self, now: Micros, tenant: usize, guaranteed: u32, timing: &QuotaTiming) -> u32 {
        // A call that was admitted just before its permit expired is still in flight after that.
        let max_call_duration = QuotaTiming::with_max_drift(timing.max_call_duration);
        let counts_until = |moment: Micros| now < moment + max_call_duration;
        let of = |permits: &[u32]| permits.get(tenant).copied().unwrap_or(0);
        let issued = self.unconfirmed.iter().filter(|grant| counts_until(grant.expires_at));
        let issued = issued.map(|grant| of(&grant.permits)).max().unwrap_or(0);
        let reported = if counts_until(self.reported_grant_until) { of(&self.reported_grant) } else { 0 };
        let in_flight = match self.last_report_at {
            Some(at) if counts_until(at) => of(&self.in_flight).saturating_sub(guaranteed),
            _ => 0,
        };
        issued.max(reported).max(in_flight)
    }

    /// Grants permits. Returns the count of that grant.
    pub fn issue(&mut self, now: Micros, timing: &QuotaTiming, permits: Vec<u32>) -> u64 {
        let expires_at = now + QuotaTiming::with_max_drift(timing.lease);
        let is_full = self.unconfirmed.len() >= MAX_UNCONFIRMED;
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

    /// The permits of the last grant.
    pub fn issued(&self) -> &[u32] {
        self.unconfirmed.back().map_or(&[], |grant| &grant.permits)
    }
}

/// Permits that a report wants: the peak, and what was rejected, which counts no more than one above that, so that one
/// report at most doubles the demand, and adds one.
fn demand_of(usage: &TenantUsage) -> u32 {
    let peak = usage.peak.max(usage.in_flight.saturating_add(usage.queued));
    peak.saturating_add(usage.rejected.min(peak.saturating_add(1)))
}
