//! What the process contributes to an application, and how it carries out what is decided.

use flaxhead_lease::{Application, Ballot, Machine, Micros};
use std::time::Duration;
use tokio::time::Instant;

/// The clock of a machine: the time since its coordinator started.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock(Instant::now())
    }

    /// The time of the machine.
    pub fn now(self) -> Micros {
        Micros::try_from(self.0.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// A time of the machine as a moment of the process.
    pub fn to_instant(self, at: Micros) -> Instant {
        self.0 + Duration::from_micros(at)
    }
}

/// The process's side of an application. None of the methods may wait, or call the coordinator.
pub trait Participant<A: Application> {
    /// What the application decides by; asked for some twenty times a second at the most.
    fn facts(&self) -> A::Facts;
    /// Called before the machine does anything, to give the application what only the process knows.
    fn before_step(&self, application: &mut A) {
        let _ = application;
    }
    /// Called after the machine did something, and before any other process hears of it: what it decided takes effect
    /// here.
    fn after_step(&self, machine: &Machine<A>, clock: Clock);
    /// This process is the leader from now on, under this ballot, or is it no longer.
    fn leadership_changed(&self, ballot: Option<&Ballot>);
    /// Something happened at the leader, which is this process.
    fn event(&self, event: A::Event);
}
