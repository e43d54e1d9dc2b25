//! What the process brings to an application, and what it does by it.

use flaxhead_lease::{Application, Ballot, Machine, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// The clock that a machine goes by: how long ago its coordinator began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time, in microseconds.
    pub fn now(self) -> Micros {
        self.0.elapsed().as_micros() as Micros
    }

    /// A time of the machine as a moment of the process.
    pub fn moment(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// A process's side of an application. None of its methods may wait, or call the coordinator.
pub trait Side<M: Application> {
    /// What the application goes by; asked for some twenty times a second at the most.
    fn facts(&self) -> M::Facts;
    /// Before the machine does anything: what only the process knows.
    fn before(&self, application: &mut M) {
        let _ = application;
    }
    /// After the machine did something, and before anybody hears of it: what it decided takes effect here.
    fn after(&self, machine: &Machine<M>, clock: Clock);
    /// This process holds from now on, or no longer.
    fn holds(&self, fence: Option<&Ballot>);
    /// A step, at the holder.
    fn noted(&self, note: M::Event);
}
