//! The thread that writes snapshots.

use super::clock;
use super::fault::DiskFault;
use super::replace::{replace, ReplaceableFile};
use super::shared::{Shared, StoredPart};
use crate::format;
use crate::snapshot::{AsOf, Header, Part, Snapshot};
use crate::validation::{AgeLimits, Identity, RecoveredState};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What is to be written next.
struct Batch {
    parts: Vec<Part>,
    /// The number of the last change in it.
    changes: u64,
}

/// Writes what a [`super::SnapshotWriter`] takes.
#[derive(Debug)]
pub struct WriterThread {
    shared: Arc<Shared>,
    owner: Identity,
    limits: AgeLimits,
}

impl WriterThread {
    pub(super) fn new(shared: Arc<Shared>, owner: Identity, limits: AgeLimits) -> WriterThread {
        WriterThread { shared, owner, limits }
    }

    /// Stores what the process before stored, each part until its owner replaces it: a process that is killed soon after
    /// its start leaves no less than it found. It ages meanwhile.
    pub fn carry_over(&self, recovered: &RecoveredState) {
        let (mut state, now) = (self.shared.state(), Instant::now());
        for part in recovered.parts() {
            let age_ms = part.age_ms.saturating_add(recovered.age_ms());
            let aged = StoredPart { part: Arc::new(Part { age_ms, ..part.clone() }), as_of: AsOf::At(now) };
            state.parts.entry(part.name.clone()).or_insert(aged);
        }
    }

    /// Writes until the last handle is dropped. `previous`: the incarnation of the process before, as far as it is known.
    pub fn run(self, mut file: impl ReplaceableFile, previous: u64) {
        let mut header = Header {
            cluster: self.owner.cluster.clone(),
            proxy: self.owner.proxy.clone(),
            incarnation: clock::now().wall_ms.max(previous.saturating_add(1)),
            ..Header::default()
        };
        // The first write follows at once: a directory that cannot be used is told at the start.
        let (mut earliest, mut heartbeat) = (Instant::now(), Instant::now());
        while let Some(Batch { parts, changes }) = self.next_batch(earliest, heartbeat) {
            header.writes += 1;
            header.written = clock::now();
            let snapshot = Snapshot { header: header.clone(), parts };
            let bytes = format::encode(snapshot).map_err(DiskFault::from);
            let result = bytes.and_then(|bytes| replace(&mut file, &bytes));
            heartbeat = Instant::now() + self.shared.heartbeat;
            earliest = if result.is_ok() { Instant::now() + self.shared.min_interval } else { heartbeat };
            self.record(result, changes);
        }
        drop(file);
        self.shared.state().has_ended = true;
        self.shared.changed.notify_all();
    }

    /// Waits for the next write, which comes no sooner than `earliest` and no later than `heartbeat`; `None` at the end.
    fn next_batch(&self, earliest: Instant, heartbeat: Instant) -> Option<Batch> {
        let mut state = self.shared.state();
        loop {
            let (now, has_changed) = (Instant::now(), state.changes != state.written);
            if state.is_stopping && (!has_changed || state.stats.fault.is_some()) {
                return None;
            }
            if now >= heartbeat || (has_changed && (now >= earliest || state.is_stopping)) {
                break;
            }
            let until = if has_changed { earliest.min(heartbeat) } else { heartbeat };
            let waited = self.shared.changed.wait_timeout(state, until.duration_since(now));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let stored: Vec<StoredPart> = state.parts.values().cloned().collect();
        let changes = state.changes;
        drop(state);
        let parts = stored.into_iter().filter_map(|stored| self.aged(&stored)).collect();
        Some(Batch { parts, changes })
    }

    /// A part with its age now; `None`: so old that no start would use it.
    fn aged(&self, stored: &StoredPart) -> Option<Part> {
        let age = match stored.as_of {
            AsOf::Now => Duration::ZERO,
            AsOf::At(at) => at.elapsed(),
        };
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let age_ms = stored.part.age_ms.saturating_add(age_ms);
        (age_ms <= self.limits.max_age_ms).then(|| Part { age_ms, ..(*stored.part).clone() })
    }

    /// Counts a write, and logs each fault once, and its end.
    fn record(&self, result: Result<(), DiskFault>, changes: u64) {
        let mut state = self.shared.state();
        if result.is_ok() {
            state.written = changes;
            state.on_write.0.iter().for_each(|callback| callback());
        }
        let stats = &mut state.stats;
        let before = stats.fault.take();
        let line = match result {
            Ok(()) => {
                stats.writes += 1;
                before.map(|_| format!("written again; {} writes failed so far", stats.failures))
            }
            Err(fault) => {
                stats.failures += 1;
                let is_new = before.as_ref() != Some(&fault);
                let line =
                    format!("not written: {fault}. A restart would find what was written before, or nothing");
                stats.fault = Some(fault);
                is_new.then_some(line)
            }
        };
        drop(state);
        if let Some(line) = line {
            tracing::info!("state: {line}");
        }
    }
}
