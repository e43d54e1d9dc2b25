//! Callbacks through which an application reads data of the process and applies decisions to it.

use flaxhead_lease::{Application, Ballot, Machine, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// Clock of a machine: microseconds since its coordinator started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Current time in microseconds.
    pub fn now(self) -> Micros {
        Micros::try_from(self.0.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time of the machine to a [`tokio::time::Instant`].
    pub fn to_instant(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// Callbacks of an application into its process. They must not block, and must not call the coordinator.
pub trait Participant<A: Application> {
    /// Returns the application's input. Called at most every 50 ms.
    fn facts(&self) -> A::Facts;
    /// Called before each step of the machine, to pass local data to the application.
    fn before_step(&self, application: &mut A) {
        let _ = application;
    }
    /// Called after each step of the machine, before its messages are sent, to apply the decision locally.
    fn after_step(&self, machine: &Machine<A>, clock: Clock);
    /// Called when the process becomes the leader under `ballot`, or, with `None`, stops being the leader.
    fn leadership_changed(&self, ballot: Option<&Ballot>);
    /// Called for each event that the application records while this process is the leader.
    fn event(&self, event: A::Event);
}
