//! What is to be kept, and the thread that writes it. The newest counts: what was replaced before its write began is not
//! written at all.

use super::place::{replace, Place};
use super::trouble::Trouble;
use crate::form::{self, Unfit, FILE_MOST};
use crate::judge::{Bounds, Mine, Recollection};
use crate::snapshot::{AsOf, Header, Part, Snapshot, PARTS_MOST};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What was written so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Files that are on the disk.
    pub writes: u64,
    /// Files that are not.
    pub failures: u64,
    /// Why the last one was not; `None` after one that was.
    pub trouble: Option<Trouble>,
}

#[derive(Default)]
struct Calls(Vec<Told>);

impl std::fmt::Debug for Calls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0.len())
    }
}

#[derive(Debug, Default)]
struct State {
    parts: BTreeMap<String, (Arc<Part>, AsOf)>,
    /// Which change came last, and which the file has.
    changes: u64,
    written: u64,
    figures: Figures,
    on_write: Calls,
    stop: bool,
    ended: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Told of changes, of the stop, and of the end.
    told: Condvar,
    pace: Duration,
    beat: Duration,
}

impl Shared {
    /// Nothing is left half changed under the lock, so that a panic elsewhere does no harm to it.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Called by the writing thread after each file that is on the disk.
type Told = Box<dyn Fn() + Send>;

/// The last handle ends the thread.
#[derive(Debug)]
struct Last(Arc<Shared>);

impl Drop for Last {
    fn drop(&mut self) {
        self.0.state().stop = true;
        self.0.told.notify_all();
    }
}

/// Takes what is to be kept. Cheap to clone; no call of it waits for the disk but [`Keeper::stop`].
#[derive(Clone, Debug)]
pub struct Keeper(Arc<Last>);

impl Keeper {
    /// Keeps parts from now on; a write follows a change after `pace` at the earliest, and one each `beat` in any case.
    pub fn new(pace: Duration, beat: Duration) -> Keeper {
        let (state, told) = (Mutex::default(), Condvar::new());
        Keeper(Arc::new(Last(Arc::new(Shared { state, told, pace, beat }))))
    }

    /// What writes for it.
    pub fn writer(&self, mine: Mine, bounds: Bounds) -> Writer {
        Writer { shared: self.0 .0.clone(), mine, bounds }
    }

    /// Has this called after each file that is on the disk, by the thread that writes: it must not wait.
    pub fn on_write(&self, told: impl Fn() + Send + 'static) {
        self.0 .0.state().on_write.0.push(Box::new(told));
    }

    /// The change that the disk has, and with it all before it: what was said is never asked of a restart unless a
    /// word that others go by was held back until then.
    pub fn durable(&self) -> u64 {
        self.0 .0.state().written
    }

    /// Keeps a part in the place of the one of its name. Returns the number of the change, for [`Keeper::durable`].
    ///
    /// # Errors
    ///
    /// Where it does not fit beside the others: then the one of its name is dropped too, since it is no longer so.
    pub fn put(&self, part: Part, as_of: AsOf) -> Result<u64, Unfit> {
        let shared = &self.0 .0;
        let mut state = shared.state();
        let same = |(kept, when): &(Arc<Part>, AsOf)| {
            **kept == part && (*when, as_of) == (AsOf::Living, AsOf::Living)
        };
        if state.parts.get(&part.name).is_some_and(same) {
            return Ok(state.changes);
        }
        state.parts.remove(&part.name);
        state.changes += 1;
        let all: usize = state.parts.values().map(|(part, _)| part.bytes.len()).sum();
        let fits = match form::fits(&part) {
            // What is beside the parts' bytes takes far less than the half that is left free here.
            Ok(()) if all + part.bytes.len() > FILE_MOST / 2 => Err(Unfit::Whole(all + part.bytes.len())),
            Ok(()) if state.parts.len() == PARTS_MOST => Err(Unfit::Parts(PARTS_MOST + 1)),
            fits => fits,
        };
        if fits.is_ok() {
            state.parts.insert(part.name.clone(), (Arc::new(part), as_of));
        }
        let change = state.changes;
        drop(state);
        shared.told.notify_all();
        fits.map(|()| change)
    }

    /// What was written so far.
    pub fn figures(&self) -> Figures {
        self.0 .0.state().figures.clone()
    }

    /// Has what is not written yet written, and ends. Waits no longer than `most`.
    pub fn stop(&self, most: Duration) {
        let shared = &self.0 .0;
        let mut state = shared.state();
        state.stop = true;
        shared.told.notify_all();
        // Whether it came to its end or not, the proxy goes.
        drop(shared.told.wait_timeout_while(state, most, |state| !state.ended));
    }
}

/// Writes what a [`Keeper`] takes.
#[derive(Debug)]
pub struct Writer {
    shared: Arc<Shared>,
    mine: Mine,
    bounds: Bounds,
}

impl Writer {
    /// Keeps what the process before kept, each part until its owner says something newer: a process that is killed
    /// soon after its start leaves no less than it found. It ages meanwhile.
    pub fn carry(&self, found: &Recollection) {
        let (mut state, now) = (self.shared.state(), Instant::now());
        for part in found.parts() {
            let age_ms = part.age_ms.saturating_add(found.age_ms());
            let aged = Part { age_ms, ..part.clone() };
            state.parts.entry(part.name.clone()).or_insert((Arc::new(aged), AsOf::At(now)));
        }
    }

    /// Writes until the keeper's last handle is gone; `before` is the life of the process before, as far as it is known.
    pub fn serve(self, mut place: impl Place, before: u64) {
        let life = super::now().wall_ms.max(before.saturating_add(1));
        let mut header = Header {
            cluster: self.mine.cluster.clone(),
            proxy: self.mine.proxy.clone(),
            life,
            ..Header::default()
        };
        // The first at once: a folder that cannot be used is said at the start.
        let (mut next, mut beat) = (Instant::now(), Instant::now());
        while let Some((parts, changes)) = self.wait(next, beat) {
            header.writes += 1;
            header.written = super::now();
            let bytes = form::write(Snapshot { header: header.clone(), parts }).map_err(Trouble::from);
            let done = bytes.and_then(|bytes| replace(&mut place, &bytes));
            beat = Instant::now() + self.shared.beat;
            next = if done.is_ok() { Instant::now() + self.shared.pace } else { beat };
            self.note(done, changes);
        }
        drop(place);
        self.shared.state().ended = true;
        self.shared.told.notify_all();
    }

    /// The parts that are to be written next, each with its age now; `None` at the end.
    fn wait(&self, next: Instant, beat: Instant) -> Option<(Vec<Part>, u64)> {
        let mut state = self.shared.state();
        loop {
            let (now, changed) = (Instant::now(), state.changes != state.written);
            if state.stop && (!changed || state.figures.trouble.is_some()) {
                return None;
            }
            if now >= beat || (changed && (now >= next || state.stop)) {
                break;
            }
            let until = if changed { next.min(beat) } else { beat };
            let waited = self.shared.told.wait_timeout(state, until.duration_since(now));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let kept: Vec<(Arc<Part>, AsOf)> = state.parts.values().cloned().collect();
        let changes = state.changes;
        drop(state);
        let aged = |(part, as_of): (Arc<Part>, AsOf)| {
            let age = match as_of {
                AsOf::Living => Duration::ZERO,
                AsOf::At(at) => at.elapsed(),
            };
            let age_ms = part.age_ms.saturating_add(age.as_millis() as u64);
            // What nobody would take any more is not written.
            (age_ms <= self.bounds.old_ms).then(|| Part { age_ms, ..(*part).clone() })
        };
        Some((kept.into_iter().filter_map(aged).collect(), changes))
    }

    /// Counts, and says each trouble once, and its end.
    fn note(&self, done: Result<(), Trouble>, changes: u64) {
        let mut state = self.shared.state();
        let figures = &mut state.figures;
        let said = match &done {
            Ok(()) => {
                figures.writes += 1;
                let over = figures.trouble.take();
                over.map(|_| format!("written again; {} writes failed so far", figures.failures))
            }
            Err(trouble) => {
                figures.failures += 1;
                let new = figures.trouble.as_ref() != Some(trouble);
                figures.trouble = Some(trouble.clone());
                new.then(|| {
                    format!(
                        "not written: {trouble}. A restart would find what was written before, or nothing"
                    )
                })
            }
        };
        if done.is_ok() {
            state.written = changes;
            state.on_write.0.iter().for_each(|told| told());
        }
        drop(state);
        if let Some(said) = said {
            tracing::info!("state: {said}");
        }
    }
}
