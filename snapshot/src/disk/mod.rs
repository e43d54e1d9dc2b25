//! The disk: read once at the start, written by a thread of its own. Nothing else waits for either.

mod clock;
mod directory;
mod fault;
mod replace;
mod shared;
mod writer;
mod writer_thread;

pub use clock::now;
pub use directory::SnapshotDirectory;
pub use fault::DiskFault;
pub use replace::{replace, ReplaceableFile};
pub use shared::WriteStats;
pub use writer::SnapshotWriter;
pub use writer_thread::WriterThread;

use crate::format;
use crate::rejection::Rejection;
use crate::snapshot::Snapshot;
use crate::validation::{validate, AgeLimits, Identity, RecoveredState};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// How long a start waits for the stored snapshot. A disk that does not respond must not keep a proxy from serving.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How far in the future a file may have been written: clocks that are synchronized are set by less.
const MAX_AHEAD_MS: u64 = 1_000;
/// Writes within the maximum age, so that the age of a file tells when its process last ran.
const HEARTBEATS_PER_MAX_AGE: u32 = 6;
/// Minimum time from one write to the next.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How a proxy's store is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// The directory. It may hold the files of many proxies, each under its name.
    pub directory: PathBuf,
    /// The proxy.
    pub owner: Identity,
    /// Maximum age of what is recovered.
    pub max_age: Duration,
}

/// A store that is open.
#[derive(Debug)]
pub struct OpenedStore {
    /// Takes what is to be stored.
    pub writer: SnapshotWriter,
    /// What the process before stored, or why that counts as lost.
    pub recovered: Result<RecoveredState, Rejection>,
}

impl StoreOptions {
    /// Reads what is stored, and starts the thread that writes. A directory that cannot be used is no error: it is told by
    /// `recovered` and in the log, and retried for as long as the process runs.
    ///
    /// # Errors
    ///
    /// The system's, where it gives no thread.
    pub fn open(self) -> std::io::Result<OpenedStore> {
        let StoreOptions { directory, owner, max_age } = self;
        let max_age_ms = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX);
        let limits = AgeLimits { max_age_ms, max_ahead_ms: MAX_AHEAD_MS };
        let heartbeat = (max_age / HEARTBEATS_PER_MAX_AGE).max(MIN_WRITE_INTERVAL);
        let writer = SnapshotWriter::new(MIN_WRITE_INTERVAL, heartbeat);
        let (sender, receiver) = mpsc::sync_channel(1);
        let writer_thread = writer.thread(owner.clone(), limits);
        thread::Builder::new().name("state".to_owned()).spawn(move || {
            let mut directory = SnapshotDirectory::new(directory, &owner.proxy);
            let read = read(&mut directory);
            let previous = read.as_ref().map_or(0, |snapshot| snapshot.header.incarnation);
            let recovered = read.and_then(|snapshot| validate(snapshot, &owner, now(), limits));
            if let Ok(recovered) = &recovered {
                writer_thread.carry_over(recovered);
            }
            // The start may have given up waiting.
            let _ = sender.send(recovered);
            writer_thread.run(directory, previous);
        })?;
        let timed_out = || Rejection::Unreadable(format!("the disk does not answer within {READ_TIMEOUT:?}"));
        let recovered = receiver.recv_timeout(READ_TIMEOUT).unwrap_or_else(|_| Err(timed_out()));
        Ok(OpenedStore { writer, recovered })
    }
}

fn read(directory: &mut SnapshotDirectory) -> Result<Snapshot, Rejection> {
    match directory.prepare() {
        Err(DiskFault::InUse) => return Err(Rejection::InUse),
        Err(fault) => return Err(Rejection::Unreadable(fault.to_string())),
        Ok(()) => {}
    }
    format::decode(&directory.read()?)
}

/// The file in which a proxy of this name stores its state.
pub fn file(directory: &Path, proxy: &str) -> PathBuf {
    directory.join(format!("{}.state", directory::stem(proxy)))
}
