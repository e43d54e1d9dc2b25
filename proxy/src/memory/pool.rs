//! A bounded number of bytes, shared by the messages that are being read or held.

use super::reservation::Reservation;
use std::collections::BTreeMap;
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// A message that is still unfinished so long after its first bytes is shed before others: it is far slower than a
/// sound client or host.
pub(super) const SLOW_TIME: Duration = Duration::from_millis(250);

/// Number of a reservation in its pool.
pub(super) type HolderId = u64;

/// What becomes of a message for which there are no bytes, and none that a slow message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// The largest unfinished message is shed, which may be that one; where all others are complete, it is that one.
    Refuse,
    /// It waits until others are complete, or slow.
    Wait,
}

/// A pool of bytes. A message reserves bytes before they are read. Where they are not free, slow unfinished messages
/// are shed, the largest first. Messages that are complete are never shed, except for a response whose client does not
/// read it.
#[derive(Clone, Debug)]
pub struct MemoryPool(Arc<Mutex<State>>);

/// What a pool has done so far, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Size of the pool, in bytes.
    pub capacity: usize,
    /// Bytes that are reserved now.
    pub reserved: usize,
    /// The most that were reserved at once.
    pub peak: usize,
    /// Messages that were given up, for others or for themselves.
    pub shed: u64,
}

/// A reservation, as its pool sees it.
#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// Whether it may be shed.
    sheddable: bool,
    /// Chosen to be shed; its bytes are about to be released.
    shed: bool,
    /// When it held its first bytes, or may be shed again.
    since: Instant,
    /// Woken when it is shed.
    waker: Option<Waker>,
}

#[derive(Debug)]
struct State {
    when_full: WhenFull,
    stats: PoolStats,
    holders: BTreeMap<HolderId, Holder>,
    last_id: HolderId,
    /// Those that wait for bytes to be released.
    waiting: BTreeMap<HolderId, Waker>,
}

impl MemoryPool {
    /// A pool of this size.
    pub fn new(capacity: usize, when_full: WhenFull) -> MemoryPool {
        MemoryPool(Arc::new(Mutex::new(State {
            when_full,
            stats: PoolStats { capacity, ..PoolStats::default() },
            holders: BTreeMap::new(),
            last_id: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// A reservation of no bytes yet, which may be shed until it is settled.
    pub fn reservation(&self) -> Reservation {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let holder = Holder { bytes: 0, sheddable: true, shed: false, since: Instant::now(), waker: None };
        state.holders.insert(id, holder);
        drop(state);
        Reservation::new(self.clone(), id)
    }

    /// Whether a message is shed, rather than waits, where there is no memory for it.
    pub(super) fn refuses_when_full(&self) -> bool {
        self.state().when_full == WhenFull::Refuse
    }

    /// What the pool has done so far.
    pub fn stats(&self) -> PoolStats {
        self.state().stats
    }

    /// Whether at least half of the pool is free, so that idle connections may keep what they have reserved.
    pub fn has_spare(&self) -> bool {
        let stats = self.stats();
        stats.reserved <= stats.capacity / 2
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the size of a reservation. Pending: it waits for others to release bytes, or is to be shed itself.
    pub(super) fn poll_resize(&self, id: HolderId, bytes: usize, context: &mut Context<'_>) -> Poll<()> {
        self.state().poll_resize(id, bytes, context)
    }

    /// The same, at once or not at all.
    pub(super) fn try_resize(&self, id: HolderId, bytes: usize) -> bool {
        self.state().try_resize(id, bytes)
    }

    /// Sets whether a reservation may be shed.
    pub(super) fn set_sheddable(&self, id: HolderId, sheddable: bool) {
        if let Some(holder) = self.state().holders.get_mut(&id) {
            if sheddable && !holder.sheddable {
                holder.since = Instant::now();
            }
            holder.sheddable = sheddable;
        }
    }

    /// Ready once a reservation is to be shed.
    pub(super) fn poll_shed(&self, id: HolderId, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state();
        let Some(holder) = state.holders.get_mut(&id) else { return Poll::Pending };
        if holder.shed {
            return Poll::Ready(());
        }
        holder.waker = Some(context.waker().clone());
        Poll::Pending
    }

    /// Ends a reservation.
    pub(super) fn release(&self, id: HolderId) {
        let mut state = self.state();
        state.waiting.remove(&id);
        if let Some(holder) = state.holders.remove(&id) {
            state.free(holder.bytes);
        }
    }
}

impl State {
    fn available(&self) -> usize {
        self.stats.capacity.saturating_sub(self.stats.reserved)
    }

    fn free(&mut self, bytes: usize) {
        self.stats.reserved -= bytes;
        if bytes > 0 {
            mem::take(&mut self.waiting).into_values().for_each(Waker::wake);
        }
    }

    fn try_resize(&mut self, id: HolderId, bytes: usize) -> bool {
        let available = self.available();
        let Some(holder) = self.holders.get_mut(&id) else { return true };
        if bytes <= holder.bytes {
            let freed = holder.bytes - bytes;
            holder.bytes = bytes;
            self.free(freed);
            return true;
        }
        let wanted = bytes - holder.bytes;
        if holder.shed || wanted > available {
            return false;
        }
        if holder.bytes == 0 {
            holder.since = Instant::now();
        }
        holder.bytes = bytes;
        self.stats.reserved += wanted;
        self.stats.peak = self.stats.peak.max(self.stats.reserved);
        true
    }

    fn poll_resize(&mut self, id: HolderId, bytes: usize, context: &mut Context<'_>) -> Poll<()> {
        if self.try_resize(id, bytes) {
            return Poll::Ready(());
        }
        let held = self.holders.get(&id).map_or(0, |holder| holder.bytes);
        self.make_room(id, bytes - held);
        self.waiting.insert(id, context.waker().clone());
        Poll::Pending
    }

    /// Sheds messages until `wanted` bytes are free or about to be, or sheds the one that wants them.
    fn make_room(&mut self, id: HolderId, wanted: usize) {
        if self.holders.get(&id).is_none_or(|holder| holder.shed) {
            return;
        }
        let pending: usize =
            self.holders.values().filter(|holder| holder.shed).map(|holder| holder.bytes).sum();
        let mut free = self.available() + pending;
        while free < wanted {
            let Some((victim, bytes)) = self.next_to_shed(id, wanted) else { break };
            self.shed(victim);
            if victim == id {
                return;
            }
            free += bytes;
        }
        // What complete messages hold may not be free soon.
        if free < wanted && self.when_full == WhenFull::Refuse {
            self.shed(id);
        }
    }

    /// The message to shed next, and how much it holds: a slow one before others, the largest first. The message that
    /// wants bytes counts with them.
    fn next_to_shed(&self, id: HolderId, wanted: usize) -> Option<(HolderId, usize)> {
        let now = Instant::now();
        let rank = |candidate: HolderId, holder: &Holder| {
            let age = now.saturating_duration_since(holder.since);
            let size = holder.bytes + if candidate == id { wanted } else { 0 };
            (candidate != id && age >= SLOW_TIME, size, age)
        };
        let unfinished = self.holders.iter().filter(|(_, holder)| holder.sheddable && !holder.shed);
        let ranked =
            unfinished.map(|(&candidate, holder)| (rank(candidate, holder), candidate, holder.bytes));
        let may_be_shed = |is_slow: bool| is_slow || self.when_full == WhenFull::Refuse;
        let candidates = ranked.filter(|((is_slow, size, _), ..)| *size > 0 && may_be_shed(*is_slow));
        candidates.max_by_key(|(rank, ..)| *rank).map(|(_, victim, bytes)| (victim, bytes))
    }

    fn shed(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id).filter(|holder| !holder.shed) else { return };
        holder.shed = true;
        self.stats.shed += 1;
        if let Some(waker) = holder.waker.take() {
            waker.wake();
        }
    }
}

#[cfg(test)]
mod tests;
