//! What a coordinator stores on disk over a restart, and how much of it the disk has.

use flaxhead_lease::{Application, Machine, Micros, PersistentState, PersistentStateVersion};
use flaxhead_snapshot::{AsOf, Part, RecoveredState, Rejection, SnapshotWriter};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The format version of the stored bytes.
const FORMAT_VERSION: u16 = 1;
/// The state holds time spans: it is stored anew after this, though nothing else has changed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of changes that wait for the disk; those between them are skipped.
const MAX_WAITING: usize = 16;

/// What was found of the process before.
#[derive(Debug)]
pub(crate) struct FoundState<A: Application> {
    /// The state; `None`: there was none.
    pub state: Option<PersistentState<A>>,
    /// How old it is.
    pub age: Micros,
}

/// A change on its way to the disk.
#[derive(Debug)]
struct WaitingChange {
    number: u64,
    mark: PersistentStateVersion,
}

/// What was last handed to the writer, and when.
#[derive(Debug)]
struct LastSave {
    mark: PersistentStateVersion,
    at: Instant,
}

/// Where an application's state is stored.
#[derive(Debug)]
pub struct StateStore<A: Application> {
    writer: SnapshotWriter,
    name: &'static str,
    found: Option<PersistentState<A>>,
    found_age: Micros,
    last_save: Option<LastSave>,
    /// The oldest first.
    waiting: VecDeque<WaitingChange>,
    has_failed: bool,
}

/// A store that was opened.
#[derive(Debug)]
pub struct OpenedStore<A: Application> {
    /// The store.
    pub store: StateStore<A>,
    /// Why nothing was recovered of the application's state, which then counts as lost; `None`: it was recovered, or there
    /// was nothing to recover from.
    pub rejection: Option<Rejection>,
}

impl<A: Application> StateStore<A> {
    /// Stores an application's state under this name, and recovers what the process before stored.
    pub fn open(
        writer: SnapshotWriter,
        name: &'static str,
        recovered: Option<&mut RecoveredState>,
    ) -> OpenedStore<A> {
        let mut store = StateStore {
            writer,
            name,
            found: None,
            found_age: 0,
            last_save: None,
            waiting: VecDeque::new(),
            has_failed: false,
        };
        let rejection = recovered.and_then(|recovered| store.recover(recovered).err());
        OpenedStore { store, rejection }
    }

    fn recover(&mut self, recovered: &mut RecoveredState) -> Result<(), Rejection> {
        let part = recovered.take(self.name, FORMAT_VERSION)?;
        match postcard::take_from_bytes::<PersistentState<A>>(&part.bytes) {
            Ok((state, [])) => {
                self.found = Some(state);
                self.found_age = part.age_ms.saturating_mul(1_000);
                Ok(())
            }
            Ok(_) | Err(_) => Err(Rejection::UnreadablePart(self.name.to_owned())),
        }
    }

    /// How old the recovered state is; `None`: none was recovered.
    pub fn recovered_age(&self) -> Option<Duration> {
        self.found.as_ref().map(|_| Duration::from_micros(self.found_age))
    }

    /// What was recovered, once.
    pub(crate) fn take_found(&mut self) -> FoundState<A> {
        FoundState { state: self.found.take(), age: self.found_age }
    }

    /// Has `callback` called, by another thread, whenever more is on the disk.
    pub(crate) fn on_write(&self, callback: impl Fn() + Send + 'static) {
        self.writer.on_write(callback);
    }

    /// Stores what a restart of the machine would need, if that is new.
    pub(crate) fn save(&mut self, machine: &Machine<A>, now: Micros) {
        let Some(mark) = machine.persistent_state_version() else { return };
        let is_saved = |last: &LastSave| last.mark == mark && last.at.elapsed() < REFRESH_INTERVAL;
        if self.last_save.as_ref().is_some_and(is_saved) {
            return;
        }
        let state = machine.persistent_state(now);
        // Into memory; nothing in it can fail to be encoded there.
        let Ok(bytes) = postcard::to_allocvec(&state) else { return };
        let part = Part {
            name: self.name.to_owned(),
            version: FORMAT_VERSION,
            ballot: state.highest_ballot.as_ref().map_or(0, |fence| fence.round),
            incarnation: machine.me().incarnation,
            age_ms: 0,
            bytes,
        };
        self.last_save = Some(LastSave { mark: mark.clone(), at: Instant::now() });
        match self.writer.put(part, AsOf::Now) {
            Ok(number) => {
                if self.waiting.len() >= MAX_WAITING {
                    self.waiting.pop_back();
                }
                self.waiting.push_back(WaitingChange { number, mark });
                self.has_failed = false;
            }
            // What is not stored is not confirmed to others: the log says why.
            Err(error) => {
                if !std::mem::replace(&mut self.has_failed, true) {
                    let name = self.name;
                    tracing::info!(
                        "state: {name} are not kept, and nothing new of them is confirmed: {error}"
                    );
                }
            }
        }
    }

    /// The newest state that has come to the disk since this was last called.
    pub(crate) fn take_persisted(&mut self) -> Option<PersistentStateVersion> {
        let durable = self.writer.durable();
        let done = self.waiting.iter().take_while(|change| change.number <= durable).count();
        self.waiting.drain(..done).next_back().map(|change| change.mark)
    }
}
