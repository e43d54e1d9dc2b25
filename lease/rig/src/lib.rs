//! Model checking of applications of a lease: processes, messages between them, and faults, one step at a time.
//!
//! A model says what is particular to its application ([`SystemModel`]); the rig runs a step and lists the faults that may occur
//! in it. Faults occur between any two messages of a step. For tests only.

mod fault;
mod fleet;
mod random;
mod world;

pub use fault::{Fault, LastingFault};
pub use fleet::{Bounds, StepOutcome, SystemModel};
pub use random::FixedRandom;
pub use world::{ActiveFault, Envelope, QueuedMessage, SystemState};
