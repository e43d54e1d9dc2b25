//! The grants that a process has received, and the limits on its calls that follow from them.

use crate::allowance::{Allowance, TenantAllowance};
use crate::registry::{Tenant, TenantRegistry};
use crate::report::{GrantVersion, QuotaGrant, QuotaReport, ReportedConfig, Slot, Usage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{Ballot, Micros};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;
/// Number of reports per lease that a process sends until a leader has sent a report interval.
const INITIAL_REPORTS_PER_LEASE: Micros = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CurrentGrant {
    permits: Vec<u32>,
    total: Option<u32>,
    fair_shares: Vec<u32>,
    expires_at: Micros,
}

/// Slot, grant and lowered minimums of one process. All times are by the process's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalQuota {
    registry: TenantRegistry,
    timing: QuotaTiming,
    started_at: Micros,
    slot: Slot,
    /// Version of the newest grant, or of the newest leader without a grant, that the process knows. Grants
    /// with lower versions are ignored.
    grant_version: Option<GrantVersion>,
    grant: Option<CurrentGrant>,
    /// Guaranteed minimums that replace the configured ones, by tenant index ([`QuotaGrant::lowered`]).
    lowered: BTreeMap<usize, u32>,
    /// Digest of the leader's configuration; `None`: no grant received.
    leader_digest: Option<u64>,
    last_report_at: Micros,
    report_interval: Micros,
    /// Whether the last report showed neither queued nor rejected calls.
    was_satisfied: bool,
}

impl LocalQuota {
    /// Creates the state of a process that has just started and has no grant.
    pub fn new(now: Micros, registry: TenantRegistry, timing: QuotaTiming) -> LocalQuota {
        LocalQuota {
            report_interval: timing.lease / INITIAL_REPORTS_PER_LEASE,
            registry,
            timing,
            started_at: now,
            slot: Slot::Pending,
            grant_version: None,
            grant: None,
            lowered: BTreeMap::new(),
            leader_digest: None,
            last_report_at: now,
            was_satisfied: true,
        }
    }

    /// Returns whether the process has a slot, and so may use its guaranteed minimums.
    pub fn slot(&self) -> Slot {
        self.slot
    }

    /// Returns the version of the newest grant or of the newest leader that the process knows; `None`: it
    /// knows no leader.
    pub fn grant_version(&self) -> Option<&GrantVersion> {
        self.grant_version.as_ref()
    }

    /// Returns the configuration of the process.
    pub fn registry(&self) -> &TenantRegistry {
        &self.registry
    }

    /// Builds the report that is sent with a lease renewal at `now`.
    pub fn report(&mut self, now: Micros, usage: Usage) -> QuotaReport {
        let grant = self.grant.as_ref().filter(|grant| now < grant.expires_at);
        let is_config_known = self.leader_digest == Some(self.registry.digest);
        let config =
            ReportedConfig { tenants: self.registry.tenants.clone(), max_proxies: self.registry.max_proxies };
        self.last_report_at = now;
        self.was_satisfied = !has_unmet_demand(&usage);
        QuotaReport {
            grant_version: self.grant_version.clone(),
            granted: grant.map_or_else(Vec::new, |grant| grant.permits.clone()),
            grant_left: grant.map_or(0, |grant| grant.expires_at - now),
            slot: self.slot,
            usage,
            digest: self.registry.digest,
            config: (!is_config_known).then_some(config),
        }
    }

    /// Records the ballot of a leader. Grants under lower ballots are ignored from then on; the current grant
    /// stays valid until it expires.
    pub fn observe_ballot(&mut self, ballot: &Ballot) {
        if self.grant_version.as_ref().is_none_or(|version| version.ballot < *ballot) {
            self.grant_version = Some(GrantVersion { ballot: ballot.clone(), seq: 0 });
        }
    }

    /// Applies a grant that is valid until `expires_at`. Returns `false` and ignores the grant if the process
    /// knows a newer one.
    pub fn apply_grant(&mut self, ballot: &Ballot, expires_at: Micros, grant: QuotaGrant) -> bool {
        let version = GrantVersion { ballot: ballot.clone(), seq: grant.seq };
        if self.grant_version.as_ref().is_some_and(|newest| version < *newest) {
            return false;
        }
        let is_renewal = self.grant_version.as_ref() == Some(&version);
        self.grant_version = Some(version);
        self.slot = if grant.has_slot { Slot::Assigned } else { Slot::Denied };
        self.leader_digest = Some(grant.digest);
        self.report_interval = Micros::from(grant.report_interval_ms) * MICROS_PER_MILLI;
        self.lower_minimums(&grant);
        let Some(mut permits) = grant.permits else { return true };
        permits.resize(self.registry.tenants.len(), 0);
        let previous = self.grant.take();
        let renewed = previous.as_ref().filter(|_| is_renewal);
        let expires_at = expires_at.max(renewed.map_or(0, |previous| previous.expires_at));
        // A leader that does not know all processes yet sends no fair shares, so the previous ones stay in
        // use.
        let (total, fair_shares) = match previous.filter(|_| !grant.is_complete) {
            Some(previous) => (previous.total, previous.fair_shares),
            None => (grant.total, grant.fair_shares),
        };
        self.grant = Some(CurrentGrant { permits, total, fair_shares, expires_at });
        true
    }

    fn lower_minimums(&mut self, grant: &QuotaGrant) {
        if grant.is_complete {
            self.lowered.clear();
        }
        for lowered in &grant.lowered {
            let minimum = self.lowered.entry(usize::from(lowered.tenant)).or_insert(lowered.guaranteed);
            *minimum = lowered.guaranteed.min(*minimum);
        }
    }

    /// Lets a process whose slot is pending use its guaranteed minimums without a leader's decision: after
    /// the autonomy timeout, or if all voters have lost their state, because then no leader can count the
    /// processes.
    pub fn assume_slot(&mut self) {
        if self.slot == Slot::Pending {
            self.slot = Slot::Assigned;
        }
    }

    /// Returns the limits on calls in flight that apply from `now` on. Assumes a slot if no leader has
    /// decided on it before the autonomy timeout.
    pub fn allowance(&mut self, now: Micros) -> Allowance {
        if now >= self.autonomous_at() {
            self.assume_slot();
        }
        let grant = self.grant.as_ref().filter(|grant| now < grant.expires_at);
        let tenants = self.registry.tenants.iter().enumerate();
        Allowance {
            tenants: tenants.map(|(index, tenant)| self.tenant_allowance(index, tenant, grant)).collect(),
            total: grant.and_then(|grant| grant.total),
            expires_at: grant.map(|grant| grant.expires_at),
        }
    }

    fn tenant_allowance(
        &self,
        index: usize,
        tenant: &Tenant,
        grant: Option<&CurrentGrant>,
    ) -> TenantAllowance {
        let lowered = self.lowered.get(&index).copied();
        let is_capped = tenant.cap.is_some() || lowered.is_some();
        let configured = if tenant.cap.is_some() { tenant.guaranteed } else { u32::MAX };
        let guaranteed = match self.slot {
            Slot::Assigned => configured.min(lowered.unwrap_or(configured)),
            Slot::Pending | Slot::Denied => 0,
        };
        let tenant_permits = |permits: &[u32]| permits.get(index).copied().unwrap_or(0);
        let granted = grant.map_or(0, |grant| tenant_permits(&grant.permits));
        let grant_with_total = grant.filter(|grant| grant.total.is_some());
        TenantAllowance {
            cap: is_capped.then_some(guaranteed.saturating_add(granted)),
            guaranteed: is_capped.then_some(guaranteed),
            fair_share: grant_with_total.map_or(0, |grant| tenant_permits(&grant.fair_shares)),
        }
    }

    /// Returns when [`LocalQuota::allowance`] next changes if no grant arrives until then; `None`: it does
    /// not change.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let expiry = self.grant.as_ref().map(|grant| grant.expires_at).filter(|at| now < *at);
        let slot_assumed_at = (self.slot == Slot::Pending).then(|| self.autonomous_at());
        expiry.into_iter().chain(slot_assumed_at).min()
    }

    /// Returns the time from which on a report is due, even if the lease need not be renewed yet: one report
    /// interval after the last report, or half an interval if `usage` shows queued or rejected calls and the
    /// last report showed none.
    pub fn next_report_at(&self, usage: &Usage) -> Micros {
        let is_urgent = self.was_satisfied && has_unmet_demand(usage);
        let interval = if is_urgent { self.report_interval / 2 } else { self.report_interval };
        self.last_report_at.saturating_add(interval)
    }

    fn autonomous_at(&self) -> Micros {
        self.started_at.saturating_add(self.timing.autonomy_timeout)
    }
}

/// Returns whether any tenant has calls that are queued, or were rejected, for lack of a permit.
fn has_unmet_demand(usage: &Usage) -> bool {
    usage.tenants.iter().any(|tenant| tenant.queued > 0 || tenant.rejected > 0)
}
