//! A folder with a proxy's file, a new one beside it for as long as that is written, and a lock.

use super::place::Place;
use super::trouble::Trouble;
use crate::form::FILE_MOST;
use crate::refusal::Refusal;
use std::fmt::Write as _;
use std::fs::{self, File, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;

/// A proxy's part of a folder.
#[derive(Debug)]
pub struct Folder {
    dir: PathBuf,
    stem: String,
    lock: Option<File>,
    new: Option<File>,
}

/// A proxy's name as the beginning of a file's: no two names have one.
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

impl Folder {
    /// Opens nothing yet.
    pub fn new(dir: PathBuf, proxy: &str) -> Folder {
        Folder { dir, stem: stem(proxy), lock: None, new: None }
    }

    fn path(&self, end: &str) -> PathBuf {
        self.dir.join(format!("{}.{end}", self.stem))
    }

    /// The file that counts.
    pub fn file(&self) -> PathBuf {
        self.path("state")
    }

    /// Its bytes, or one more than it may have.
    pub fn read(&self) -> Result<Vec<u8>, Refusal> {
        let mut bytes = Vec::new();
        let read =
            File::open(self.file()).and_then(|file| file.take(FILE_MOST as u64 + 1).read_to_end(&mut bytes));
        match read {
            Ok(_) => Ok(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => Err(Refusal::Lost),
            Err(error) => Err(Refusal::Unreadable(error.to_string())),
        }
    }

    /// Whether the lock that is held is the one that others would take: somebody may have put a new folder in the place
    /// of the one that was opened.
    fn holds_lock(&self) -> bool {
        let same = |lock: &File| {
            let (held, there) = (lock.metadata().ok()?, fs::metadata(self.path("lock")).ok()?);
            Some((held.dev(), held.ino()) == (there.dev(), there.ino()))
        };
        self.lock.as_ref().and_then(same).unwrap_or(false)
    }
}

impl Place for Folder {
    fn ready(&mut self) -> Result<(), Trouble> {
        if self.holds_lock() {
            return Ok(());
        }
        self.lock = None;
        fs::create_dir_all(&self.dir)?;
        let lock = File::options().create(true).truncate(false).write(true).open(self.path("lock"))?;
        match lock.try_lock() {
            Ok(()) => self.lock = Some(lock),
            Err(TryLockError::WouldBlock) => return Err(Trouble::InUse),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        Ok(())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), Trouble> {
        // One that a killed process left is overwritten.
        let mut new = File::create(self.path("new"))?;
        new.write_all(bytes)?;
        self.new = Some(new);
        Ok(())
    }

    fn sync(&mut self) -> Result<(), Trouble> {
        Ok(self.new.take().map_or(Ok(()), |new| new.sync_all())?)
    }

    fn rename(&mut self) -> Result<(), Trouble> {
        Ok(fs::rename(self.path("new"), self.file())?)
    }

    fn sync_names(&mut self) -> Result<(), Trouble> {
        Ok(File::open(&self.dir)?.sync_all()?)
    }
}
