//! A directory with a proxy's file, a new one beside it while that is written, and a lock.

use super::fault::DiskFault;
use super::replace::ReplaceableFile;
use crate::format::MAX_FILE_BYTES;
use crate::rejection::Rejection;
use std::fmt::Write as _;
use std::fs::{self, File, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

/// The files of one proxy in a directory.
#[derive(Debug)]
pub struct SnapshotDirectory {
    directory: PathBuf,
    stem: String,
    lock: Option<File>,
    new: Option<File>,
}

/// A proxy's name as the beginning of a file name. No two names lead to the same one.
pub(super) fn stem(proxy: &str) -> String {
    let mut stem = String::new();
    for byte in proxy.bytes() {
        match byte {
            b'-' | b'_' | b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' => stem.push(byte.into()),
            // Into memory: it cannot fail.
            _ => drop(write!(stem, "%{byte:02x}")),
        }
    }
    if stem.is_empty() {
        stem.push('%');
    }
    stem
}

impl SnapshotDirectory {
    /// Opens nothing yet.
    pub fn new(directory: PathBuf, proxy: &str) -> SnapshotDirectory {
        SnapshotDirectory { directory, stem: stem(proxy), lock: None, new: None }
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.directory.join(format!("{}.{extension}", self.stem))
    }

    /// The current file.
    pub fn file(&self) -> PathBuf {
        self.path("state")
    }

    /// Reads the current file, or one byte more than it may have.
    ///
    /// # Errors
    ///
    /// Where there is no file, or it cannot be read.
    pub fn read(&self) -> Result<Vec<u8>, Rejection> {
        let mut bytes = Vec::new();
        let read = File::open(self.file())
            .and_then(|file| file.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes));
        match read {
            Ok(_) => Ok(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => Err(Rejection::Missing),
            Err(error) => Err(Rejection::Unreadable(error.to_string())),
        }
    }

    /// Whether the lock that this process has is the one that others would take: the directory may have been replaced
    /// since.
    fn holds_lock(&self) -> bool {
        let is_current = |lock: &File| {
            let (own, current) = (lock.metadata().ok()?, fs::metadata(self.path("lock")).ok()?);
            Some((own.dev(), own.ino()) == (current.dev(), current.ino()))
        };
        self.lock.as_ref().and_then(is_current).unwrap_or(false)
    }
}

impl ReplaceableFile for SnapshotDirectory {
    fn prepare(&mut self) -> Result<(), DiskFault> {
        if self.holds_lock() {
            return Ok(());
        }
        self.lock = None;
        fs::create_dir_all(&self.directory)?;
        let lock = File::options().create(true).truncate(false).write(true).open(self.path("lock"))?;
        match lock.try_lock() {
            Ok(()) => self.lock = Some(lock),
            Err(TryLockError::WouldBlock) => return Err(DiskFault::InUse),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        Ok(())
    }

    fn write_new(&mut self, bytes: &[u8]) -> Result<(), DiskFault> {
        // One that a killed process left is overwritten.
        let mut new = File::create(self.path("new"))?;
        new.write_all(bytes)?;
        self.new = Some(new);
        Ok(())
    }

    fn sync_new(&mut self) -> Result<(), DiskFault> {
        Ok(self.new.take().map_or(Ok(()), |new| new.sync_all())?)
    }

    fn rename_new(&mut self) -> Result<(), DiskFault> {
        Ok(fs::rename(self.path("new"), self.file())?)
    }

    fn sync_directory(&mut self) -> Result<(), DiskFault> {
        Ok(File::open(&self.directory)?.sync_all()?)
    }
}
