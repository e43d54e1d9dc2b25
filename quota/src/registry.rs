//! Tenants with their weights and caps, from the settings of the service and the operators' configuration of
//! quotas.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Name of the default tenant in the operators' configuration. Calls without a tenant, or with an unknown
/// one, belong to the default tenant.
pub const DEFAULT_TENANT: &str = "others";
/// Highest number of tenants that a report has room for, including the default tenant.
const MAX_TENANT_COUNT: usize = 256;
const MAX_NAME_BYTES: usize = 64;
/// Weight of a tenant that has a portion of 1, which is the whole service.
const WEIGHT_PER_PORTION: f64 = 1_000_000.0;
/// Upper bound on a tenant's portion that prevents an overflow of its weight.
const MAX_PORTION: f64 = 1e6;

/// Quota configuration as written by the operators, not yet validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaConfig {
    /// Highest number of processes that run at a time. Each cap has room for the guaranteed minimums of that
    /// many processes.
    pub max_proxies: u32,
    /// Percentage of each cap that is divided into guaranteed minimums of equal size for `max_proxies`
    /// processes, 1 to 100.
    pub guaranteed_percent: u32,
    /// Number of calls that a host of size 1 can have in flight when it is fully warmed up; 0: no fair shares
    /// are calculated.
    pub calls_per_host: u32,
    /// Percentage of the hosts' capacity that is kept free, and not divided into fair shares, 0 to 99.
    pub margin_percent: u32,
    /// Lines with the name of a tenant and its cap in permits over all processes, such as `banca-trinacria
    /// 40`.
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

/// Reason why a quota configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaConfigError {
    /// `max_proxies` is 0.
    #[error("proxies_most is 0; set it to the maximum number of client proxies that run at a time, including those of a rolling update")]
    NoProxies,
    /// `guaranteed_percent` is not in the range of 1 to 100.
    #[error("own_percent is {0}; it must be 1 to 100")]
    GuaranteedPercent(u32),
    /// `margin_percent` is above 99.
    #[error("margin_percent is {0}; it must be 0 to 99")]
    MarginPercent(u32),
    /// A line of `caps` does not consist of a name and a number.
    #[error("caps contains {0:?}; each entry must be a tenant's name and a number of calls, such as \"{DEFAULT_TENANT} 10\"")]
    InvalidCap(String),
    /// A line of `caps` names a tenant that the settings do not define.
    #[error("caps names {tenant:?}, which the settings do not define; the defined tenants are {known}, where \"{DEFAULT_TENANT}\" is all other calls")]
    UnknownTenant {
        /// Tenant name in the line.
        tenant: String,
        /// Tenant names that the settings define, separated by commas.
        known: String,
    },
    /// Two lines of `caps` name the same tenant.
    #[error("caps names {0:?} twice; remove one entry")]
    DuplicateCap(String),
    /// Two tenants of the settings have the same name, or one has the name of the default tenant.
    #[error(
        "the settings define the tenant {0:?} twice, or give it the reserved name \"{DEFAULT_TENANT}\"; names must be unique"
    )]
    AmbiguousTenant(String),
    /// The settings define too many tenants for a report, or a tenant with a name that is too long for one.
    #[error("the settings have more than {MAX_TENANT_COUNT} tenants including \"{DEFAULT_TENANT}\", or a tenant name over {MAX_NAME_BYTES} bytes; remove the [shares] section")]
    TooManyTenants,
    /// A cap is lower than the number of processes, so that not every process can have a minimum of one
    /// permit.
    #[error("the cap of {tenant:?} is {cap}, but each of {proxies} proxies needs at least one permit; raise it, or lower proxies_most")]
    CapTooLow {
        /// Tenant name in the line of `caps`.
        tenant: String,
        /// Cap in the line of `caps`, in permits.
        cap: u32,
        /// Configured highest number of processes.
        proxies: u32,
    },
}

/// Tenant with its weight for fair shares, and its cap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which is unique in the registry.
    pub name: String,
    /// Weight of the tenant when the hosts' capacity is divided into fair shares, at least 1; 1,000,000 for a
    /// tenant that is entitled to the whole service.
    pub weight: u64,
    /// Highest number of permits over all processes; `None`: the tenant has no cap.
    pub cap: Option<u32>,
    /// Permits of the cap that each process with a slot may use without a grant; 0 for a tenant without a
    /// cap.
    pub guaranteed: u32,
}

impl Tenant {
    fn uncapped(name: &str, weight: u64) -> Tenant {
        Tenant { name: name.to_owned(), weight, cap: None, guaranteed: 0 }
    }
}

/// Validated quota configuration of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenantRegistry {
    /// Tenants in the order of the settings. The last one is the default tenant, which always exists.
    pub tenants: Vec<Tenant>,
    /// Highest number of processes that run at a time ([`QuotaConfig::max_proxies`]).
    pub max_proxies: u32,
    /// Number of calls that a host of size 1 can have in flight; 0: no fair shares
    /// ([`QuotaConfig::calls_per_host`]).
    pub calls_per_host: u32,
    /// Percentage of the hosts' capacity that is kept free ([`QuotaConfig::margin_percent`]).
    pub margin_percent: u32,
    /// Hash of the tenants, limits and percentages above. Processes with the same digest have the same
    /// configuration.
    pub digest: u64,
}

impl TenantRegistry {
    /// Validates a configuration. `tenants` are the tenants of the settings: pairs of a name and the portion
    /// of the service that the tenant is entitled to.
    ///
    /// # Errors
    ///
    /// Returns the first problem that is found in the configuration or in the tenants.
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

    /// Sets the cap and the guaranteed minimum of a tenant by one line of [`QuotaConfig::caps`].
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

    /// Returns how many permits of a tenant's cap the leader can grant: those that are left when
    /// `max_proxies` processes have their guaranteed minimums; `None`: the tenant has no cap, or does not
    /// exist.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let tenant = self.tenants.get(tenant)?;
        Some(tenant.cap?.saturating_sub(tenant.guaranteed.saturating_mul(self.max_proxies)))
    }

    /// Returns the index of the tenant with this name; without a name, or with an unknown one, the index of
    /// the default tenant.
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

/// Creates the tenants with their weights and without caps, the default tenant as the last one.
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
    // The default tenant gets the portion of the service that the named tenants leave, but no lower weight
    // than the lightest named tenant has.
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
