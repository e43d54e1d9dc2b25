//! The operators' own file: an INI or TOML file that switches features on, beside the platform's configuration. It
//! is read at start only, and whatever in it is not understood ends the start.

pub mod access;
pub mod audit;
mod bounds;
pub mod capture;
pub mod hosts;
pub mod maintenance;
mod peers;
pub mod quota;
mod sections;
pub mod snapshot;
pub mod status;

use crate::output;
use flaxhead_policy::Access;
pub use sections::{Problem, Section};
use std::io;
use std::path::{Path, PathBuf};

/// Why an operators' file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It cannot be read.
    #[error("{}: {reason}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why not.
        reason: io::Error,
    },
    /// It holds what is not understood.
    #[error("{}:{line}: {reason}", file.display())]
    Problem {
        /// The file.
        file: PathBuf,
        /// In which line.
        line: u32,
        /// What.
        reason: String,
    },
}

/// The features that are on, with their settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    /// The status page.
    pub status: Option<status::Settings>,
    /// The audit trail.
    pub audit: Option<audit::Settings>,
    /// Capture.
    pub capture: Option<capture::Settings>,
    /// Address lists.
    pub access: Option<Access>,
    /// The membership among client proxies.
    pub peers: Option<flaxhead_peers::Settings>,
    /// Hosts taken out for work.
    pub maintenance: Option<flaxhead_maintenance_driver::Settings>,
    /// Connection capacity that tenants share.
    pub quota: Option<quota::Settings>,
    /// What is remembered on disk.
    pub snapshot: Option<snapshot::Settings>,
    /// The log's form.
    pub log: Option<output::Form>,
}

impl Features {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Where it cannot be read, or holds what is not understood: then with its line.
    pub fn load(path: &Path) -> Result<Features, Error> {
        let file = path.to_owned();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(reason) => return Err(Error::Unreadable { file, reason }),
        };
        let is_toml = path.extension().is_some_and(|extension| extension == "toml");
        let features = if is_toml { Features::parse_toml(&text) } else { Features::parse(&text) };
        let mut features =
            features.map_err(|Problem { line, reason }| Error::Problem { file, line, reason })?;
        // Whether it fits the platform's settings is known later, and told with the place.
        features.quota.iter_mut().for_each(|shares| shares.file = path.to_owned());
        Ok(features)
    }

    /// Reads an INI file's text.
    pub fn parse(text: &str) -> Result<Features, Problem> {
        Features::of(sections::sections(text)?)
    }

    /// Reads a TOML file's text: the same sections and keys, lists as arrays.
    pub fn parse_toml(text: &str) -> Result<Features, Problem> {
        Features::of(sections::tables(text)?)
    }

    fn of(sections: Vec<Section>) -> Result<Features, Problem> {
        let mut features = Features::default();
        let (mut work_at, mut shares_at) = (0, 0);
        for mut section in sections {
            match section.name.as_str() {
                "status" => features.status = Some(status::Settings::read(&mut section)?),
                "audit" => features.audit = Some(audit::Settings::read(&mut section)?),
                "capture" => features.capture = Some(capture::Settings::read(&mut section)?),
                "access" => features.access = Some(access::read(&mut section)?),
                "peers" => features.peers = Some(peers::read(&mut section)?),
                "work" => {
                    work_at = section.line;
                    features.maintenance = Some(maintenance::read(&mut section)?);
                }
                "shares" => {
                    shares_at = section.line;
                    features.quota = Some(quota::Settings::read(&mut section)?);
                }
                "state" => features.snapshot = Some(snapshot::Settings::read(&mut section)?),
                "log" => features.log = Some(section.take("format")?.unwrap_or_default()),
                name => return Err(Problem::new(section.line, format!("unknown section [{name}]"))),
            }
            section.finish()?;
        }
        if features.maintenance.is_some() && features.peers.is_none() {
            return Err(Problem::new(work_at, "[work] needs [peers]"));
        }
        if features.quota.is_some() && features.peers.is_none() {
            return Err(Problem::new(shares_at, "[shares] needs [peers]"));
        }
        Ok(features)
    }
}

#[cfg(test)]
mod tests;
