//! What `[shares]` configures, and whether it fits the platform's settings.

use super::super::bounds::within;
use super::super::peers::{list, voters};
use super::super::sections::{Problem, Section};
use crate::config::Config;
use flaxhead_lease::{Micros, Voters};
use flaxhead_quota::{QuotaConfig, QuotaConfigError, TenantRegistry, DEFAULT_TENANT};
use std::collections::BTreeSet;
use std::path::PathBuf;

const MICROS_PER_MILLI: Micros = 1_000;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// What `[shares]` configures.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who grants leases.
    pub voters: Voters,
    /// How long a lease lasts.
    pub lease: Micros,
    /// How long a process that starts waits for a slot, where no process replies.
    pub autonomy_timeout: Micros,
    /// The quotas, checked but for the names of tenants.
    pub quota: QuotaConfig,
    /// The file that the caps are in.
    pub file: PathBuf,
    caps_line: u32,
}

/// Why a section does not fit the platform's settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{line}: [shares] {reason}", file.display())]
pub struct SettingsError {
    file: PathBuf,
    line: u32,
    #[source]
    reason: QuotaConfigError,
}

impl Settings {
    /// Takes them from the section.
    ///
    /// # Errors
    ///
    /// What is wrong, with its line.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let voters = voters(section)?;
        let defaults = QuotaConfig::default();
        let mut number = |key: &str, (min, max): (u32, u32), default: u32| {
            Ok::<_, Problem>(section.take_if(key, within(min, max))?.unwrap_or(default))
        };
        let lease = Micros::from(number("lease_ms", (500, 60_000), 6_000)?) * MICROS_PER_MILLI;
        let autonomy_timeout = Micros::from(number("alone_s", (1, 3_600), 15)?) * MICROS_PER_SECOND;
        let max_proxies = number("proxies_most", (1, 10_000), defaults.max_proxies)?;
        let guaranteed_percent = number("own_percent", (1, 100), defaults.guaranteed_percent)?;
        let calls_per_host = number("host_calls", (0, 100_000), defaults.calls_per_host)?;
        let margin_percent = number("margin_percent", (0, 99), defaults.margin_percent)?;
        let caps_line = section.line_of("caps");
        let caps = list::<String>(section, "caps")?;
        let quota = QuotaConfig { max_proxies, guaranteed_percent, calls_per_host, margin_percent, caps };
        check_caps(&quota).map_err(|error| Problem::new(caps_line, format!("[shares] {error}")))?;
        Ok(Settings { voters, lease, autonomy_timeout, quota, file: PathBuf::new(), caps_line })
    }

    /// The tenants of a configuration, with their quotas.
    ///
    /// # Errors
    ///
    /// Where the configuration lacks a tenant, with file and line.
    pub fn registry(&self, config: &Config) -> Result<TenantRegistry, SettingsError> {
        let portions = config.settings.tenants.iter().map(|tenant| tenant.share);
        let tenants = config.tenants.iter().map(String::as_str).zip(portions);
        TenantRegistry::new(&self.quota, tenants).map_err(|reason| SettingsError {
            file: self.file.clone(),
            line: self.caps_line,
            reason,
        })
    }
}

/// Checks all but which tenants there are: that the platform's settings say, later.
fn check_caps(quota: &QuotaConfig) -> Result<(), QuotaConfigError> {
    let name = |cap: &String| Some(cap.trim().rsplit_once(char::is_whitespace)?.0.trim().to_owned());
    let named: BTreeSet<String> =
        quota.caps.iter().filter_map(name).filter(|name| name != DEFAULT_TENANT).collect();
    TenantRegistry::new(quota, named.iter().map(|name| (name.as_str(), 0.0))).map(drop)
}

#[cfg(test)]
mod tests;
