//! Until when new requests may be sent to a host.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Shared by a host and the attempts at it. It is checked when something is about to be written, so that a process that
/// was paused meanwhile writes nothing that was still allowed when it was decided.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendCutoff(Rc<Cell<Option<Instant>>>);

impl SendCutoff {
    /// Sets the moment from which on nothing new is sent there; `None`: there is none.
    pub(crate) fn set(&self, from: Option<Instant>) {
        self.0.set(from);
    }

    /// Whether nothing new is sent there now.
    pub(crate) fn has_passed(&self) -> bool {
        self.0.get().is_some_and(|from| Instant::now() >= from)
    }
}
