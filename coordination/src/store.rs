//! Storage of a coordinator's state on disk, and tracking of the writes that the disk has confirmed.

use flaxhead_lease::{Application, Machine, Micros, PersistentState, PersistentStateVersion};
use flaxhead_snapshot::{AsOf, Part, RecoveredState, Rejection, SnapshotWriter};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Version of the encoding of the stored bytes.
const FORMAT_VERSION: u16 = 1;
/// Maximum time between two writes of an unchanged state, because the durations in it become outdated.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of writes that are tracked until the disk confirms them. When full, a new write replaces
/// the newest one.
const MAX_PENDING_WRITES: usize = 16;

/// State of the previous process, loaded from disk.
#[derive(Debug)]
pub(crate) struct PreviousState<A: Application> {
    /// Loaded state; `None`: none was stored, or it was rejected.
    pub state: Option<PersistentState<A>>,
    /// Age of the loaded state in microseconds.
    pub age: Micros,
}

/// Write that the disk has not confirmed yet.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    version: PersistentStateVersion,
}

/// Most recent write and its time.
#[derive(Debug)]
struct LastWrite {
    version: PersistentStateVersion,
    written_at: Instant,
}

/// Storage of the state of one application.
#[derive(Debug)]
pub struct StateStore<A: Application> {
    writer: SnapshotWriter,
    name: &'static str,
    previous: Option<PersistentState<A>>,
    previous_age: Micros,
    last_write: Option<LastWrite>,
    /// Ordered from the oldest to the newest.
    pending_writes: VecDeque<PendingWrite>,
    last_write_failed: bool,
}

/// Result of [`StateStore::open`].
#[derive(Debug)]
pub struct OpenedStore<A: Application> {
    /// Store for the state of this process, usable even if no earlier state was loaded.
    pub store: StateStore<A>,
    /// Reason why the stored state was rejected, which then counts as lost; `None`: the state was loaded, or
    /// none was stored.
    pub rejection: Option<Rejection>,
}

impl<A: Application> StateStore<A> {
    /// Opens the store of the application `name` and decodes the state of the previous process, if there is
    /// one.
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

    /// Age of the loaded state; `None`: none was loaded.
    pub fn recovered_age(&self) -> Option<Duration> {
        self.previous.as_ref().map(|_| Duration::from_micros(self.previous_age))
    }

    /// Takes the loaded state, so that later calls return none.
    pub(crate) fn take_previous(&mut self) -> PreviousState<A> {
        PreviousState { state: self.previous.take(), age: self.previous_age }
    }

    /// Registers a callback that another thread calls whenever the disk has confirmed a write.
    pub(crate) fn on_write(&self, callback: impl Fn() + Send + 'static) {
        self.writer.on_write(callback);
    }

    /// Writes the state that a restart would need, if it has changed or [`REFRESH_INTERVAL`] has passed.
    pub(crate) fn save(&mut self, machine: &Machine<A>, now: Micros) {
        let Some(version) = machine.persistent_state_version() else { return };
        let is_written =
            |last: &LastWrite| last.version == version && last.written_at.elapsed() < REFRESH_INTERVAL;
        if self.last_write.as_ref().is_some_and(is_written) {
            return;
        }
        let state = machine.persistent_state(now);
        // Encoding into memory does not fail for these types.
        let Ok(bytes) = postcard::to_allocvec(&state) else { return };
        let part = Part {
            name: self.name.to_owned(),
            version: FORMAT_VERSION,
            ballot: state.highest_ballot.as_ref().map_or(0, |fence| fence.round),
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
            // A state that is not stored is not confirmed to the leader either. The error is logged once.
            Err(error) => {
                if !std::mem::replace(&mut self.last_write_failed, true) {
                    let name = self.name;
                    tracing::info!("cannot store the {name} state; its changes stay unconfirmed: {error}");
                }
            }
        }
    }

    /// Takes the version of the newest state whose write the disk has confirmed since the last call; `None`:
    /// no write was confirmed.
    pub(crate) fn take_persisted(&mut self) -> Option<PersistentStateVersion> {
        let durable = self.writer.durable();
        let durable_count = self.pending_writes.iter().take_while(|write| write.number <= durable).count();
        self.pending_writes.drain(..durable_count).next_back().map(|write| write.version)
    }
}
