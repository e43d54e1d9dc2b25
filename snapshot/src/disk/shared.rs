//! What the handles and the writing thread share.

use super::fault::DiskFault;
use crate::snapshot::{AsOf, Part};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// What was written so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteStats {
    /// Files that are on the disk.
    pub writes: u64,
    /// Files that could not be written.
    pub failures: u64,
    /// Why the last one could not; `None` after one that could.
    pub fault: Option<DiskFault>,
}

/// Called by the writing thread after each file that is on the disk.
pub(super) type Callback = Box<dyn Fn() + Send>;

/// The callbacks, which have no form in debug output but their number.
#[derive(Default)]
pub(super) struct Callbacks(pub Vec<Callback>);

impl fmt::Debug for Callbacks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.len())
    }
}

/// A part that is to be stored.
#[derive(Clone, Debug)]
pub(super) struct StoredPart {
    pub part: Arc<Part>,
    pub as_of: AsOf,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub parts: BTreeMap<String, StoredPart>,
    /// The number of the last change.
    pub changes: u64,
    /// The number of the last change that the file has.
    pub written: u64,
    pub stats: WriteStats,
    pub on_write: Callbacks,
    pub is_stopping: bool,
    pub has_ended: bool,
}

#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    /// Notified of changes, of the stop, and of the end.
    pub changed: Condvar,
    /// Minimum time from one write to the next.
    pub min_interval: Duration,
    /// Maximum time from one write to the next.
    pub heartbeat: Duration,
}

impl Shared {
    pub fn new(min_interval: Duration, heartbeat: Duration) -> Shared {
        Shared { state: Mutex::default(), changed: Condvar::new(), min_interval, heartbeat }
    }

    /// Locks the state. Nothing is left half changed under the lock, so a panic elsewhere does it no harm.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
