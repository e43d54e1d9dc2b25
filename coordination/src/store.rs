//! Storage of a lease machine's state on disk, and tracking of which writes have completed.

use flaxhead_lease::{Application, Machine, Micros, PersistentState, PersistentStateVersion};
use flaxhead_snapshot::{AsOf, Part, RecoveredState, Rejection, SnapshotWriter};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Version of the encoding of the stored state; another version is rejected on loading.
const FORMAT_VERSION: u16 = 1;
/// Maximum age of the last write. An unchanged state is written again after it, because the durations in the
/// state have advanced.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of tracked writes that are not on disk yet. When full, a new write replaces the newest one.
const MAX_PENDING_WRITES: usize = 16;

/// State that the previous process of this name stored on disk.
#[derive(Debug)]
pub(crate) struct PreviousState<A: Application> {
    /// Loaded state; `None`: none was stored, or it could not be decoded.
    pub state: Option<PersistentState<A>>,
    /// Time since the state was stored, in microseconds; meaningless without a loaded state.
    pub age: Micros,
}

/// Write that has been passed to the writer and is not known to be on disk yet.
#[derive(Debug)]
struct PendingWrite {
    /// Number that the writer gave the write; numbers increase.
    number: u64,
    version: PersistentStateVersion,
}

/// Version and time of the last write, to decide whether another is due.
#[derive(Debug)]
struct LastWrite {
    version: PersistentStateVersion,
    written_at: Instant,
}

/// Storage of the lease machine's state of one application, as one part of the process's snapshot.
#[derive(Debug)]
pub struct StateStore<A: Application> {
    writer: SnapshotWriter,
    name: &'static str,
    previous: Option<PersistentState<A>>,
    previous_age: Micros,
    last_write: Option<LastWrite>,
    /// Writes that are not known to be on disk yet, from the oldest to the newest.
    pending_writes: VecDeque<PendingWrite>,
    /// True if the writer rejected the last write, so that the error is logged only once.
    last_write_failed: bool,
}

/// Result of [`StateStore::open`], which returns a store even if it rejects the stored state.
#[derive(Debug)]
pub struct OpenedStore<A: Application> {
    /// Store for the state of this process. It is usable even if no earlier state was loaded.
    pub store: StateStore<A>,
    /// Reason why the stored state was rejected and counts as lost; `None`: it was loaded, or none was
    /// stored.
    pub rejection: Option<Rejection>,
}

impl<A: Application> StateStore<A> {
    /// Opens the store of the application `name`, and decodes the state that the previous process stored, if
    /// `recovered` contains it.
    pub fn open(
        writer: SnapshotWriter,
        name: &'static str,
        recovered: Option<&mut RecoveredState>,
    ) -> OpenedStore<A> {
        let mut store = StateStore {
            writer,
            name,
            previous: None,
            previous_age: 0,
            last_write: None,
            pending_writes: VecDeque::new(),
            last_write_failed: false,
        };
        let rejection = recovered.and_then(|recovered| store.recover(recovered).err());
        OpenedStore { store, rejection }
    }

    /// Decodes this application's part of the recovered snapshot.
    fn recover(&mut self, recovered: &mut RecoveredState) -> Result<(), Rejection> {
        let part = recovered.take(self.name, FORMAT_VERSION)?;
        match postcard::take_from_bytes::<PersistentState<A>>(&part.bytes) {
            Ok((state, [])) => {
                self.previous = Some(state);
                self.previous_age = part.age_ms.saturating_mul(1_000);
                Ok(())
            }
            Ok(_) | Err(_) => Err(Rejection::UnreadablePart(self.name.to_owned())),
        }
    }

    /// Time since the loaded state was stored; `None`: none was loaded.
    pub fn recovered_age(&self) -> Option<Duration> {
        self.previous.as_ref().map(|_| Duration::from_micros(self.previous_age))
    }

    /// Removes and returns the state that was loaded from disk. Later calls return none.
    pub(crate) fn take_previous(&mut self) -> PreviousState<A> {
        PreviousState { state: self.previous.take(), age: self.previous_age }
    }

    /// Registers a callback that the writing thread calls after each write has reached the disk.
    pub(crate) fn on_write(&self, callback: impl Fn() + Send + 'static) {
        self.writer.on_write(callback);
    }

    /// Passes the lease machine's state to the disk writer, if it has changed since the last write or
    /// [`REFRESH_INTERVAL`] has passed.
    pub(crate) fn save(&mut self, machine: &Machine<A>, now: Micros) {
        let Some(version) = machine.persistent_state_version() else { return };
        let is_written =
            |last: &LastWrite| last.version == version && last.written_at.elapsed() < REFRESH_INTERVAL;
        if self.last_write.as_ref().is_some_and(is_written) {
            return;
        }
        let state = machine.persistent_state(now);
        // Encoding a state into memory does not fail.
        let Ok(bytes) = postcard::to_allocvec(&state) else { return };
        let part = Part {
            name: self.name.to_owned(),
            version: FORMAT_VERSION,
            ballot: state.highest_ballot.as_ref().map_or(0, |ballot| ballot.round),
            incarnation: machine.me().incarnation,
            age_ms: 0,
            bytes,
        };
        self.last_write = Some(LastWrite { version: version.clone(), written_at: Instant::now() });
        match self.writer.put(part, AsOf::Now) {
            Ok(number) => {
                if self.pending_writes.len() >= MAX_PENDING_WRITES {
                    self.pending_writes.pop_back();
                }
                self.pending_writes.push_back(PendingWrite { number, version });
                self.last_write_failed = false;
            }
            // The process does not report the state to the leader as applied until a later write succeeds.
            // The error is logged once.
            Err(error) => {
                if !std::mem::replace(&mut self.last_write_failed, true) {
                    let name = self.name;
                    tracing::info!(
                        "state: cannot store the part {name}; \
                         its changes stay unconfirmed until a write succeeds: {error}"
                    );
                }
            }
        }
    }

    /// Returns the version of the newest state that has reached the disk since the last call; `None`: none
    /// has.
    pub(crate) fn take_persisted(&mut self) -> Option<PersistentStateVersion> {
        let durable = self.writer.durable();
        let durable_count = self.pending_writes.iter().take_while(|write| write.number <= durable).count();
        self.pending_writes.drain(..durable_count).next_back().map(|write| write.version)
    }
}
