//! The service config: which class each method is of, and the bounds of the plug-in. It has gRPC's JSON form where
//! gRPC has one (`methodConfig`, gRFC A105's `connectionScaling`); what is ours stands under `flaxhead`. It is checked
//! whole: what is not understood is an error that says where.

use crate::grpc::Code;
use flaxhead_limits::{IdempotencyCacheConfig, RetryBudgetConfig};
use flaxhead_policy::{ClassId, Idempotency, Settings};
use http::HeaderName;
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Most connections to one host, whatever the config says, unless `flaxhead.clamp` moves it (A105's default).
const CLAMP: usize = 10;
/// gRPC's limit on `maxAttempts` (A6).
const ATTEMPTS_MOST: u32 = 5;

/// What is wrong with a service config.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("service config: {at}: {reason}")]
pub struct Problem {
    /// Where: the path to the value.
    pub at: String,
    /// What.
    pub reason: String,
}

impl Problem {
    fn new(at: impl Into<String>, reason: impl Into<String>) -> Problem {
        Problem { at: at.into(), reason: reason.into() }
    }
}

/// How calls of a method are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Method {
    /// Its class.
    pub class: ClassId,
    /// How long its callers wait at the most.
    pub timeout: Duration,
    /// Most attempts of one call, by all layers together.
    pub attempts_most: u32,
    /// Statuses after which it may go again; `None`: those that tell of trouble.
    pub retryable: Option<Arc<[Code]>>,
}

/// A checked service config.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// Bounds of repeats by all layers.
    pub budget: Option<RetryBudgetConfig>,
    /// What is remembered of calls.
    pub memory: IdempotencyCacheConfig,
    /// Most connections to one host.
    pub connections_most: usize,
    /// When a connection must be up.
    pub connect_timeout: Duration,
    /// Calls that may be open at once; more are refused.
    pub open_most: usize,
    /// Most bytes of a request, and of an answer.
    pub message_most: usize,
    /// The metadata that names a call: the same for each of its tries.
    pub id: HeaderName,
    /// The metadata that names a keyed call.
    pub key: HeaderName,
    /// The metadata that names a tenant.
    pub tenant: HeaderName,
    methods: HashMap<String, Method>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct File {
    #[serde(default)]
    method_config: Vec<MethodFile>,
    connection_scaling: Option<ScalingFile>,
    retry_throttling: Option<Value>,
    flaxhead: OwnFile,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct MethodFile {
    name: Vec<NameFile>,
    timeout: Option<String>,
    /// Accepted: every call is held while no host is free.
    #[serde(rename = "waitForReady")]
    _wait_for_ready: Option<bool>,
    retry_policy: Option<RetryFile>,
    hedging_policy: Option<Value>,
    max_request_message_bytes: Option<Value>,
    max_response_message_bytes: Option<Value>,
    class: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct NameFile {
    #[serde(default)]
    service: String,
    #[serde(default)]
    method: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct RetryFile {
    max_attempts: u32,
    initial_backoff: String,
    max_backoff: String,
    backoff_multiplier: f64,
    retryable_status_codes: Vec<StatusFile>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum StatusFile {
    Name(String),
    Number(u8),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct ScalingFile {
    max_connections_per_subchannel: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct OwnFile {
    settings: Value,
    /// `false`: none, for measurements only.
    #[serde(default)]
    retry_budget: Option<BudgetFile>,
    #[serde(default)]
    memory: MemoryFile,
    clamp: Option<usize>,
    connect_timeout: Option<String>,
    max_open_calls: Option<usize>,
    max_message_bytes: Option<usize>,
    id_metadata: Option<String>,
    key_metadata: Option<String>,
    tenant_metadata: Option<String>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum BudgetFile {
    Switch(bool),
    Figures {
        share: f64,
        #[serde(rename = "perSecond")]
        per_second: f64,
        most: f64,
    },
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct MemoryFile {
    entries: Option<usize>,
    keep: Option<String>,
}

impl ServiceConfig {
    /// Reads and checks a config's JSON text.
    pub fn parse(text: &str) -> Result<ServiceConfig, Problem> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json)
            .map_err(|error| Problem::new(error.path().to_string(), error.inner().to_string()))?;
        json.end().map_err(|error| Problem::new("end", error.to_string()))?;
        if file.retry_throttling.is_some() {
            return Err(Problem::new(
                "retryThrottling",
                "not supported: flaxhead.retryBudget bounds repeats",
            ));
        }
        let own = file.flaxhead;
        let (settings, classes, tenants) = flaxhead_settings::parse(&own.settings)
            .map_err(|reason| Problem::new("flaxhead.settings", reason.to_string()))?;
        if settings.classes.is_empty() || !settings.is_in_range() {
            return Err(Problem::new("flaxhead.settings", "no classes, or times that are too long"));
        }
        let budget = match own.retry_budget {
            None | Some(BudgetFile::Switch(true)) => Some(RetryBudgetConfig::default()),
            Some(BudgetFile::Switch(false)) => None,
            Some(BudgetFile::Figures { share, per_second, most }) => {
                let good = (0.0..=1.0).contains(&share)
                    && (0.0..=1e6).contains(&per_second)
                    && (1.0..=1e6).contains(&most);
                if !good {
                    return Err(Problem::new(
                        "flaxhead.retryBudget",
                        "share 0 to 1, perSecond 0 to 1e6, most 1 to 1e6",
                    ));
                }
                Some(RetryBudgetConfig { ratio: share, min_per_second: per_second, max_tokens: most })
            }
        };
        let bound =
            |at: &str, value: Option<usize>, default: usize, range: std::ops::RangeInclusive<usize>| {
                let value = value.unwrap_or(default);
                let reason = || format!("{value}: {} to {}", range.start(), range.end());
                if range.contains(&value) {
                    Ok(value)
                } else {
                    Err(Problem::new(at, reason()))
                }
            };
        let clamp = bound("flaxhead.clamp", own.clamp, CLAMP, 1..=1_000)?;
        let wanted = file.connection_scaling.map(|scaling| scaling.max_connections_per_subchannel);
        let wanted = bound("connectionScaling.maxConnectionsPerSubchannel", wanted, 1, 1..=usize::MAX)?;
        let default = IdempotencyCacheConfig::default();
        let entries = bound("flaxhead.memory.entries", own.memory.entries, default.max_entries, 1..=1 << 24)?;
        let retention = match &own.memory.keep {
            None => default.retention,
            Some(text) => duration("flaxhead.memory.keep", text)?.as_micros() as u64,
        };
        let connect_timeout = match &own.connect_timeout {
            None => Duration::from_millis(250),
            Some(text) => duration("flaxhead.connectTimeout", text)?,
        };
        let name = |at: &str, name: Option<String>, default: &'static str| match name {
            None => Ok(HeaderName::from_static(default)),
            Some(name) => HeaderName::try_from(&name)
                .map_err(|_| Problem::new(at, format!("{name}: no metadata's name"))),
        };
        let mut config = ServiceConfig {
            budget,
            memory: IdempotencyCacheConfig { max_entries: entries, retention },
            connections_most: wanted.min(clamp),
            connect_timeout,
            open_most: bound("flaxhead.maxOpenCalls", own.max_open_calls, 16_384, 1..=1 << 20)?,
            message_most: bound("flaxhead.maxMessageBytes", own.max_message_bytes, 4 << 20, 1..=64 << 20)?,
            id: name("flaxhead.idMetadata", own.id_metadata, "x-call-id")?,
            key: name("flaxhead.keyMetadata", own.key_metadata, "idempotency-key")?,
            tenant: name("flaxhead.tenantMetadata", own.tenant_metadata, "x-caller")?,
            settings,
            classes,
            tenants,
            methods: HashMap::new(),
        };
        for (place, method) in file.method_config.into_iter().enumerate() {
            config.add(&format!("methodConfig[{place}]"), method)?;
        }
        Ok(config)
    }

    fn add(&mut self, at: &str, file: MethodFile) -> Result<(), Problem> {
        if file.hedging_policy.is_some() {
            return Err(Problem::new(
                format!("{at}.hedgingPolicy"),
                "not supported: a call has one attempt out at a time",
            ));
        }
        if file.max_request_message_bytes.is_some() || file.max_response_message_bytes.is_some() {
            return Err(Problem::new(at, "message sizes are bounded by flaxhead.maxMessageBytes"));
        }
        let class = file.class.ok_or_else(|| Problem::new(format!("{at}.class"), "missing"))?;
        let place = self.classes.iter().position(|known| *known == class);
        let place = place.ok_or_else(|| {
            Problem::new(format!("{at}.class"), format!("{class}: no class of the settings"))
        })?;
        let spec = self.settings.classes[place];
        let most = Duration::from_micros(spec.deadline);
        let timeout = match &file.timeout {
            None => most,
            Some(text) => duration(&format!("{at}.timeout"), text)?.min(most),
        };
        let mut method = Method {
            class: ClassId(place),
            timeout,
            attempts_most: self.settings.limits.max_attempts.max(1),
            retryable: None,
        };
        if let Some(retry) = file.retry_policy {
            let at = format!("{at}.retryPolicy");
            if spec.idempotency == Idempotency::NonIdempotent {
                return Err(Problem::new(at, format!("calls of class {class} must not run twice")));
            }
            let codes = retry.check(&at)?;
            method.attempts_most = method.attempts_most.min(retry.max_attempts.min(ATTEMPTS_MOST));
            method.retryable = Some(codes);
        }
        if file.name.is_empty() {
            return Err(Problem::new(format!("{at}.name"), "names no method"));
        }
        for name in file.name {
            if name.service.is_empty() && !name.method.is_empty() {
                return Err(Problem::new(
                    format!("{at}.name"),
                    format!("{}: a method without a service", name.method),
                ));
            }
            let key = key(&name.service, &name.method);
            if self.methods.insert(key.clone(), method.clone()).is_some() {
                return Err(Problem::new(format!("{at}.name"), format!("{key:?} stands there twice")));
            }
        }
        Ok(())
    }

    /// How calls of `/service/method` are treated: as the method's own entry says, else its service's, else the one
    /// with an empty name. `None`: there is none.
    pub fn method(&self, path: &str) -> Option<&Method> {
        let (service, method) = path.strip_prefix('/')?.split_once('/')?;
        let names = [key(service, method), key(service, ""), key("", "")];
        names.iter().find_map(|name| self.methods.get(name))
    }

    /// Whether a class may run again.
    pub fn repeat(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(class.0).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }
}

fn key(service: &str, method: &str) -> String {
    format!("{service}/{method}")
}

impl RetryFile {
    /// Its statuses. How long to pause the decision module says; those figures are checked all the same.
    fn check(&self, at: &str) -> Result<Arc<[Code]>, Problem> {
        if self.max_attempts < 2 {
            return Err(Problem::new(
                format!("{at}.maxAttempts"),
                format!("{}: at least 2", self.max_attempts),
            ));
        }
        let first = duration(&format!("{at}.initialBackoff"), &self.initial_backoff)?;
        if duration(&format!("{at}.maxBackoff"), &self.max_backoff)? < first {
            return Err(Problem::new(format!("{at}.maxBackoff"), "below initialBackoff"));
        }
        if !(self.backoff_multiplier > 0.0 && self.backoff_multiplier.is_finite()) {
            return Err(Problem::new(format!("{at}.backoffMultiplier"), "not above 0"));
        }
        let code = |status: &StatusFile| {
            let (code, text) = match status {
                StatusFile::Name(name) => (Code::from_name(name), name.clone()),
                StatusFile::Number(number) => (Code::from_number(*number), number.to_string()),
            };
            let at = format!("{at}.retryableStatusCodes");
            code.filter(|code| *code != Code::Ok)
                .ok_or_else(|| Problem::new(at, format!("{text}: no status of a failure")))
        };
        let codes: Vec<Code> = self.retryable_status_codes.iter().map(code).collect::<Result<_, _>>()?;
        if codes.is_empty() {
            return Err(Problem::new(format!("{at}.retryableStatusCodes"), "names no status"));
        }
        Ok(codes.into())
    }
}

/// A duration as JSON has protobuf's: seconds with up to nine decimals and an `s`.
fn duration(at: &str, text: &str) -> Result<Duration, Problem> {
    let bad = || Problem::new(at, format!("{text}: seconds such as 1.5s, above 0"));
    let number = text.strip_suffix('s').ok_or_else(bad)?;
    if !number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return Err(bad());
    }
    let seconds: f64 = number.parse().map_err(|_| bad())?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|d| !d.is_zero() && d.as_secs() < 1 << 32)
        .ok_or_else(bad)
}

#[cfg(test)]
mod tests;
