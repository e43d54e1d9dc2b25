//! Limits that the leader enforces if processes are configured differently, as during a rollout of a new
//! configuration: the lowest cap and guaranteed minimum of each tenant.

use crate::registry::{Tenant, TenantRegistry};
use crate::report::{LoweredMinimum, ReportedConfig};

/// Limits that the leader enforces for one tenant of its registry: the lowest ones that any process has
/// configured.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EffectiveCap {
    /// Lowest configured cap; `None`: no process has configured a cap for the tenant.
    cap: Option<u32>,
    /// Lowest guaranteed minimum among the configurations that set a cap for the tenant; `u32::MAX`: none
    /// sets one.
    guaranteed: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EffectiveConfig {
    caps: Vec<EffectiveCap>,
    /// Highest `max_proxies` of all configurations. This many guaranteed minimums are set aside from each
    /// cap, and the rest of the cap can be granted.
    most_proxies: u32,
    /// Lowest `max_proxies` of all configurations, which is the number of slots.
    fewest_proxies: u32,
}

impl EffectiveConfig {
    /// Returns the limits of the leader's own configuration, for the time before any process has reported a
    /// configuration that differs.
    pub fn new(registry: &TenantRegistry) -> EffectiveConfig {
        EffectiveConfig::combine(registry, [])
    }

    /// Returns the lowest limits of the leader's `registry` and of `others`, the differing configurations
    /// that processes have reported.
    pub fn combine<'a>(
        registry: &TenantRegistry,
        others: impl IntoIterator<Item = &'a ReportedConfig>,
    ) -> EffectiveConfig {
        let cap =
            |tenant: &Tenant| EffectiveCap { cap: tenant.cap, guaranteed: guaranteed_or_unlimited(tenant) };
        let mut effective = EffectiveConfig {
            caps: registry.tenants.iter().map(cap).collect(),
            most_proxies: registry.max_proxies,
            fewest_proxies: registry.max_proxies,
        };
        for other in others {
            effective.lower(registry, other);
        }
        effective
    }

    fn lower(&mut self, registry: &TenantRegistry, other: &ReportedConfig) {
        self.most_proxies = self.most_proxies.max(other.max_proxies);
        self.fewest_proxies = self.fewest_proxies.min(other.max_proxies.max(1));
        for other_tenant in &other.tenants {
            let index = registry.tenants.iter().position(|tenant| tenant.name == other_tenant.name);
            if let Some(cap) = index.and_then(|index| self.caps.get_mut(index)) {
                cap.cap = cap.cap.into_iter().chain(other_tenant.cap).min();
                cap.guaranteed = cap.guaranteed.min(guaranteed_or_unlimited(other_tenant));
            }
        }
    }

    /// Returns the number of slots, that is, of processes that may use their guaranteed minimums.
    pub fn slots(&self) -> usize {
        self.fewest_proxies as usize
    }

    /// Returns the lowest configured cap of a tenant of the leader's registry; `None`: the tenant has no cap.
    pub fn cap(&self, tenant: usize) -> Option<u32> {
        self.caps.get(tenant)?.cap
    }

    /// Returns the permits of a tenant that each process with a slot may use without a grant; 0 for a tenant
    /// without a cap, whose permits are not counted.
    pub fn guaranteed(&self, tenant: usize) -> u32 {
        self.caps.get(tenant).filter(|cap| cap.cap.is_some()).map_or(0, |cap| cap.guaranteed)
    }

    /// Returns how many permits of a tenant's cap can be granted: those that are left when the guaranteed
    /// minimums of all processes are set aside; `None`: the tenant has no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let guaranteed = self.guaranteed(tenant).saturating_mul(self.most_proxies);
        Some(self.cap(tenant)?.saturating_sub(guaranteed))
    }

    /// Returns the enforced minimums that are lower than the ones that a process has configured, in that
    /// process's order of tenants. `other` is the process's configuration; `None`: the same as the leader's.
    pub fn lowered(&self, registry: &TenantRegistry, other: Option<&ReportedConfig>) -> Vec<LoweredMinimum> {
        let process_tenants = other.map_or(&registry.tenants, |other| &other.tenants);
        let lowered = |(index, tenant): (usize, &Tenant)| {
            let own_index = registry.tenants.iter().position(|own| own.name == tenant.name)?;
            let (cap, guaranteed) = (self.cap(own_index), self.guaranteed(own_index));
            let is_lower = cap.is_some() && (tenant.cap.is_none() || guaranteed < tenant.guaranteed);
            is_lower.then_some(LoweredMinimum { tenant: u16::try_from(index).ok()?, guaranteed })
        };
        process_tenants.iter().enumerate().filter_map(lowered).collect()
    }
}

fn guaranteed_or_unlimited(tenant: &Tenant) -> u32 {
    tenant.cap.map_or(u32::MAX, |_| tenant.guaranteed)
}
