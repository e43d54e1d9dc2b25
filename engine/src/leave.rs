//! Until when new requests may go to a host.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Shared by a host and the attempts at it. It is looked at when something is about to be written, so that a process
/// that was stopped meanwhile writes nothing that was still allowed when it was decided.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leave(Rc<Cell<Option<Instant>>>);

impl Leave {
    /// Sets the moment from which on nothing new goes there; `None`: there is none.
    pub fn set(&self, from: Option<Instant>) {
        self.0.set(from);
    }

    /// Whether nothing new goes there now.
    pub fn is_over(&self) -> bool {
        self.0.get().is_some_and(|from| Instant::now() >= from)
    }
}
