//! Callbacks that connect a lease application with the process that runs it.

use flaxhead_lease::{Application, Ballot, Machine, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// Clock of a lease machine: microseconds since its coordinator started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Current time on this clock, in microseconds.
    pub fn now(self) -> Micros {
        Micros::try_from(self.0.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time on this clock, in microseconds, to a [`tokio::time::Instant`].
    pub fn to_instant(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// Callbacks that connect a lease application with the process that runs it: they supply its data and apply
/// its decisions. They must not block, and must not call the coordinator.
pub trait Participant<A: Application> {
    /// Returns the data that the application uses for its decisions. Called at most every 50 ms.
    fn facts(&self) -> A::Facts;
    /// Called before each step of the lease machine, to pass data of this process to the application.
    fn before_step(&self, application: &mut A) {
        let _ = application;
    }
    /// Called after each step of the lease machine, before its messages are sent, to apply the decisions in
    /// this process.
    fn after_step(&self, machine: &Machine<A>, clock: Clock);
    /// Called when the process becomes the leader under `ballot`, or, with `None`, stops being the leader.
    fn leadership_changed(&self, ballot: Option<&Ballot>);
    /// Called for each event that the application records while this process is the leader.
    fn event(&self, event: A::Event);
}
