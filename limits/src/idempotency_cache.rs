//! Cache of calls by call id or idempotency key, which limits the attempts of a call that is submitted more
//! than once, by any layer: a non-idempotent call never runs twice, and the attempts of all submissions of
//! another call count toward the one limit of its class.
//!
//! An entry is kept for the retention period after the end of the last submission in which an attempt was
//! sent. If no attempt was sent in any submission, the entry is removed when the submission ends. Entries are
//! never evicted early for lack of space; a full cache rejects new calls instead.

use flaxhead_policy::{Idempotency, Micros};
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Limits on the entries of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyCacheConfig {
    /// Maximum number of entries; further calls are rejected with [`Rejection::CacheFull`].
    pub max_entries: usize,
    /// Time for which an entry is kept after the end of the last submission in which an attempt was sent, in
    /// microseconds.
    pub retention: Micros,
}

impl Default for IdempotencyCacheConfig {
    /// 1,048,576 entries, kept for ten minutes.
    fn default() -> Self {
        IdempotencyCacheConfig { max_entries: 1 << 20, retention: 600_000_000 }
    }
}

/// Number of earlier attempts that the caller reports, as in the header `grpc-previous-rpc-attempts` (gRFC
/// A6).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousAttempts(pub u32);

/// Attempts that a submission of a call may make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Maximum number of attempts in this submission that may reach a host.
    pub remaining_attempts: u32,
    /// True if the call was submitted or attempted before, so that this submission costs a token of the retry
    /// budget.
    pub is_retry: bool,
}

/// Reason for which a submission of a call must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another submission with the same id or key is in flight.
    InFlight,
    /// An earlier submission with the same id or key may have run, and the call is not idempotent.
    MayHaveRun,
    /// The caller reports an earlier attempt that the cache does not know, and the call is not idempotent.
    UnknownAttempt,
    /// All attempts that the class of the call allows were made in earlier submissions.
    Exhausted,
    /// No space for another call until an entry expires.
    CacheFull,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Number of attempts that may have reached a host in all submissions, including earlier ones that the
    /// caller reported.
    attempts: u32,
    may_have_run: bool,
    in_flight: bool,
    /// Time from which the entry may be evicted unless a submission is in flight; 0 before the first
    /// submission with a sent attempt ends.
    expires_at: Micros,
}

/// Scheduled expiry of an entry. It has no effect if the entry's expiry time has changed since.
#[derive(Clone, Debug)]
struct Expiry<K> {
    at: Micros,
    key: K,
}

/// Calls by id or key, each with the attempts of all its submissions.
#[derive(Clone, Debug)]
pub struct IdempotencyCache<K> {
    config: IdempotencyCacheConfig,
    entries: HashMap<K, Entry>,
    /// Scheduled expiries, ordered by time; one for each submission with a sent attempt.
    expiries: VecDeque<Expiry<K>>,
}

impl<K: Clone + Eq + Hash> IdempotencyCache<K> {
    /// Creates a cache without entries.
    pub fn new(config: IdempotencyCacheConfig) -> IdempotencyCache<K> {
        IdempotencyCache { config, entries: HashMap::new(), expiries: VecDeque::new() }
    }

    /// Starts a submission of a call, the first or a later one. `max_attempts` is the limit of the call's
    /// class, and `previous` the number of earlier attempts that the caller reports. An allowed submission is
    /// in flight until [`IdempotencyCache::end`] is called.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the call must not be sent.
    pub fn begin(
        &mut self,
        now: Micros,
        key: &K,
        idempotency: Idempotency,
        max_attempts: u32,
        previous: PreviousAttempts,
    ) -> Result<Allowance, Rejection> {
        self.evict_expired(now);
        let existing = self.entries.get(key).copied();
        let attempts_made = match existing {
            Some(Entry { in_flight: true, .. }) => return Err(Rejection::InFlight),
            Some(entry) if entry.may_have_run && idempotency == Idempotency::NonIdempotent => {
                return Err(Rejection::MayHaveRun)
            }
            Some(entry) => entry.attempts,
            // The reported attempt was made through another process, or before a restart of this one.
            None if previous.0 > 0 && idempotency == Idempotency::NonIdempotent => {
                return Err(Rejection::UnknownAttempt)
            }
            None => previous.0,
        };
        let remaining = max_attempts.saturating_sub(attempts_made);
        if remaining == 0 {
            return Err(Rejection::Exhausted);
        }
        if existing.is_none() && self.entries.len() >= self.config.max_entries {
            return Err(Rejection::CacheFull);
        }
        let (may_have_run, expires_at) =
            existing.map_or((false, 0), |entry| (entry.may_have_run, entry.expires_at));
        self.entries.insert(
            key.clone(),
            Entry { attempts: attempts_made, may_have_run, in_flight: true, expires_at },
        );
        Ok(Allowance { remaining_attempts: remaining, is_retry: existing.is_some() || previous.0 > 0 })
    }

    /// Ends a submission of a call. `attempts` is the number of its attempts that may have reached a host,
    /// and `may_have_run` is true if a host may have run one of them.
    pub fn end(&mut self, now: Micros, key: &K, attempts: u32, may_have_run: bool) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        debug_assert!(entry.in_flight, "`end` without a matching `begin`");
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

    /// Returns the number of calls in the cache, including expired ones that are not yet evicted.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no calls are in the cache.
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
