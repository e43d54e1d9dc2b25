//! Capture: what the decision module was fed and what it chose, in a ring of files held in memory, for a replay.
//!
//! A file begins with the seed (eight bytes, big-endian) and goes on in frames: a length of three bytes, then
//! that many bytes in postcard's encoding. The first frame is a `Version`, the second an `Opening`, the others
//! are `Record`s (`form.rs`). A frame of length 0 ends a file that was written out whole.

mod dumps;
mod form;
pub mod replay;
mod ring;
mod watch;

use super::bounds::{at_least, folder};
use super::sections::{Problem, Section};
pub use dumps::Dumps;
pub use form::Item;
pub use ring::Recorder;
use std::path::PathBuf;
pub use watch::CaptureObserver;

/// Most bytes that all buffers may take: the ring, and the file that a dump has in hand. What is left of 1 MB is
/// for a dump's lines on their way.
const MAX_BUFFER_BYTES: usize = 984_000;

/// What `[capture]` holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Files of the ring.
    pub files: usize,
    /// Bytes of each.
    pub file_bytes: usize,
    /// Where a dump goes; `None`: to standard error.
    pub dir: Option<PathBuf>,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let files = section.take_if("files", at_least(2))?.unwrap_or(4);
        let file_kb = section.take_if("file_kb", at_least(8))?.unwrap_or(192);
        let dir = section.take_if("dir", folder)?;
        let all = files.checked_add(1).and_then(|all| all.checked_mul(file_kb)?.checked_mul(1 << 10));
        if all.is_none_or(|all| all > MAX_BUFFER_BYTES) {
            let reason =
                format!("{files} files of {file_kb} KiB, and one more while they are dumped, pass 1 MB");
            return Err(section.problem(reason));
        }
        Ok(Settings { files, file_bytes: file_kb << 10, dir })
    }

    /// What the ring takes, and the file that a dump has in hand.
    pub fn memory_bytes(&self) -> usize {
        (self.files + 1) * self.file_bytes
    }
}
