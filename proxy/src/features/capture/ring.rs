//! The ring of files in memory.

use super::form::{Item, Opening, Record, Version, LENGTH, SEED};
use super::Settings;
use flaxhead_policy::{Balancer, Event, Micros, Settings as Told};
use serde::Serialize;
use std::borrow::Cow;
use std::collections::VecDeque;

/// A step is begun in a file only with this part of it free: it must fit whole.
const FREE_PART: usize = 8;
/// Pause after the module's state did not fit into a file.
const RETRY: Micros = 1_000_000;

/// A file of the ring.
#[derive(Debug)]
pub(super) struct Ringed {
    number: u64,
    pub(super) bytes: Vec<u8>,
    length: usize,
}

impl Ringed {
    /// Appends a frame, or nothing where it does not fit.
    fn put(&mut self, frame: &impl Serialize) -> bool {
        let Some((length, body)) =
            self.bytes.get_mut(self.length..).and_then(|free| free.split_first_chunk_mut::<LENGTH>())
        else {
            return false;
        };
        let Ok(written) = postcard::to_slice(frame, body).map(|frame| frame.len()) else { return false };
        let [_, bytes @ ..] = (written as u32).to_be_bytes();
        *length = bytes;
        self.length += LENGTH + written;
        true
    }

    fn free(&self) -> usize {
        self.bytes.len() - self.length
    }
}

/// The ring. A file holds each step of the module whole, or ends before it: its replay begins with the state that
/// it opens with, and must lead through all of it.
#[derive(Debug)]
pub struct Recorder {
    seed: u64,
    origin: Micros,
    file_bytes: usize,
    pub(super) ring: VecDeque<Ringed>,
    /// Buffers that are in no file.
    spare: Vec<Vec<u8>>,
    next: u64,
    /// The last file of the ring takes more.
    pub(super) open: bool,
    /// A step is under way, and begins here if the file took more then.
    step: Option<Option<usize>>,
    missed: u64,
    retry_at: Micros,
}

impl Recorder {
    /// An empty ring.
    pub fn new(settings: &Settings, seed: u64) -> Recorder {
        let Settings { files, file_bytes, .. } = *settings;
        Recorder {
            seed,
            origin: 0,
            file_bytes,
            ring: VecDeque::with_capacity(files),
            // Written to at once: memory that only grows as the ring fills would look like a leak.
            spare: vec![vec![u8::MAX; file_bytes]; files],
            next: 0,
            open: false,
            step: None,
            missed: 0,
            retry_at: 0,
        }
    }

    /// Whether a new file is to be opened before more is recorded.
    pub fn is_due(&self, now: Micros) -> bool {
        let free = self.ring.back().map_or(0, Ringed::free);
        let wanted = if self.open { free < self.file_bytes / FREE_PART } else { now >= self.retry_at };
        self.step.is_none() && wanted
    }

    /// Opens a file with the module's state, and with what the records name; the oldest makes room.
    pub fn open<'a>(
        &mut self,
        now: Micros,
        settings: &Told,
        balancer: &Balancer,
        names: impl IntoIterator<Item = Item<'a>>,
    ) {
        if self.next == 0 {
            self.origin = now;
        }
        let bytes = self.spare.pop().or_else(|| self.ring.pop_front().map(|oldest| oldest.bytes));
        let Some(bytes) = bytes else { return };
        let mut file = Ringed { number: self.next, bytes, length: SEED };
        file.bytes[..SEED].copy_from_slice(&self.seed.to_be_bytes());
        let opening = Opening {
            number: self.next,
            origin: self.origin,
            missed: self.missed,
            settings,
            state: (self.next > 0 || self.missed > 0).then_some(balancer),
        };
        let opened = file.put(&Version::own()) && file.put(&opening);
        let mut names = names.into_iter().map(|item| self.record(now, item));
        self.open =
            opened && names.all(|record| file.put(&record)) && file.free() >= self.file_bytes / FREE_PART;
        if self.open {
            self.next += 1;
            self.ring.push_back(file);
        } else {
            if self.retry_at == 0 {
                tracing::info!(
                    "capture: the module's state does not fit into a file; nothing is recorded until it does"
                );
            }
            self.retry_at = now + RETRY;
            self.spare.push(file.bytes);
        }
    }

    fn record<'a>(&self, now: Micros, item: Item<'a>) -> Record<'a> {
        let since = now.saturating_sub(self.origin);
        Record { ms: since / 1_000, us: (since % 1_000) as u16, item }
    }

    /// Records something beside the module's steps, or within one.
    pub fn put(&mut self, now: Micros, item: Item) {
        let record = self.record(now, item);
        if let Some(file) = self.ring.back_mut().filter(|_| self.open) {
            // What lacks a record ends here.
            self.open = file.put(&record);
        }
    }

    /// Records what the module is fed next.
    pub fn begin(&mut self, now: Micros, event: &Event) {
        let start = self.ring.back().filter(|_| self.open).map(|file| file.length);
        self.step = Some(start);
        self.put(now, Item::Fed(Cow::Borrowed(event)));
    }

    /// The module's answer to that is recorded. A step that did not fit whole is taken back.
    pub fn end(&mut self) {
        let start = self.step.take().flatten();
        if !self.open {
            self.missed += 1;
            if let (Some(start), Some(file)) = (start, self.ring.back_mut()) {
                file.length = start;
            }
        }
    }

    /// The numbers of the files in the ring, the oldest first.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.ring.iter().map(|file| file.number).collect()
    }

    /// Copies a file and its end, if it is still there.
    pub(super) fn copy(&self, number: u64, into: &mut Vec<u8>) -> Option<String> {
        let file = self.ring.iter().find(|file| file.number == number)?;
        into.clear();
        into.reserve_exact(self.file_bytes + LENGTH);
        into.extend_from_slice(&file.bytes[..file.length]);
        into.extend_from_slice(&[0; LENGTH]);
        Some(format!("capture-{}-{number:06}.cap", self.origin / 1_000))
    }
}
