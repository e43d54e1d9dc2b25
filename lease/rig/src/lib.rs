//! Test support for model checking of lease applications.
//!
//! A model implements [`SystemModel`] for its application. This package executes the steps, which consist of
//! timers and messages between processes, and enumerates the faults that may occur between any two messages.

mod fault;
mod random;
mod system_model;
mod system_state;

pub use fault::{Fault, LastingFault};
pub use random::FixedRandom;
pub use system_model::{Bounds, StepOutcome, SystemModel};
pub use system_state::{ActiveFault, Envelope, QueuedMessage, SystemState};
