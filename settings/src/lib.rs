//! Settings of a site, as in the simulator's CREATE event and in a proxy's configuration. Unknown keys are
//! ignored; absent optional keys have defaults.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use flaxhead_policy::{
    Class, DedupScope, Idempotency, Limits, LoadReport, ModelId, SafetyLimits, ScoreWeights, ServerId,
    Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct SiteSettings {
    balancers: u32,
    #[serde(default)]
    me: u32,
    classes: Vec<ClassSettings>,
    #[serde(default)]
    tenants: Vec<TenantSettings>,
    #[serde(default)]
    discovery: String,
    limits: LimitSettings,
    invariants: InvariantSettings,
    #[serde(default)]
    result_mix: ScoreSettings,
    #[serde(default)]
    locality: Option<String>,
    #[serde(default)]
    charges: ChargeSettings,
    #[serde(default)]
    tick_us: u64,
}

#[derive(Deserialize)]
struct ClassSettings {
    name: String,
    objective_us: u64,
    deadline_us: u64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_value: f64,
    idempotency: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Deserialize)]
struct TenantSettings {
    name: String,
    #[serde(default)]
    portion: f64,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitSettings {
    cancel: bool,
    probes: bool,
    second_copies: bool,
    max_attempts: u32,
    max_retry_after_us: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        let (cancel, probes, second_copies) = (false, false, false);
        LimitSettings { cancel, probes, second_copies, max_attempts: 1, max_retry_after_us: 0 }
    }
}

#[derive(Deserialize)]
struct InvariantSettings {
    cold_from: f64,
    cold_us: u64,
    #[serde(default = "default_max_poll_interval")]
    ask_every_us: u64,
    #[serde(default = "default_overload_multiple")]
    fall_multiple: f64,
}

fn default_overload_multiple() -> f64 {
    Settings::default().safety.overload_multiple
}

fn default_max_poll_interval() -> u64 {
    Settings::default().safety.max_poll_interval
}

#[derive(Deserialize)]
#[serde(default)]
struct ScoreSettings {
    whole: f64,
    worst_class: f64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ChargeSettings {
    cross_zone: f64,
}

impl Default for ScoreSettings {
    fn default() -> Self {
        ScoreSettings { whole: 1.0, worst_class: 0.0 }
    }
}

/// Error for settings with a missing key or a value of the wrong type.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(#[from] serde_json::Error);

/// Parses the settings of a site; returns them with the names of classes and tenants, in the order of their
/// indices.
///
/// # Errors
///
/// If a required key is missing (`balancers`, `classes`, `limits`, `invariants`, or one within them), or a
/// value has the wrong type.
pub fn parse(json: &Value) -> Result<(Settings, Vec<String>, Vec<String>), SettingsError> {
    let site = SiteSettings::deserialize(json)?;
    let mut classes = Vec::new();
    for class in &site.classes {
        let scope = match class.dedup_scope.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        // An unrecognised idempotency or deduplication scope allows no repeats.
        let idempotency = match (class.idempotency.as_str(), scope) {
            ("free", _) => Idempotency::Idempotent,
            ("guarded", Some(scope)) => Idempotency::Keyed { scope, window: class.repeat_window_us },
            _ => Idempotency::NonIdempotent,
        };
        let (objective, deadline) = (class.objective_us, class.deadline_us);
        classes.push(Class {
            objective,
            deadline,
            priority_weight: class.worth,
            late_ratio: class.late_value,
            idempotency,
        });
    }
    let limits = &site.limits;
    let invariants = &site.invariants;
    let settings = Settings {
        balancer_count: site.balancers,
        balancer_index: site.me,
        clock_tick: site.tick_us,
        subscribe: site.discovery == "ask",
        classes,
        tenants: site.tenants.iter().map(|t| Tenant { share: t.portion }).collect(),
        limits: Limits {
            cancel: limits.cancel,
            probes: limits.probes,
            hedging: limits.second_copies,
            max_attempts: limits.max_attempts,
            // Applies whether or not the site's clients heed Retry-After: every rejection has to carry it.
            max_retry_after: limits.max_retry_after_us,
        },
        safety: SafetyLimits {
            slow_start_ratio: invariants.cold_from,
            slow_start_window: invariants.cold_us,
            max_poll_interval: invariants.ask_every_us,
            overload_multiple: invariants.fall_multiple,
        },
        score_weights: ScoreWeights {
            overall: site.result_mix.whole,
            worst_class: site.result_mix.worst_class,
        },
        local_zone: site.locality.as_deref().filter(|_| site.charges.cross_zone > 0.0).map(zone_id),
    };
    let class_names = site.classes.into_iter().map(|c| c.name).collect();
    Ok((settings, class_names, site.tenants.into_iter().map(|t| t.name).collect()))
}

/// Id of a zone: a hash of its name, equal on all balancers. Two names may have the same hash.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(fnv1a(name))
}

/// Id of a server model: a hash of its name, equal on all balancers. Two names may have the same hash.
pub fn model_id(name: &str) -> ModelId {
    ModelId(fnv1a(name))
}

/// Id of a server: a hash of its name, equal on all balancers. Two names may have the same hash.
pub fn server_id(name: &str) -> ServerId {
    ServerId(fnv1a(name))
}

fn fnv1a(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Parses a load report, `name=value,name=value`; unrecognised names and values that are not finite numbers
/// are ignored. The names are those of the simulator and of the settings' key `report.columns`.
pub fn parse_load_report(text: &str) -> LoadReport {
    let mut load = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "active" => load.active_requests = value,
            "waiting" => load.queued_requests = value,
            "cpu" => load.cpu_utilization = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests;
