//! What the proxy is told at start: the file that `ROUTER_CONFIG` names.

mod check;

pub use check::Unworkable;

use crate::memory::MemoryPlan;
use flaxhead_engine::EndpointList;
use flaxhead_policy::Settings;
use flaxhead_settings::SettingsError;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Descriptors for all but connections of clients and hosts: standard streams, event queue, listener, discovery,
/// and some to spare.
const SPARE_DESCRIPTORS: usize = 32;

/// The unit of the memory limit.
const BYTES_PER_MB: usize = 1_000_000;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// Its file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// It is no JSON, or lacks something.
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    /// The seed is no number.
    #[error("seed: {0}")]
    Seed(#[from] ParseIntError),
    /// The decision module cannot be told these settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings of connections are of another kind.
    #[error("settings: {0}")]
    Connections(serde_json::Error),
    /// They can be read, and no request could be served with them.
    #[error(transparent)]
    Unworkable(#[from] Unworkable),
    /// Nothing would be left for connections.
    #[error("limits: {0} sockets are too few; at least {least} are needed", least = 2 * SPARE_DESCRIPTORS)]
    Sockets(usize),
}

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {problem}", file.display())]
pub struct Error {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    pub problem: Problem,
}

/// The configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name, the same after a restart.
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub sockets: usize,
    /// The part of a core that the process may use.
    pub cores: f64,
    /// Most bytes of memory that the process may use.
    pub memory_bytes: usize,
    /// The hosts as this proxy last had them; maybe old.
    pub known: Option<EndpointList>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// When a connection must be up.
    pub connect_timeout: Duration,
    /// How long hosts keep an idle connection.
    pub conn_idle: Duration,
    /// Descriptors that the features in use need.
    pub side_descriptors: usize,
    /// Memory that the features in use take at the start.
    pub feature_bytes: usize,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointList>,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
    cores: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1_024, memory_mb: 192, cores: 1.0 }
    }
}

/// The part of the settings that is about connections; the rest is the decision module's.
#[derive(Deserialize)]
struct Site {
    #[serde(default)]
    limits: Connections,
}

#[derive(Deserialize)]
#[serde(default)]
struct Connections {
    connect_timeout_us: u64,
    conn_idle_us: u64,
}

impl Default for Connections {
    fn default() -> Self {
        Connections { connect_timeout_us: 250_000, conn_idle_us: 15_000_000 }
    }
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// Where it cannot be read, or its text cannot be used.
    pub fn load(path: &Path) -> Result<Config, Error> {
        let read = std::fs::read_to_string(path).map_err(Problem::from);
        read.and_then(|text| Config::parse(&text)).map_err(|problem| Error { file: path.to_owned(), problem })
    }

    /// Reads a configuration's text.
    ///
    /// # Errors
    ///
    /// Where it is no JSON of the platform's form, or names what a proxy cannot run with.
    pub fn parse(text: &str) -> Result<Config, Problem> {
        let file: File = serde_json::from_str(text)?;
        let seed = u64::from_str_radix(&file.seed, 16)?;
        let (settings, classes, tenants) = flaxhead_settings::parse(&file.settings)?;
        let site = Site::deserialize(&file.settings).map_err(Problem::Connections)?.limits;
        if file.limits.sockets < 2 * SPARE_DESCRIPTORS {
            return Err(Problem::Sockets(file.limits.sockets));
        }
        let config = Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            cores: file.limits.cores,
            memory_bytes: file.limits.memory_mb.saturating_mul(BYTES_PER_MB),
            known: file.known,
            settings,
            classes,
            tenants,
            connect_timeout: Duration::from_micros(site.connect_timeout_us),
            conn_idle: Duration::from_micros(site.conn_idle_us),
            side_descriptors: 0,
            feature_bytes: 0,
        };
        config.check()?;
        Ok(config)
    }

    /// The longest time that a client waits for an answer.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        Duration::from_micros(deadlines.max().unwrap_or_default())
    }

    /// Most connections to clients, and as many to hosts.
    pub fn connections_each_way(&self) -> usize {
        let by_descriptors = (self.sockets - SPARE_DESCRIPTORS - self.side_descriptors) / 2;
        by_descriptors.min(self.memory_plan().connections_each_way)
    }

    /// How the memory limit is divided.
    pub fn memory_plan(&self) -> MemoryPlan {
        MemoryPlan::new(self.memory_bytes, self.feature_bytes)
    }
}
