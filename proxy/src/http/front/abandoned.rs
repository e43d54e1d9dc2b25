//! Calls whose clients left without a response while a host may have run them. One that comes again with the same id
//! must not run a second time.

use super::Driver;
use crate::http::{Http, Reply};
use flaxhead_engine::PendingCall;
use flaxhead_policy::{ClassId, DedupScope, Idempotency};
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a call is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(60);
/// Most calls that are remembered; the oldest is forgotten first.
const MAX_CALLS: usize = 4_096;

/// Stands for a call's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdHash(u64);

#[derive(Debug, Default)]
struct Inner {
    hasher: RandomState,
    ids: HashSet<u64>,
    /// In the order in which they were abandoned.
    order: VecDeque<(Instant, u64)>,
}

/// Calls that were abandoned. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct AbandonedCalls(Rc<RefCell<Inner>>);

impl AbandonedCalls {
    /// What stands for a call's id, which may be as long as a head.
    pub(super) fn hash(&self, id: &[u8]) -> IdHash {
        IdHash(self.0.borrow().hasher.hash_one(id))
    }

    /// Whether a call with this id was abandoned after a host may have run it.
    pub(super) fn contains(&self, IdHash(id): IdHash) -> bool {
        let mut inner = self.0.borrow_mut();
        inner.forget_old();
        inner.ids.contains(&id)
    }

    fn insert(&self, IdHash(id): IdHash) {
        let mut inner = self.0.borrow_mut();
        if inner.ids.insert(id) {
            inner.order.push_back((Instant::now(), id));
        }
        inner.forget_old();
    }
}

impl Inner {
    fn forget_old(&mut self) {
        while let Some(&(at, id)) = self.order.front() {
            if self.order.len() <= MAX_CALLS && at.elapsed() < MEMORY_TIME {
                return;
            }
            self.order.pop_front();
            self.ids.remove(&id);
        }
    }
}

/// Whether calls of a class must not run again wherever the policy sends them.
pub(super) fn must_run_once(driver: &Driver, ClassId(class): ClassId) -> bool {
    let class = driver.config.settings.classes.get(class);
    match class.map(|class| class.idempotency) {
        Some(Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }) => false,
        Some(Idempotency::Keyed { .. } | Idempotency::NonIdempotent) | None => true,
    }
}

/// A call that must run once and waits for its response. Dropped before that, it is remembered.
pub(super) struct GuardedCall {
    pending: Option<PendingCall<Http>>,
    id: IdHash,
    abandoned: AbandonedCalls,
}

impl GuardedCall {
    /// Guards a call with this id.
    pub(super) fn new(pending: PendingCall<Http>, id: IdHash, abandoned: AbandonedCalls) -> GuardedCall {
        GuardedCall { pending: Some(pending), id, abandoned }
    }

    /// Waits for the response.
    pub(super) async fn reply(mut self) -> Reply {
        let Some(pending) = &mut self.pending else { return Reply::Failed };
        let reply = pending.final_response().await.reply;
        self.pending = None;
        reply
    }
}

impl Drop for GuardedCall {
    fn drop(&mut self) {
        if self.pending.take().is_some_and(|pending| pending.abandon().may_have_run) {
            self.abandoned.insert(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
