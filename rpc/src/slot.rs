//! Where a call's one answer is put down for the host to find.
//!
//! The engine's thread runs no code of the host: it puts the answer down and hands the host's waker to another
//! thread. A waker that blocks or panics keeps that thread busy, and neither the engine nor an answer.

use crate::grpc::Answer;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::thread;

#[derive(Debug, Default)]
struct Inside {
    answer: Option<Answer>,
    waker: Option<Waker>,
    answered: bool,
}

/// The host's end.
#[derive(Clone, Debug, Default)]
pub struct Slot(Arc<Mutex<Inside>>);

/// The engine's end: dropped without an answer, it puts down that there will be none.
#[derive(Debug)]
pub struct Filler {
    slot: Slot,
    wakers: Wakers,
    /// What is put down where nothing else is.
    lost: fn() -> Answer,
}

impl Slot {
    /// Both ends of one.
    pub fn new(wakers: &Wakers, lost: fn() -> Answer) -> (Slot, Filler) {
        let slot = Slot::default();
        (slot.clone(), Filler { slot, wakers: wakers.clone(), lost })
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        // Nothing that can panic is done under the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The answer, once; else `waker` is woken when it is there.
    pub fn poll(&self, waker: &Waker) -> Poll<Answer> {
        // Cloned and dropped outside the lock: both are the host's code.
        let waker = waker.clone();
        let mut inside = self.lock();
        match inside.answer.take() {
            Some(answer) => Poll::Ready(answer),
            None => {
                let before = inside.waker.replace(waker);
                drop(inside);
                drop(before);
                Poll::Pending
            }
        }
    }
}

impl Filler {
    /// Puts the answer down.
    pub fn fill(self, answer: Answer) {
        self.put(answer);
    }

    /// What is put down should this be dropped.
    pub fn or_else(&mut self, lost: fn() -> Answer) {
        self.lost = lost;
    }

    fn put(&self, answer: Answer) {
        let mut inside = self.slot.lock();
        if std::mem::replace(&mut inside.answered, true) {
            return;
        }
        inside.answer = Some(answer);
        let waker = inside.waker.take();
        drop(inside);
        self.wakers.wake(waker);
    }
}

impl Drop for Filler {
    fn drop(&mut self) {
        if !self.slot.lock().answered {
            self.put((self.lost)());
        }
    }
}

/// The thread that wakes the host.
#[derive(Clone, Debug)]
pub struct Wakers(mpsc::Sender<Waker>);

impl Wakers {
    /// Starts it; it ends with the last of these.
    pub fn start() -> std::io::Result<Wakers> {
        let (wakers, woken) = mpsc::channel::<Waker>();
        thread::Builder::new().name("flaxhead-wake".to_owned()).spawn(move || {
            for waker in woken {
                if catch_unwind(AssertUnwindSafe(|| waker.wake())).is_err() {
                    tracing::warn!("a waker of the application panicked");
                }
            }
        })?;
        Ok(Wakers(wakers))
    }

    fn wake(&self, waker: Option<Waker>) {
        if let Some(waker) = waker {
            // The thread lasts as long as this.
            let _ = self.0.send(waker);
        }
    }
}
