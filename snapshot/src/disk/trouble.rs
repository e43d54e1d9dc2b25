//! Why something is not written.

use std::io::{Error, ErrorKind};
use thiserror::Error;

/// Why the disk does not take it. The message says what an operator can do; the proxy serves on and tries again.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Trouble {
    /// Another process holds the lock.
    #[error("another process keeps its state there. Give each proxy a name or a folder of its own, or end that one")]
    InUse,
    /// No room.
    #[error("the disk is full. Make room")]
    Full,
    /// Not allowed.
    #[error("not allowed. Let the proxy's user read and write the folder and what is in it")]
    Denied,
    /// The file system takes nothing.
    #[error("the file system is read-only. Look after the disk, then mount it to be written")]
    ReadOnly,
    /// The folder is not there, and cannot be made.
    #[error("there is no such folder and it cannot be made. Make it, or mend [state] dir")]
    NoFolder,
    /// Something else that the system says.
    #[error("{0}. Look after the disk")]
    Disk(String),
    /// What is to be kept does not fit.
    #[error("{0}. Report it as a defect of flaxhead")]
    Unfit(#[from] crate::form::Unfit),
}

impl From<Error> for Trouble {
    fn from(error: Error) -> Trouble {
        match error.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => Trouble::Full,
            ErrorKind::PermissionDenied => Trouble::Denied,
            ErrorKind::ReadOnlyFilesystem => Trouble::ReadOnly,
            ErrorKind::NotFound | ErrorKind::NotADirectory | ErrorKind::AlreadyExists => Trouble::NoFolder,
            _ => Trouble::Disk(error.to_string()),
        }
    }
}
