//! Tenants, and the limits that the operators' configuration sets for them.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Configuration name of the tenant for calls with no tenant or an unknown one.
pub const DEFAULT_TENANT: &str = "others";
/// Maximum number of tenants that fits into a report.
const MAX_TENANT_COUNT: usize = 256;
const MAX_NAME_BYTES: usize = 64;
/// Weight of a tenant whose portion is 1.
const WEIGHT_PER_PORTION: f64 = 1_000_000.0;
/// Upper bound that keeps weights in the range of their type.
const MAX_PORTION: f64 = 1e6;

/// Quota configuration as written by the operators, before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaConfig {
    /// Maximum number of processes that run at a time. Each cap provides the guaranteed minimums for that
    /// many.
    pub max_proxies: u32,
    /// Part of each cap that is guaranteed to processes, in percent, 1 to 100.
    pub guaranteed_percent: u32,
    /// Calls that a warmed-up host of size 1 carries at a time; 0 turns fair shares off.
    pub calls_per_host: u32,
    /// Part of the hosts' capacity that is kept free, in percent, 0 to 99.
    pub margin_percent: u32,
    /// Lines of a tenant's name and its cap over the fleet, in calls, such as `banca-trinacria 40`.
    pub caps: Vec<String>,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            max_proxies: 8,
            guaranteed_percent: 25,
            calls_per_host: 0,
            margin_percent: 10,
            caps: Vec::new(),
        }
    }
}

/// Reason for which a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaConfigError {
    /// `max_proxies` is 0.
    #[error("proxies_most is 0; set it to the maximum number of client proxies that run at a time, including those of a rolling update")]
    NoProxies,
    /// `guaranteed_percent` is not 1 to 100.
    #[error("own_percent is {0}; it must be 1 to 100")]
    GuaranteedPercent(u32),
    /// `margin_percent` is 100 or more.
    #[error("margin_percent is {0}; it must be 0 to 99")]
    MarginPercent(u32),
    /// A line of `caps` is not a name and a number.
    #[error("caps contains {0:?}; each entry must be a tenant's name and a number of calls, such as \"{DEFAULT_TENANT} 10\"")]
    InvalidCap(String),
    /// A line of `caps` names a tenant that the settings do not have.
    #[error("caps names {tenant:?}, which the settings do not define; the defined tenants are {known}, where \"{DEFAULT_TENANT}\" is all other calls")]
    UnknownTenant {
        /// Name in the configuration.
        tenant: String,
        /// Names that the settings have, separated by commas.
        known: String,
    },
    /// `caps` names a tenant twice.
    #[error("caps names {0:?} twice; remove one entry")]
    DuplicateCap(String),
    /// The settings give two tenants the same name, or the name of the default tenant.
    #[error(
        "the settings define the tenant {0:?} twice, or give it the reserved name \"{DEFAULT_TENANT}\"; names must be unique"
    )]
    AmbiguousTenant(String),
    /// The tenants do not fit into a report.
    #[error("the settings have more than {MAX_TENANT_COUNT} tenants including \"{DEFAULT_TENANT}\", or a tenant name over {MAX_NAME_BYTES} bytes; remove the [shares] section")]
    TooManyTenants,
    /// A cap is lower than the number of processes, each of which needs a permit.
    #[error("the cap of {tenant:?} is {cap}, but each of {proxies} proxies needs at least one permit; raise it, or lower proxies_most")]
    CapTooLow {
        /// Tenant of the cap.
        tenant: String,
        /// Configured cap, in permits.
        cap: u32,
        /// Configured maximum number of processes.
        proxies: u32,
    },
}

/// A tenant with its weight and limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tenant {
    /// Tenant name, unique in the registry.
    pub name: String,
    /// Weight relative to the other tenants, in millionths; at least 1.
    pub weight: u64,
    /// Maximum number of permits over the fleet; `None`: no cap.
    pub cap: Option<u32>,
    /// Permits of the cap that are guaranteed to each process; 0 without a cap.
    pub guaranteed: u32,
}

impl Tenant {
    fn uncapped(name: &str, weight: u64) -> Tenant {
        Tenant { name: name.to_owned(), weight, cap: None, guaranteed: 0 }
    }
}

/// A validated quota configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenantRegistry {
    /// Tenants in the order of the settings. The last one, always present, is for calls with no tenant or an
    /// unknown one.
    pub tenants: Vec<Tenant>,
    /// See [`QuotaConfig::max_proxies`].
    pub max_proxies: u32,
    /// See [`QuotaConfig::calls_per_host`].
    pub calls_per_host: u32,
    /// See [`QuotaConfig::margin_percent`].
    pub margin_percent: u32,
    /// Hash over all other fields, by which processes compare their configurations.
    pub digest: u64,
}

impl TenantRegistry {
    /// Validates a configuration against the tenants of the settings, given as pairs of name and portion of
    /// the service.
    ///
    /// # Errors
    ///
    /// Returns the first problem found in the configuration or the tenants.
    pub fn new<'a>(
        config: &QuotaConfig,
        tenants: impl IntoIterator<Item = (&'a str, f64)>,
    ) -> Result<TenantRegistry, QuotaConfigError> {
        check_ranges(config)?;
        let mut registry = TenantRegistry {
            tenants: weighted_tenants(tenants)?,
            max_proxies: config.max_proxies,
            calls_per_host: config.calls_per_host,
            margin_percent: config.margin_percent,
            digest: 0,
        };
        for line in &config.caps {
            registry.set_cap(line, config.guaranteed_percent)?;
        }
        registry.digest = registry.compute_digest();
        Ok(registry)
    }

    fn compute_digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        (&self.tenants, self.max_proxies, self.calls_per_host, self.margin_percent).hash(&mut hasher);
        hasher.finish()
    }

    /// Sets the cap of a tenant from one line of [`QuotaConfig::caps`].
    fn set_cap(&mut self, line: &str, guaranteed_percent: u32) -> Result<(), QuotaConfigError> {
        let parsed = line.trim().rsplit_once(char::is_whitespace);
        let parsed = parsed.and_then(|(name, cap)| Some((name.trim(), cap.parse::<u32>().ok()?)));
        let (name, cap) = parsed.ok_or_else(|| QuotaConfigError::InvalidCap(line.to_owned()))?;
        let proxies = self.max_proxies;
        let Some(tenant) = self.tenants.iter_mut().find(|tenant| tenant.name == name) else {
            let known: Vec<&str> = self.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
            let known = known.join(", ");
            return Err(QuotaConfigError::UnknownTenant { tenant: name.to_owned(), known });
        };
        if tenant.cap.is_some() {
            return Err(QuotaConfigError::DuplicateCap(name.to_owned()));
        }
        if cap < proxies {
            return Err(QuotaConfigError::CapTooLow { tenant: name.to_owned(), cap, proxies });
        }
        let guaranteed = u64::from(cap) * u64::from(guaranteed_percent) / 100 / u64::from(proxies);
        tenant.cap = Some(cap);
        tenant.guaranteed = u32::try_from(guaranteed).unwrap_or(cap).max(1);
        Ok(())
    }

    /// Permits of a cap beyond the guaranteed minimums of all processes; `None`: the tenant has no cap, or
    /// does not exist.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let tenant = self.tenants.get(tenant)?;
        Some(tenant.cap?.saturating_sub(tenant.guaranteed.saturating_mul(self.max_proxies)))
    }

    /// Returns the index of the tenant with this name, or that of the last one if there is none.
    pub fn index(&self, name: Option<&str>) -> usize {
        let last = self.tenants.len().saturating_sub(1);
        name.and_then(|name| self.tenants.iter().position(|tenant| tenant.name == name)).unwrap_or(last)
    }
}

fn check_ranges(config: &QuotaConfig) -> Result<(), QuotaConfigError> {
    if config.max_proxies == 0 {
        return Err(QuotaConfigError::NoProxies);
    }
    if !(1..=100).contains(&config.guaranteed_percent) {
        return Err(QuotaConfigError::GuaranteedPercent(config.guaranteed_percent));
    }
    if config.margin_percent >= 100 {
        return Err(QuotaConfigError::MarginPercent(config.margin_percent));
    }
    Ok(())
}

/// Returns the tenants with their weights, followed by the default tenant.
fn weighted_tenants<'a>(
    tenants: impl IntoIterator<Item = (&'a str, f64)>,
) -> Result<Vec<Tenant>, QuotaConfigError> {
    let mut named: Vec<Tenant> = Vec::new();
    let mut total = 0.0;
    for (name, portion) in tenants {
        if name == DEFAULT_TENANT || named.iter().any(|tenant| tenant.name == name) {
            return Err(QuotaConfigError::AmbiguousTenant(name.to_owned()));
        }
        if named.len() + 1 >= MAX_TENANT_COUNT || name.len() > MAX_NAME_BYTES {
            return Err(QuotaConfigError::TooManyTenants);
        }
        let portion = if portion.is_finite() { portion.clamp(0.0, MAX_PORTION) } else { 0.0 };
        total += portion;
        named.push(Tenant::uncapped(name, weight(portion)));
    }
    // The default tenant gets the weight that the portions leave, and at least that of the lightest tenant.
    let lightest = named.iter().map(|tenant| tenant.weight).min().unwrap_or(1);
    named.push(Tenant::uncapped(DEFAULT_TENANT, weight(1.0 - total).max(lightest)));
    Ok(named)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "portions are at most MAX_PORTION"
)]
fn weight(portion: f64) -> u64 {
    ((portion * WEIGHT_PER_PORTION).round().max(0.0) as u64).max(1)
}

#[cfg(test)]
mod tests;
