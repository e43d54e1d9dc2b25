//! What is known of calls by their id or key, so that one that comes again, from whichever layer, stays within its
//! class's limit: `send` never runs twice, and a repeat of another class counts as an attempt of the first.
//!
//! An entry is kept until its call can no longer come again to harm: a call that may have run keeps its entry for
//! `keep`, one that surely never ran loses it with its answer. None that may have run is ever dropped for lack of
//! space; a new call is refused instead.

use flaxhead_policy::{Micros, Repeat};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Bounds of a memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemorySpec {
    /// Most entries.
    pub entries: usize,
    /// For how long a call that may have run is remembered after its end, in microseconds.
    pub keep: Micros,
}

impl Default for MemorySpec {
    /// A million calls, ten minutes.
    fn default() -> Self {
        MemorySpec { entries: 1 << 20, keep: 600_000_000 }
    }
}

/// Tries that layers above say they have made before, as in `grpc-previous-rpc-attempts` (gRFC A6).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tries(pub u32);

/// What a call may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// Most attempts that may reach a server.
    pub attempts: u32,
    /// It has been tried before: it costs of the retry budget.
    pub again: bool,
}

/// Why a call must not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// One with the same id or key is open.
    Open,
    /// One with the same id or key may have run, and this must not run twice.
    MayHaveRun,
    /// It has been tried before, by its own word, and nothing is known of that try.
    Unknown,
    /// All attempts that its class allows have been made.
    Exhausted,
    /// No more calls can be remembered.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    attempts: u32,
    may_run: bool,
    open: bool,
    /// When it can be forgotten, unless it is open then.
    until: Micros,
}

/// Calls by id or key.
#[derive(Clone, Debug)]
pub struct Memory<K> {
    spec: MemorySpec,
    entries: HashMap<K, Entry>,
    /// Ends of entries in order of time, one for each end that told something new. One whose entry has changed since
    /// is passed over.
    ends: VecDeque<(Micros, K)>,
}

impl<K: Clone + Eq + Hash> Memory<K> {
    /// An empty one.
    pub fn new(spec: MemorySpec) -> Memory<K> {
        Memory { spec, entries: HashMap::new(), ends: VecDeque::new() }
    }

    /// A call comes in, or comes again; `attempts_most` is its class's limit. One that is allowed is open from now on,
    /// until [`Memory::end`].
    pub fn begin(
        &mut self,
        now: Micros,
        key: &K,
        repeat: Repeat,
        attempts_most: u32,
        tries: Tries,
    ) -> Result<Allowed, Refusal> {
        self.forget(now);
        let before = self.entries.get(key).copied();
        let made = match before {
            Some(Entry { open: true, .. }) => return Err(Refusal::Open),
            Some(entry) if entry.may_run && repeat == Repeat::SingleShot => return Err(Refusal::MayHaveRun),
            Some(entry) => entry.attempts,
            // Whoever tried has it from elsewhere: another proxy, or this one before a restart.
            None if tries.0 > 0 && repeat == Repeat::SingleShot => return Err(Refusal::Unknown),
            None => tries.0,
        };
        let left = attempts_most.saturating_sub(made);
        if left == 0 {
            return Err(Refusal::Exhausted);
        }
        if before.is_none() && self.entries.len() >= self.spec.entries {
            return Err(Refusal::Full);
        }
        let (may_run, until) = before.map_or((false, 0), |entry| (entry.may_run, entry.until));
        self.entries.insert(key.clone(), Entry { attempts: made, may_run, open: true, until });
        Ok(Allowed { attempts: left, again: before.is_some() || tries.0 > 0 })
    }

    /// A call has ended: so many of its attempts reached a server, and one may have run.
    pub fn end(&mut self, now: Micros, key: &K, attempts: u32, may_run: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        debug_assert!(entry.open, "a call ends once");
        entry.open = false;
        if attempts > 0 || may_run {
            entry.attempts = entry.attempts.saturating_add(attempts);
            entry.may_run |= may_run;
            entry.until = now.saturating_add(self.spec.keep);
            self.ends.push_back((entry.until, key.clone()));
        } else if entry.until <= now {
            self.entries.remove(key);
        }
    }

    /// Calls that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget(&mut self, now: Micros) {
        while self.ends.front().is_some_and(|(until, _)| *until <= now) {
            let Some((until, key)) = self.ends.pop_front() else { return };
            if self.entries.get(&key).is_some_and(|entry| !entry.open && entry.until == until) {
                self.entries.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
