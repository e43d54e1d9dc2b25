//! What can be wrong with a trail.

use std::fs::TryLockError;
use std::io;
use std::path::PathBuf;

/// Why the trail cannot be opened: the start ends with it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be gone on with.
    #[error("[audit] {}: {reason}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: Unusable,
    },
    /// The thread that writes cannot be started.
    #[error("[audit] {0}")]
    Thread(io::Error),
}

/// What is wrong with a trail's file. A trail is never begun over one that is there: what it recorded would be lost.
#[derive(Debug, thiserror::Error)]
pub enum Unusable {
    /// It cannot be made, opened or read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Two chains in one file could never be checked.
    #[error("another process writes to it ({0}); name another dir for this one")]
    Held(TryLockError),
    /// No line of a trail is as long.
    #[error("it ends in a line that is too long; move it away to begin another")]
    TooLong,
    /// Something else was written behind the trail, or the file is another program's.
    #[error("its last line is no line of ours: {0}; move it away to begin another")]
    NotOurs(serde_json::Error),
    /// The last line was edited.
    #[error("its last line is not as it was written: {0}; keep it and move it away to begin another")]
    Changed(Break),
}

/// Why a line is not the next of its chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Break {
    /// It has not the form.
    #[error("it is no line of an audit trail")]
    NoLine,
    /// Its number is not the next: a line was removed, added or moved.
    #[error("another line stands in its place")]
    Number,
    /// It does not follow the line before it.
    #[error("its prev is not the hash before it")]
    Prev,
    /// It was edited.
    #[error("its text is not what its hash was made of")]
    Text,
    /// Its end of line is missing.
    #[error("the last line is cut off")]
    CutOff,
    /// The lines before it are in another file.
    #[error("the file begins mid-chain; --from-hash names the hash before it")]
    MidChain,
}
