//! Test support for model checking of lease applications.
//!
//! A model implements [`SystemModel`] for its application. It consists of *nodes*, identified by an index; on
//! each node runs one process, which a crash replaces by a new one. A *history* is a sequence of *steps*. In
//! each step, the timers of all nodes run and all messages are delivered, unless a fault prevents it. This
//! package executes the steps and enumerates the faults that may occur in each.

mod fault;
mod random;
mod system_model;
mod system_state;

pub use fault::{Fault, LastingFault};
pub use random::FixedRandom;
pub use system_model::{Bounds, StepOutcome, SystemModel};
pub use system_state::{ActiveFault, Envelope, QueuedMessage, SystemState};
