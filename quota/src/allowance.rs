//! What one process may have in flight now: all that passes from the agreement to the admission controller.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// What a process may have in flight of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantAllowance {
    /// Maximum number of permits, by the tenant's cap; `None`: it has no cap.
    pub cap: Option<u32>,
    /// What is left of `cap` from [`Allowance::expires_at`] on: the guaranteed minimum.
    pub guaranteed: Option<u32>,
    /// Its fair share of [`Allowance::total`], in permits; also its weight where several tenants wait for permits.
    pub fair_share: u32,
}

/// What a process may have in flight. It is valid until the next one comes, or until it expires.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// By tenant, in the order of the settings; the last is for calls of no tenant, or of an unknown one.
    pub tenants: Vec<TenantAllowance>,
    /// Permits of all tenants together; `None`: not agreed upon, and only caps bind.
    pub total: Option<u32>,
    /// From then on only the guaranteed minimums count, whether another allowance came or not: a process that was stopped
    /// for a while looks here before it admits anything. By the machine's clock; `None`: it does not expire.
    pub expires_at: Option<Micros>,
}

impl Allowance {
    /// Permits of a tenant at a moment; `None`: any number, or an unknown tenant.
    pub fn cap(&self, now: Micros, tenant: usize) -> Option<u32> {
        let allowance = self.tenants.get(tenant)?;
        if self.is_valid(now) {
            allowance.cap
        } else {
            allowance.guaranteed
        }
    }

    /// Permits of all tenants together at a moment; `None`: not agreed upon.
    pub fn total(&self, now: Micros) -> Option<u32> {
        self.total.filter(|_| self.is_valid(now))
    }

    fn is_valid(&self, now: Micros) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}
