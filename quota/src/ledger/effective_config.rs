//! The configuration that is in effect where that of processes differs: the lower cap.

use crate::registry::{Tenant, TenantRegistry};
use crate::report::{LoweredMinimum, ReportedConfig};

/// The cap of a tenant of the leader's registry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EffectiveCap {
    /// The lowest of all caps.
    cap: Option<u32>,
    /// The lowest of all guaranteed minimums; where there is no cap, any number.
    guaranteed: u32,
}

/// The configuration that is in effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EffectiveConfig {
    caps: Vec<EffectiveCap>,
    /// The highest and the lowest number of processes that any configuration counts with.
    most_proxies: u32,
    fewest_proxies: u32,
}

impl EffectiveConfig {
    /// That of a leader to which no process has reported another one.
    pub fn new(registry: &TenantRegistry) -> EffectiveConfig {
        EffectiveConfig::of(registry, [])
    }

    /// That of the leader's registry and all other configurations.
    pub fn of<'a>(
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
        for theirs in &other.tenants {
            let place = registry.tenants.iter().position(|tenant| tenant.name == theirs.name);
            if let Some(cap) = place.and_then(|place| self.caps.get_mut(place)) {
                cap.cap = cap.cap.into_iter().chain(theirs.cap).min();
                cap.guaranteed = cap.guaranteed.min(guaranteed_or_unlimited(theirs));
            }
        }
    }

    /// The number of slots.
    pub fn slots(&self) -> usize {
        self.fewest_proxies as usize
    }

    /// The cap of a tenant; `None`: it has none.
    pub fn cap(&self, tenant: usize) -> Option<u32> {
        self.caps.get(tenant)?.cap
    }

    /// The permits of a tenant that each process is guaranteed; 0 where it has no cap, as nothing is counted there.
    pub fn guaranteed(&self, tenant: usize) -> u32 {
        self.caps.get(tenant).filter(|cap| cap.cap.is_some()).map_or(0, |cap| cap.guaranteed)
    }

    /// Permits of a cap beside all guaranteed minimums; `None`: the tenant has no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let guaranteed = self.guaranteed(tenant).saturating_mul(self.most_proxies);
        Some(self.cap(tenant)?.saturating_sub(guaranteed))
    }

    /// The guaranteed minimums that are lower than by a process's own configuration, in its order of tenants.
    pub fn lowered(&self, registry: &TenantRegistry, other: Option<&ReportedConfig>) -> Vec<LoweredMinimum> {
        let theirs = other.map_or(&registry.tenants, |other| &other.tenants);
        let lowered = |(place, tenant): (usize, &Tenant)| {
            let own_place = registry.tenants.iter().position(|own| own.name == tenant.name)?;
            let (cap, guaranteed) = (self.cap(own_place), self.guaranteed(own_place));
            let is_lower = cap.is_some() && (tenant.cap.is_none() || guaranteed < tenant.guaranteed);
            is_lower.then_some(LoweredMinimum { tenant: u16::try_from(place).ok()?, guaranteed })
        };
        theirs.iter().enumerate().filter_map(lowered).collect()
    }
}

fn guaranteed_or_unlimited(tenant: &Tenant) -> u32 {
    tenant.cap.map_or(u32::MAX, |_| tenant.guaranteed)
}
