//! The audit trail: one JSON line for each change of state, chained by hashes so that a line that is edited,
//! removed or moved shows. A thread writes them; what is noted while its queue is full is counted, and the chain
//! says so.

mod chain;
mod error;
mod file;
#[cfg(test)]
mod tests;
mod trail;
mod verify;

use super::bounds::folder;
use super::sections::{Problem, Section};
pub use chain::{Actor, FIRST_PREV};
pub use error::{Break, Error, Unusable};
use std::path::PathBuf;
pub use trail::Trail;
pub use verify::{verify, Verdict};

/// The file's name in its folder.
pub const FILE: &str = "audit.jsonl";

/// What `[audit]` holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The folder of the file; `None`: the lines go to standard error.
    pub dir: Option<PathBuf>,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let dir = section.take_if("dir", folder)?;
        Ok(Settings { dir })
    }
}
