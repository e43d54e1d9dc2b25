//! Limits on the calls in flight at a process, which the process's admission controller applies.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// Limits on the permits of one tenant at one process. A fair share is the portion of the hosts' capacity
/// that a tenant has in the whole fleet; a process gets a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantAllowance {
    /// Highest number of permits that the process may use for the tenant: its guaranteed minimum plus the
    /// granted permits; `None`: the tenant has no cap.
    pub cap: Option<u32>,
    /// Guaranteed minimum of the process, which replaces `cap` when the allowance has expired; 0: the process
    /// has no slot; `None`: the tenant has no cap.
    pub guaranteed: Option<u32>,
    /// Part of the tenant's fair share that falls to this process, in permits. Also the tenant's weight when
    /// queued calls of several tenants compete for permits.
    pub fair_share: u32,
}

/// Limits on the calls in flight at one process, until they are replaced or expire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// Limits by tenant in the order of the settings; the last one is for the default tenant.
    pub tenants: Vec<TenantAllowance>,
    /// Highest number of permits that the process may use for all tenants together; `None`: no limit besides
    /// the caps.
    pub total: Option<u32>,
    /// Time, by the process's clock, from which on only the guaranteed minimums are valid; `None`: the
    /// allowance does not expire. The admission controller compares this time with the clock at every call,
    /// so that a process that was paused uses no expired grant.
    pub expires_at: Option<Micros>,
}

impl Allowance {
    /// Returns how many permits the process may use for a tenant at the time `now`; `None`: the tenant has no
    /// cap, or is unknown.
    pub fn cap(&self, now: Micros, tenant: usize) -> Option<u32> {
        let allowance = self.tenants.get(tenant)?;
        if self.is_valid(now) {
            allowance.cap
        } else {
            allowance.guaranteed
        }
    }

    /// Returns how many permits the process may use for all tenants together at the time `now`; `None`: no
    /// limit besides the caps.
    pub fn total(&self, now: Micros) -> Option<u32> {
        self.total.filter(|_| self.is_valid(now))
    }

    fn is_valid(&self, now: Micros) -> bool {
        self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}
