//! What cannot be replayed.

use flaxhead_policy::RestoreError;
use std::io;
use std::path::PathBuf;

/// Why a file cannot be replayed.
#[derive(Debug, thiserror::Error)]
#[error("{}: {problem}", file.display())]
pub struct Error {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    pub problem: Problem,
}

/// What is wrong with captured files.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// They cannot be read, or nothing is captured there.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// What follows is none of ours.
    #[error("what is captured does not begin with a version of flaxhead")]
    NoVersion,
    /// Another program wrote them, which may decide otherwise.
    #[error("written by {wrote:?}, this is {own}; --force replays it all the same")]
    Version {
        /// The program that wrote them, and the form.
        wrote: String,
        /// This program.
        own: String,
    },
    /// A file opens with what cannot be understood.
    #[error("the opening of a file cannot be read: {0}")]
    Opening(postcard::Error),
    /// The state that a file opens with cannot be gone on from.
    #[error("file {number} cannot be taken up: {reason}")]
    State {
        /// The file's number.
        number: u64,
        /// Why not.
        reason: RestoreError,
    },
}
