//! Configuration in effect where processes have different ones: the lowest cap and guaranteed minimum of each
//! tenant.

use crate::registry::{Tenant, TenantRegistry};
use crate::report::{LoweredMinimum, ReportedConfig};

/// Cap in effect of a tenant of the leader's registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EffectiveCap {
    /// Lowest cap of all configurations; `None`: no configuration has one.
    cap: Option<u32>,
    /// Lowest guaranteed minimum of all configurations that cap the tenant; `u32::MAX` if none does.
    guaranteed: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EffectiveConfig {
    caps: Vec<EffectiveCap>,
    /// Highest and lowest number of processes in any configuration.
    most_proxies: u32,
    fewest_proxies: u32,
}

impl EffectiveConfig {
    /// Returns the leader's configuration, before any process has reported another one.
    pub fn new(registry: &TenantRegistry) -> EffectiveConfig {
        EffectiveConfig::combine(registry, [])
    }

    /// Combines the leader's configuration with the differing ones of processes.
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

    /// Returns the number of processes that may have a slot.
    pub fn slots(&self) -> usize {
        self.fewest_proxies as usize
    }

    /// Returns the cap of a tenant; `None`: no cap.
    pub fn cap(&self, tenant: usize) -> Option<u32> {
        self.caps.get(tenant)?.cap
    }

    /// Permits of a tenant that are guaranteed to each process; 0 without a cap, as permits are not counted
    /// there.
    pub fn guaranteed(&self, tenant: usize) -> u32 {
        self.caps.get(tenant).filter(|cap| cap.cap.is_some()).map_or(0, |cap| cap.guaranteed)
    }

    /// Permits of a cap beyond the guaranteed minimums of all processes; `None`: no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let guaranteed = self.guaranteed(tenant).saturating_mul(self.most_proxies);
        Some(self.cap(tenant)?.saturating_sub(guaranteed))
    }

    /// Returns the guaranteed minimums that are lower than in a process's own configuration, in the process's
    /// order of tenants.
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
