//! Callbacks by which a coordinator exchanges data with the rest of its process, and the clock of its lease
//! machine.

use flaxhead_lease::{Application, Ballot, Machine, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// Clock of a lease machine, which counts microseconds since its coordinator started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Current time by this clock, in microseconds.
    pub fn now(self) -> Micros {
        Micros::try_from(self.0.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// Converts a time by this clock, in microseconds, to a [`tokio::time::Instant`].
    pub fn to_instant(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// Callbacks that a coordinator calls to get the process's data for its application, and to apply the
/// application's decisions in the process. They must not block, and must not call the coordinator.
pub trait Participant<A: Application> {
    /// Returns the data from outside the protocol that the application uses for its decisions. Called at most
    /// every 50 ms.
    fn facts(&self) -> A::Facts;
    /// Called before each call of the lease machine, to put data of this process into the machine's value of
    /// the application.
    fn before_step(&self, application: &mut A) {
        let _ = application;
    }
    /// Called after each call of the lease machine and before its messages are sent, to apply in this process
    /// the state and lease that it now has.
    fn after_step(&self, machine: &Machine<A>, clock: Clock);
    /// Called when this process becomes the leader under `ballot`; with `None`, when it stops being the
    /// leader.
    fn leadership_changed(&self, ballot: Option<&Ballot>);
    /// Called for each event that the application records while this process is the leader.
    fn event(&self, event: A::Event);
}
