//! How late a busy machine lets a test's thread get to what is due, by which bounds of time are widened.

use flaxhead_engine::{spawn, Task};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How late this thread gets to what is due.
pub struct Lag {
    most: Rc<Cell<Duration>>,
    _ticks: Task,
}

impl Lag {
    /// Watches it from now on, for as long as this is kept.
    pub fn watch() -> Lag {
        let most = Rc::new(Cell::new(Duration::ZERO));
        let seen = most.clone();
        let ticks = spawn(async move {
            const TICK: Duration = Duration::from_millis(10);
            loop {
                let due = Instant::now() + TICK;
                sleep(TICK).await;
                seen.set(seen.get().max(due.elapsed()));
            }
        });
        Lag { most, _ticks: ticks }
    }

    /// The most so far.
    pub fn most(&self) -> Duration {
        self.most.get()
    }
}
