//! What a node has in hand: when each request's answer was written, or its connection gone.
//!
//! All nodes are on one thread, so what one of them writes is on record before any of them reads what follows from it.
//! A connection that its client closes is another matter: the node finds it gone with a turn of the thread, perhaps
//! after another node has read what the client sent next. So it notes the moment of the turn before, after which the
//! connection must have gone.

use super::node::Answer;
use super::Shared;
use std::convert::Infallible;
use std::future::{pending, Future};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Time between two turns of the thread that are noted: the least that its timers count.
const TURN: Duration = Duration::from_millis(1);

/// Notes when the thread turns.
pub(super) fn beat(fleet: &Shared) {
    let fleet = fleet.clone();
    spawn_local(async move {
        loop {
            tokio::time::sleep(TURN).await;
            let mut state = fleet.borrow_mut();
            state.turns = (state.epoch.now(), state.turns.0);
        }
    });
}

/// A request in hand, by its place in the ledger. Dropped, its connection is gone.
pub(super) struct InHand {
    fleet: Shared,
    entry: usize,
}

impl InHand {
    pub(super) fn new(fleet: &Shared, entry: usize) -> InHand {
        InHand { fleet: fleet.clone(), entry }
    }

    pub(super) fn entry(&self) -> usize {
        self.entry
    }

    /// Its answer has been written.
    pub(super) fn answered(&self) {
        self.end(false);
    }

    /// The first end counts.
    fn end(&self, left: bool) {
        let mut state = self.fleet.borrow_mut();
        let (now, since) = (state.epoch.now(), state.turns.1);
        // Once the run has ended the ledger is gone.
        let Some(handled) = state.ledger.handled.get_mut(self.entry) else { return };
        if handled.ended == u64::MAX {
            handled.ended = now;
            handled.left = left.then_some(since);
        }
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.end(true);
    }
}

/// Does a request's work, with its way there and back, and notes meanwhile when `gone` is done, which is when its client
/// leaves. The work is told so.
pub(super) async fn attended<F: Future<Output = Answer>>(
    hand: &InHand,
    gone: impl Future<Output = ()>,
    work: impl FnOnce(oneshot::Receiver<()>) -> F,
) -> Answer {
    let (leaves, left) = oneshot::channel();
    let watch = async {
        gone.await;
        hand.end(true);
        // The work may be over.
        let _ = leaves.send(());
        pending::<Infallible>().await
    };
    tokio::select! {
        biased;
        never = watch => match never {},
        answer = work(left) => answer,
    }
}
