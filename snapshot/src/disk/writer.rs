//! The handle by which parts are stored. The newest counts: a part that is replaced before its write begins is not written
//! at all.

use super::shared::{Shared, StoredPart, WriteStats};
use super::writer_thread::WriterThread;
use crate::format::{self, EncodeError, MAX_FILE_BYTES};
use crate::snapshot::{AsOf, Part, MAX_PARTS};
use crate::validation::{AgeLimits, Identity};
use std::sync::Arc;
use std::time::Duration;

/// Ends the writing thread when the last handle is dropped.
#[derive(Debug)]
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.state().is_stopping = true;
        self.0.changed.notify_all();
    }
}

/// Takes the parts that are to be stored. Cheap to clone; no method waits for the disk but [`SnapshotWriter::stop`].
#[derive(Clone, Debug)]
pub struct SnapshotWriter(Arc<StopOnDrop>);

impl SnapshotWriter {
    /// Stores parts from now on. A write follows a change, `min_interval` after the one before at the earliest, and there
    /// is one each `heartbeat` in any case.
    pub fn new(min_interval: Duration, heartbeat: Duration) -> SnapshotWriter {
        SnapshotWriter(Arc::new(StopOnDrop(Arc::new(Shared::new(min_interval, heartbeat)))))
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0 .0
    }

    /// What a thread is to run, to write for this handle.
    pub fn thread(&self, owner: Identity, limits: AgeLimits) -> WriterThread {
        WriterThread::new(self.shared().clone(), owner, limits)
    }

    /// Has `callback` called after each file that is on the disk, by the thread that writes: it must not wait.
    pub fn on_write(&self, callback: impl Fn() + Send + 'static) {
        self.shared().state().on_write.0.push(Box::new(callback));
    }

    /// The number of the last change that is on the disk, and with it all before it. Others may rely on a restart to know
    /// of a change only once this has reached it.
    pub fn durable(&self) -> u64 {
        self.shared().state().written
    }

    /// Stores a part, in place of the one with its name. Returns the number of the change, for
    /// [`SnapshotWriter::durable`].
    ///
    /// # Errors
    ///
    /// Where it does not fit beside the others: then the part with its name is dropped too, as it is no longer valid.
    pub fn put(&self, part: Part, as_of: AsOf) -> Result<u64, EncodeError> {
        let shared = self.shared();
        let mut state = shared.state();
        let is_unchanged =
            |stored: &StoredPart| *stored.part == part && (stored.as_of, as_of) == (AsOf::Now, AsOf::Now);
        if state.parts.get(&part.name).is_some_and(is_unchanged) {
            return Ok(state.changes);
        }
        state.parts.remove(&part.name);
        state.changes += 1;
        let change = state.changes;
        let others = state.parts.values().map(|stored| stored.part.bytes.len());
        let fits = check_fit(&part, others.sum(), state.parts.len());
        if fits.is_ok() {
            state.parts.insert(part.name.clone(), StoredPart { part: Arc::new(part), as_of });
        }
        drop(state);
        shared.changed.notify_all();
        fits.map(|()| change)
    }

    /// What was written so far.
    pub fn stats(&self) -> WriteStats {
        self.shared().state().stats.clone()
    }

    /// Has what is not written yet written, and ends the thread. Waits no longer than `timeout`.
    pub fn stop(&self, timeout: Duration) {
        let shared = self.shared();
        let mut state = shared.state();
        state.is_stopping = true;
        shared.changed.notify_all();
        // Whether it came to its end or not, the proxy exits.
        drop(shared.changed.wait_timeout_while(state, timeout, |state| !state.has_ended));
    }
}

/// Whether a part fits beside others of together so many bytes. All else in a file takes far less than the half of it that
/// is left free here.
fn check_fit(part: &Part, other_bytes: usize, other_parts: usize) -> Result<(), EncodeError> {
    format::check_part(part)?;
    let bytes = other_bytes + part.bytes.len();
    if bytes > MAX_FILE_BYTES / 2 {
        return Err(EncodeError::Total(bytes));
    }
    if other_parts == MAX_PARTS {
        return Err(EncodeError::Parts(MAX_PARTS + 1));
    }
    Ok(())
}
