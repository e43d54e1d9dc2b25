//! Limits on calls in flight that a process's grants give to its admission controller.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// Limits of one tenant at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantAllowance {
    /// Maximum number of permits by the tenant's cap; `None`: no cap.
    pub cap: Option<u32>,
    /// Limit that replaces `cap` from [`Allowance::expires_at`] on: the guaranteed minimum.
    pub guaranteed: Option<u32>,
    /// Fair share of [`Allowance::total`], in permits. It is also the tenant's weight when several tenants
    /// wait for permits.
    pub fair_share: u32,
}

/// Limits on the calls in flight at a process, valid until they are replaced or expire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// Limits by tenant, in the order of the settings; the last is for calls with no tenant or an unknown
    /// one.
    pub tenants: Vec<TenantAllowance>,
    /// Permits of all tenants together; `None`: the leader has set no total, and only caps apply.
    pub total: Option<u32>,
    /// Time from which only the guaranteed minimums apply, by the process's clock; `None`: no expiry. A
    /// process that resumes after a pause compares this with the time before it admits any call.
    pub expires_at: Option<Micros>,
}

impl Allowance {
    /// Returns the permits of a tenant at `now`; `None`: no cap, or an unknown tenant.
    pub fn cap(&self, now: Micros, tenant: usize) -> Option<u32> {
        let allowance = self.tenants.get(tenant)?;
        if self.is_valid(now) {
            allowance.cap
        } else {
            allowance.guaranteed
        }
    }

    /// Returns the permits of all tenants together at `now`; `None`: no total applies.
    pub fn total(&self, now: Micros) -> Option<u32> {
        self.total.filter(|_| self.is_valid(now))
    }

    fn is_valid(&self, now: Micros) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}
