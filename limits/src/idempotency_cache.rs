//! What is known of calls by their id or idempotency key, so that one that comes again, from whichever layer, stays within
//! the limit of its class: a non-idempotent call never runs twice, and a retry of another class counts as an attempt of the
//! first.
//!
//! An entry is kept until its call can no longer do harm by coming again: a call that may have run keeps its entry for
//! `keep`, one that surely never ran loses it with its response. None that may have run is ever evicted for lack of space;
//! a new call is rejected instead.

use flaxhead_policy::{Idempotency, Micros};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyCacheConfig {
    /// Most entries.
    pub max_entries: usize,
    /// For how long a call that may have run is kept after its end, in microseconds.
    pub retention: Micros,
}

impl Default for IdempotencyCacheConfig {
    /// A million calls, ten minutes.
    fn default() -> Self {
        IdempotencyCacheConfig { max_entries: 1 << 20, retention: 600_000_000 }
    }
}

/// Attempts that layers above say they have made before, as in `grpc-previous-rpc-attempts` (gRFC A6).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousAttempts(pub u32);

/// What a call may still do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Most attempts that may reach a server.
    pub remaining_attempts: u32,
    /// It has been attempted before: it costs of the retry budget.
    pub is_retry: bool,
}

/// Why a call must not go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// One with the same id or key is in flight.
    InFlight,
    /// One with the same id or key may have run, and this must not run twice.
    MayHaveRun,
    /// It has been attempted before, by its own account, and nothing is known of that attempt.
    UnknownAttempt,
    /// All attempts that its class allows have been made.
    Exhausted,
    /// No more calls can be kept.
    CacheFull,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    attempts: u32,
    may_have_run: bool,
    /// Whether the call is in flight.
    in_flight: bool,
    /// When the entry expires_at, unless its call is in flight then.
    expires_at: Micros,
}

/// An expiry of an entry, as it was when a call ended.
#[derive(Clone, Debug)]
struct Expiry<K> {
    at: Micros,
    key: K,
}

/// Calls by id or key.
#[derive(Clone, Debug)]
pub struct IdempotencyCache<K> {
    config: IdempotencyCacheConfig,
    entries: HashMap<K, Entry>,
    /// In order of time, one for each end that changed an entry. One whose entry has changed since is passed over.
    expiries: VecDeque<Expiry<K>>,
}

impl<K: Clone + Eq + Hash> IdempotencyCache<K> {
    /// An empty cache.
    pub fn new(config: IdempotencyCacheConfig) -> IdempotencyCache<K> {
        IdempotencyCache { config, entries: HashMap::new(), expiries: VecDeque::new() }
    }

    /// A call comes in, or comes again; `max_attempts` is its class's limit, `previous` what layers above have attempted.
    /// One that is allowed is in flight from now on, until [`IdempotencyCache::end`].
    ///
    /// # Errors
    ///
    /// Says why the call must not go out.
    pub fn begin(
        &mut self,
        now: Micros,
        key: &K,
        idempotency: Idempotency,
        max_attempts: u32,
        previous: PreviousAttempts,
    ) -> Result<Allowance, Rejection> {
        self.evict_expired(now);
        let known = self.entries.get(key).copied();
        let made = match known {
            Some(Entry { in_flight: true, .. }) => return Err(Rejection::InFlight),
            Some(entry) if entry.may_have_run && idempotency == Idempotency::NonIdempotent => {
                return Err(Rejection::MayHaveRun)
            }
            Some(entry) => entry.attempts,
            // Whoever attempted it did so elsewhere: through another proxy, or this one before a restart.
            None if previous.0 > 0 && idempotency == Idempotency::NonIdempotent => {
                return Err(Rejection::UnknownAttempt)
            }
            None => previous.0,
        };
        let remaining = max_attempts.saturating_sub(made);
        if remaining == 0 {
            return Err(Rejection::Exhausted);
        }
        if known.is_none() && self.entries.len() >= self.config.max_entries {
            return Err(Rejection::CacheFull);
        }
        let (may_have_run, expires_at) =
            known.map_or((false, 0), |entry| (entry.may_have_run, entry.expires_at));
        self.entries.insert(key.clone(), Entry { attempts: made, may_have_run, in_flight: true, expires_at });
        Ok(Allowance { remaining_attempts: remaining, is_retry: known.is_some() || previous.0 > 0 })
    }

    /// A call has ended: so many of its attempts reached a server, and one may have run.
    pub fn end(&mut self, now: Micros, key: &K, attempts: u32, may_have_run: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        debug_assert!(entry.in_flight, "a call ends once");
        entry.in_flight = false;
        if attempts > 0 || may_have_run {
            entry.attempts = entry.attempts.saturating_add(attempts);
            entry.may_have_run |= may_have_run;
            entry.expires_at = now.saturating_add(self.config.retention);
            self.expiries.push_back(Expiry { at: entry.expires_at, key: key.clone() });
        } else if entry.expires_at <= now {
            self.entries.remove(key);
        }
    }

    /// The number of calls that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_expired(&mut self, now: Micros) {
        while self.expiries.front().is_some_and(|expiry| expiry.at <= now) {
            let Some(Expiry { at, key }) = self.expiries.pop_front() else { return };
            if self.entries.get(&key).is_some_and(|entry| !entry.in_flight && entry.expires_at == at) {
                self.entries.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
