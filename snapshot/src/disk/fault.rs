//! Why a snapshot is not written.

use std::io::{Error, ErrorKind};
use thiserror::Error;

/// Why a snapshot is not written. The message says what an operator can do; the proxy serves on and retries.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DiskFault {
    /// Another process holds the lock.
    #[error("another process keeps its state there. Give each proxy a name or a folder of its own, or end that one")]
    InUse,
    /// The disk is full.
    #[error("the disk is full. Make room")]
    Full,
    /// The proxy's user may not write there.
    #[error("not allowed. Let the proxy's user read and write the folder and what is in it")]
    Denied,
    /// The file system is read-only.
    #[error("the file system is read-only. Look after the disk, then mount it to be written")]
    ReadOnly,
    /// The directory does not exist, and cannot be created.
    #[error("there is no such folder and it cannot be made. Make it, or mend [state] dir")]
    NoDirectory,
    /// Another error of the system.
    #[error("{0}. Look after the disk")]
    Disk(String),
    /// The snapshot cannot be encoded.
    #[error("{0}. Report it as a defect of flaxhead")]
    Encode(#[from] crate::format::EncodeError),
}

impl From<Error> for DiskFault {
    fn from(error: Error) -> DiskFault {
        match error.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => DiskFault::Full,
            ErrorKind::PermissionDenied => DiskFault::Denied,
            ErrorKind::ReadOnlyFilesystem => DiskFault::ReadOnly,
            ErrorKind::NotFound | ErrorKind::NotADirectory | ErrorKind::AlreadyExists => {
                DiskFault::NoDirectory
            }
            _ => DiskFault::Disk(error.to_string()),
        }
    }
}
