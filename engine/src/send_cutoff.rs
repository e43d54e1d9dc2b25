//! Time from which a host is excluded from new attempts.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Time from which no new attempts may be sent to a host, shared by the host and its attempts. It is checked
/// immediately before a request is written, so that a process that was paused after the decision to send does
/// not write after the cutoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendCutoff(Rc<Cell<Option<Instant>>>);

impl SendCutoff {
    /// Sets the cutoff; `None` removes it.
    pub(crate) fn set(&self, from: Option<Instant>) {
        self.0.set(from);
    }

    /// Returns whether the cutoff is set and has passed.
    pub(crate) fn has_passed(&self) -> bool {
        self.0.get().is_some_and(|from| Instant::now() >= from)
    }
}
