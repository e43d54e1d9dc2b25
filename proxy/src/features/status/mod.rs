//! The status page: which hosts were failing and with what, and the load of each class. It is rendered every now and then,
//! off the request path, and served on the side port as it was last rendered.

mod records;
mod server;
mod view;

pub use records::StatusRecorder;
pub use server::{StatusServer, StatusSources};
pub use view::{ClassLoad, HostSummary, StatusView};

use super::bounds::{port, within};
use super::sections::{Problem, Section};
use std::time::Duration;

/// Bounds of `refresh_ms`, and its default.
const MIN_REFRESH_MS: u64 = 10;
const MAX_REFRESH_MS: u64 = 3_600_000;
const DEFAULT_REFRESH_MS: u64 = 1_000;

/// What `[status]` configures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Port of the page, on the host that the proxy listens on; `None`: there is none.
    pub listen_port: Option<u16>,
    /// How often the page is rendered.
    pub refresh: Duration,
}

impl Settings {
    /// Takes them from the section.
    ///
    /// # Errors
    ///
    /// What is wrong, with its line.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let listen_port = section.take_if("listen_port", port)?;
        let refresh = section.take_if("refresh_ms", within(MIN_REFRESH_MS, MAX_REFRESH_MS))?;
        let refresh = Duration::from_millis(refresh.unwrap_or(DEFAULT_REFRESH_MS));
        Ok(Settings { listen_port, refresh })
    }
}

#[cfg(test)]
mod tests;
