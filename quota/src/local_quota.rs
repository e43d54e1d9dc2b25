//! The part of every process: what it was granted, and what it may have in flight by that.

use crate::allowance::{Allowance, TenantAllowance};
use crate::registry::{Tenant, TenantRegistry};
use crate::report::{GrantVersion, QuotaGrant, QuotaReport, ReportedConfig, Slot, Usage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{Ballot, Micros};
use std::collections::BTreeMap;

const MICROS_PER_MILLI: Micros = 1_000;
/// Until a leader has named an interval, a process reports this often within a lease.
const INITIAL_REPORTS_PER_LEASE: Micros = 4;

/// What is granted until it expires.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CurrentGrant {
    permits: Vec<u32>,
    total: Option<u32>,
    fair_shares: Vec<u32>,
    expires_at: Micros,
}

/// One process's grants. Times are by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalQuota {
    registry: TenantRegistry,
    timing: QuotaTiming,
    started: Micros,
    slot: Slot,
    /// The newest grant that it has heard of: it takes no older one.
    grant_version: Option<GrantVersion>,
    grant: Option<CurrentGrant>,
    /// Guaranteed minimums that are lower by another process's configuration, by tenant.
    lowered: BTreeMap<usize, u32>,
    /// The digest of the leader's configuration, as far as it is known.
    leader_digest: Option<u64>,
    last_report_at: Micros,
    report_interval: Micros,
    /// By its last report no call waited for a permit, and none was rejected.
    was_satisfied: bool,
}

impl LocalQuota {
    /// A process that starts, and remembers nothing.
    pub fn new(now: Micros, registry: TenantRegistry, timing: QuotaTiming) -> LocalQuota {
        LocalQuota {
            report_interval: timing.lease / INITIAL_REPORTS_PER_LEASE,
            registry,
            timing,
            started: now,
            slot: Slot::Pending,
            grant_version: None,
            grant: None,
            lowered: BTreeMap::new(),
            leader_digest: None,
            last_report_at: now,
            was_satisfied: true,
        }
    }

    /// Whether it may use its guaranteed minimums.
    pub fn slot(&self) -> Slot {
        self.slot
    }

    /// The newest grant that it has heard of.
    pub fn grant_version(&self) -> Option<&GrantVersion> {
        self.grant_version.as_ref()
    }

    /// Its tenants.
    pub fn registry(&self) -> &TenantRegistry {
        &self.registry
    }

    /// The report for the next renewal. `now` is the time that the renewal is sent with.
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

    /// Takes note of a ballot: grants under a lower one are not taken any more. What it has is valid until it expires.
    pub fn observe_fence(&mut self, ballot: &Ballot) {
        if self.grant_version.as_ref().is_none_or(|version| version.ballot < *ballot) {
            self.grant_version = Some(GrantVersion { ballot: ballot.clone(), seq: 0 });
        }
    }

    /// Takes a grant that was requested so that it expires then. Returns whether it was taken.
    pub fn apply_grant(&mut self, ballot: &Ballot, expires_at: Micros, grant: QuotaGrant) -> bool {
        let version = GrantVersion { ballot: ballot.clone(), seq: grant.seq };
        if self.grant_version.as_ref().is_some_and(|newest| version < *newest) {
            return false;
        }
        let is_same = self.grant_version.as_ref() == Some(&version);
        self.grant_version = Some(version);
        self.slot = if grant.has_slot { Slot::Assigned } else { Slot::Denied };
        self.leader_digest = Some(grant.digest);
        self.report_interval = Micros::from(grant.report_interval_ms) * MICROS_PER_MILLI;
        self.lower_minimums(&grant);
        let Some(mut permits) = grant.permits else { return true };
        permits.resize(self.registry.tenants.len(), 0);
        let previous = self.grant.take();
        let same = previous.as_ref().filter(|_| is_same);
        let expires_at = expires_at.max(same.map_or(0, |previous| previous.expires_at));
        // A leader that does not know yet what all processes have says nothing of fair shares: the last ones stay.
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

    /// Assumes a slot, if it waits for one: every voter has lost its state, so nobody can say that there are too many
    /// processes.
    pub fn assume_slot(&mut self) {
        if self.slot == Slot::Pending {
            self.slot = Slot::Assigned;
        }
    }

    /// What may be in flight from now on.
    pub fn allowance(&mut self, now: Micros) -> Allowance {
        if now >= self.autonomous_at() {
            self.assume_slot();
        }
        let grant = self.grant.as_ref().filter(|grant| now < grant.expires_at);
        let tenants = self.registry.tenants.iter().enumerate();
        Allowance {
            tenants: tenants.map(|(place, tenant)| self.tenant_allowance(place, tenant, grant)).collect(),
            total: grant.and_then(|grant| grant.total),
            expires_at: grant.map(|grant| grant.expires_at),
        }
    }

    fn tenant_allowance(
        &self,
        place: usize,
        tenant: &Tenant,
        grant: Option<&CurrentGrant>,
    ) -> TenantAllowance {
        let lowered = self.lowered.get(&place).copied();
        let is_capped = tenant.cap.is_some() || lowered.is_some();
        let configured = if tenant.cap.is_some() { tenant.guaranteed } else { u32::MAX };
        let guaranteed = match self.slot {
            Slot::Assigned => configured.min(lowered.unwrap_or(configured)),
            Slot::Pending | Slot::Denied => 0,
        };
        let of = |permits: &[u32]| permits.get(place).copied().unwrap_or(0);
        let granted = grant.map_or(0, |grant| of(&grant.permits));
        let agreed = grant.filter(|grant| grant.total.is_some());
        TenantAllowance {
            cap: is_capped.then_some(guaranteed.saturating_add(granted)),
            guaranteed: is_capped.then_some(guaranteed),
            fair_share: agreed.map_or(0, |grant| of(&grant.fair_shares)),
        }
    }

    /// When [`LocalQuota::allowance`] next changes, if nothing is heard until then.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let expiry = self.grant.as_ref().map(|grant| grant.expires_at).filter(|at| now < *at);
        let slot = (self.slot == Slot::Pending).then(|| self.autonomous_at());
        expiry.into_iter().chain(slot).min()
    }

    /// From when on a report is wanted before the lease must be renewed: after the interval that the leader named, or half
    /// of it where calls have begun to wait since the last report.
    pub fn next_report_at(&self, usage: &Usage) -> Micros {
        let is_urgent = self.was_satisfied && has_unmet_demand(usage);
        let interval = if is_urgent { self.report_interval / 2 } else { self.report_interval };
        self.last_report_at.saturating_add(interval)
    }

    fn autonomous_at(&self) -> Micros {
        self.started.saturating_add(self.timing.autonomy_timeout)
    }
}

/// Whether calls wait for a permit, or were rejected for want of one.
fn has_unmet_demand(usage: &Usage) -> bool {
    usage.tenants.iter().any(|tenant| tenant.queued > 0 || tenant.rejected > 0)
}
