//! What a coordinator keeps on a disk over a restart, and what of it the disk has.

use flaxhead_lease::{Application, Machine, Micros, PersistenceMark, PersistentState};
use flaxhead_snapshot::{AsOf, Keeper, Part, Recollection, Refusal};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The form of a memory's bytes.
const FORM: u16 = 1;
/// A slate's times are spans: they are written anew after this, though nothing else is new.
const AGAIN: Duration = Duration::from_secs(5);
/// Most memories that wait for the disk; those between them are passed over.
const WAIT_MOST: usize = 16;

/// Where an application's memory is kept.
#[derive(Debug)]
pub struct Disk<M: Application> {
    keeper: Keeper,
    name: &'static str,
    found: Option<(PersistentState<M>, Micros)>,
    put: Option<(PersistenceMark, Instant)>,
    /// Changes that are on their way to the disk, the oldest first.
    waits: VecDeque<(u64, PersistenceMark)>,
    unfit: bool,
}

impl<M: Application> Disk<M> {
    /// An application's memory under this name, with what is recollected of it. Why nothing is, the other value says: it
    /// counts as forgotten then.
    pub fn new(
        keeper: Keeper,
        name: &'static str,
        recollected: Option<&mut Recollection>,
    ) -> (Disk<M>, Option<Refusal>) {
        let read = |part: Part| match postcard::take_from_bytes::<PersistentState<M>>(&part.bytes) {
            Ok((memory, [])) => Ok((memory, part.age_ms.saturating_mul(1_000))),
            Ok(_) | Err(_) => Err(Refusal::PartUnread(name.to_owned())),
        };
        let found = recollected.map(|found| found.take(name, FORM).and_then(read)).transpose();
        let (found, refusal) = match found {
            Ok(found) => (found, None),
            Err(refusal) => (None, Some(refusal)),
        };
        let (put, waits, unfit) = Default::default();
        (Disk { keeper, name, found, put, waits, unfit }, refusal)
    }

    /// How old what was found is; `None`: nothing was.
    pub fn age(&self) -> Option<Duration> {
        self.found.as_ref().map(|(_, age)| Duration::from_micros(*age))
    }

    /// What was found, once, and how old it is.
    pub(crate) fn take_found(&mut self) -> (Option<PersistentState<M>>, Micros) {
        self.found.take().map_or((None, 0), |(memory, age)| (Some(memory), age))
    }

    /// Has `told` called, by another thread, whenever the disk has something new.
    pub(crate) fn on_write(&self, told: impl Fn() + Send + 'static) {
        self.keeper.on_write(told);
    }

    /// Keeps what the machine would need, where that is new.
    pub(crate) fn keep(&mut self, machine: &Machine<M>, now: Micros) {
        let Some(mark) = machine.persistence_mark() else { return };
        let same = |(put, at): &(PersistenceMark, Instant)| *put == mark && at.elapsed() < AGAIN;
        if self.put.as_ref().is_some_and(same) {
            return;
        }
        let memory = machine.persistent_state(now);
        let ballot = memory.fence.as_ref().map_or(0, |fence| fence.round);
        // Into memory; nothing in it can fail to be written there.
        let Ok(bytes) = postcard::to_allocvec(&memory) else { return };
        let (name, life) = (self.name.to_owned(), machine.me().incarnation);
        let part = Part { name, version: FORM, ballot, life, age_ms: 0, bytes };
        self.put = Some((mark.clone(), Instant::now()));
        match self.keeper.put(part, AsOf::Living) {
            Ok(change) => {
                if self.waits.len() >= WAIT_MOST {
                    self.waits.pop_back();
                }
                self.waits.push_back((change, mark));
                self.unfit = false;
            }
            // Nobody hears what is not kept: the log says why.
            Err(unfit) if !self.unfit => {
                tracing::info!(
                    "state: {} are not kept, and nothing new of them is confirmed: {unfit}",
                    self.name
                );
                self.unfit = true;
            }
            Err(_) => {}
        }
    }

    /// The newest memory that has come to the disk since this was last asked.
    pub(crate) fn kept(&mut self) -> Option<PersistenceMark> {
        let durable = self.keeper.durable();
        let done = self.waits.iter().take_while(|(change, _)| *change <= durable).count();
        self.waits.drain(..done).next_back().map(|(_, mark)| mark)
    }
}
