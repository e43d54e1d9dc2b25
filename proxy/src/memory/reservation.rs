//! A message's bytes in a pool.

use super::pool::{HolderId, MemoryPool, SLOW_TIME};
use std::future::poll_fn;
use std::task::{Context, Poll};
use tokio::time::timeout;

/// Bytes of a pool that one message holds; released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    pool: MemoryPool,
    id: HolderId,
}

/// Refers to a reservation without holding it, to learn whether it is to be shed.
#[derive(Clone, Debug)]
pub struct ShedHandle {
    pool: MemoryPool,
    id: HolderId,
}

/// The message is to be given up, for there is no memory for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shed;

impl Reservation {
    pub(super) fn new(pool: MemoryPool, id: HolderId) -> Reservation {
        Reservation { pool, id }
    }

    /// A handle to this reservation.
    pub fn handle(&self) -> ShedHandle {
        ShedHandle { pool: self.pool.clone(), id: self.id }
    }

    /// Changes the number of bytes. Pending: it waits for others to release theirs, or is to be shed itself.
    pub fn poll_resize(&self, bytes: usize, context: &mut Context<'_>) -> Poll<()> {
        self.pool.poll_resize(self.id, bytes, context)
    }

    /// The same, at once or not at all.
    pub fn try_resize(&self, bytes: usize) -> bool {
        self.pool.try_resize(self.id, bytes)
    }

    /// Waits until the number of bytes is changed.
    ///
    /// # Errors
    ///
    /// Where the message is to be shed instead.
    pub(super) async fn resize(&self, bytes: usize) -> Result<(), Shed> {
        if self.try_resize(bytes) {
            return Ok(());
        }
        loop {
            let resized = poll_fn(|context| match self.poll_resize(bytes, context) {
                Poll::Ready(()) => Poll::Ready(Ok(())),
                Poll::Pending => self.poll_shed(context).map(|()| Err(Shed)),
            });
            if let Ok(resized) = timeout(SLOW_TIME, resized).await {
                return resized;
            }
            // Others may have become slow meanwhile.
            if self.pool.refuses_when_full() {
                return Err(Shed);
            }
        }
    }

    /// Ready once the message is to be shed.
    pub fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.pool.poll_shed(self.id, context)
    }

    /// From now on the message is complete, and not shed.
    pub fn settle(&self) {
        self.pool.set_sheddable(self.id, false);
    }

    /// The message is unfinished again, as with the next request of a connection.
    pub fn unsettle(&self) {
        self.pool.set_sheddable(self.id, true);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.release(self.id);
    }
}

impl ShedHandle {
    /// Sets whether the message may be shed although it is complete.
    pub fn set_sheddable(&self, sheddable: bool) {
        self.pool.set_sheddable(self.id, sheddable);
    }

    /// Ready once the message is to be shed.
    pub fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.pool.poll_shed(self.id, context)
    }
}
