//! The tenants, and what the operators' file configures for them.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The name that the file has for calls of no tenant, or of an unknown one.
pub const DEFAULT_TENANT: &str = "others";
/// Maximum number of tenants: what a report can hold.
const MAX_TENANTS: usize = 256;
/// Maximum length of a tenant's name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Weights are counted in parts of a whole of this many.
const WEIGHT_SCALE: f64 = 1_000_000.0;
/// Maximum portion of a tenant; the settings are not ours.
const MAX_PORTION: f64 = 1e6;

/// What the operators' file says, before it is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaConfig {
    /// Maximum number of processes: guaranteed minimums are counted for so many.
    pub max_proxies: u32,
    /// Part of each cap that is guaranteed, in percent.
    pub guaranteed_percent: u32,
    /// Calls that a warm host of size 1 can have in flight; 0: there are no fair shares.
    pub calls_per_host: u32,
    /// Part of the hosts' capacity that is left free, in percent.
    pub margin_percent: u32,
    /// Each a tenant's name and its cap over the fleet, as in `banca-trinacria 40`.
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

/// Why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QuotaConfigError {
    /// No process at all.
    #[error("proxies_most is 0; give the most client proxies that run at a time, those of a roll included")]
    NoProxies,
    /// A guaranteed part that cannot be.
    #[error("own_percent is {0}; give 1 to 100")]
    GuaranteedPercent(u32),
    /// No capacity would be left.
    #[error("margin_percent is {0}; give 0 to 99")]
    MarginPercent(u32),
    /// Not a name and a number.
    #[error("caps has {0:?}; give a tenant's name and a number of calls, as in \"{DEFAULT_TENANT} 10\"")]
    InvalidCap(String),
    /// The settings have no such tenant.
    #[error("caps names {tenant:?}, which the settings do not have; they have {known}, and \"{DEFAULT_TENANT}\" is the rest")]
    UnknownTenant {
        /// The name.
        tenant: String,
        /// The names that the settings have.
        known: String,
    },
    /// A tenant has two caps.
    #[error("caps names {0:?} twice; leave one of them out")]
    DuplicateCap(String),
    /// Two tenants have one name.
    #[error(
        "the settings name the tenant {0:?} twice or use the name of the rest; caps cannot tell them apart"
    )]
    AmbiguousTenant(String),
    /// A report could not hold the tenants.
    #[error("the settings have more than {MAX_TENANTS} tenants, or a name over {MAX_NAME_BYTES} bytes; leave [shares] out")]
    TooManyTenants,
    /// Some process would have no permit.
    #[error("the cap of {tenant:?} is {cap}, but each of {proxies} proxies needs one call; raise it, or lower proxies_most")]
    CapTooLow {
        /// The tenant.
        tenant: String,
        /// Its cap.
        cap: u32,
        /// The number of processes.
        proxies: u32,
    },
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its weight relative to the others', in millionths; at least 1.
    pub weight: u64,
    /// Maximum number of permits over the fleet; `None`: it has no cap.
    pub cap: Option<u32>,
    /// The permits of the cap that each process is guaranteed.
    pub guaranteed: u32,
}

impl Tenant {
    fn uncapped(name: &str, weight: u64) -> Tenant {
        Tenant { name: name.to_owned(), weight, cap: None, guaranteed: 0 }
    }
}

/// A configuration that was checked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TenantRegistry {
    /// In the order of the settings; the last is for calls of no tenant, or of an unknown one, and is always there.
    pub tenants: Vec<Tenant>,
    /// See [`QuotaConfig::max_proxies`].
    pub max_proxies: u32,
    /// See [`QuotaConfig::calls_per_host`].
    pub calls_per_host: u32,
    /// See [`QuotaConfig::margin_percent`].
    pub margin_percent: u32,
    /// Differs between registries that allow something else.
    pub digest: u64,
}

impl TenantRegistry {
    /// Checks a configuration against the tenants of the settings, each with its portion of the service.
    ///
    /// # Errors
    ///
    /// What an operator has to change.
    pub fn new<'a>(
        config: &QuotaConfig,
        tenants: impl IntoIterator<Item = (&'a str, f64)>,
    ) -> Result<TenantRegistry, QuotaConfigError> {
        check_numbers(config)?;
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

    /// Sets a tenant's cap by a line of the configuration.
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

    /// Permits of a cap beside all guaranteed minimums; `None`: the tenant has no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let tenant = self.tenants.get(tenant)?;
        Some(tenant.cap?.saturating_sub(tenant.guaranteed.saturating_mul(self.max_proxies)))
    }

    /// The place of the tenant with this name; that of the last, where there is none.
    pub fn index(&self, name: Option<&str>) -> usize {
        let last = self.tenants.len().saturating_sub(1);
        name.and_then(|name| self.tenants.iter().position(|tenant| tenant.name == name)).unwrap_or(last)
    }
}

fn check_numbers(config: &QuotaConfig) -> Result<(), QuotaConfigError> {
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

/// The tenants with their weights, and the rest as the last.
fn weighted_tenants<'a>(
    tenants: impl IntoIterator<Item = (&'a str, f64)>,
) -> Result<Vec<Tenant>, QuotaConfigError> {
    let mut named: Vec<Tenant> = Vec::new();
    let mut total = 0.0;
    for (name, portion) in tenants {
        if name == DEFAULT_TENANT || named.iter().any(|tenant| tenant.name == name) {
            return Err(QuotaConfigError::AmbiguousTenant(name.to_owned()));
        }
        if named.len() + 1 >= MAX_TENANTS || name.len() > MAX_NAME_BYTES {
            return Err(QuotaConfigError::TooManyTenants);
        }
        let portion = if portion.is_finite() { portion.clamp(0.0, MAX_PORTION) } else { 0.0 };
        total += portion;
        named.push(Tenant::uncapped(name, weight(portion)));
    }
    // The rest weighs what the portions leave, and no less than the lightest tenant.
    let lightest = named.iter().map(|tenant| tenant.weight).min().unwrap_or(1);
    named.push(Tenant::uncapped(DEFAULT_TENANT, weight(1.0 - total).max(lightest)));
    Ok(named)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a portion is 0 to MAX_PORTION")]
fn weight(portion: f64) -> u64 {
    ((portion * WEIGHT_SCALE).round().max(0.0) as u64).max(1)
}

#[cfg(test)]
mod tests;
