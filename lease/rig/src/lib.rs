//! What the models of all that is settled in common share: processes, messages between them, and faults, a step at a
//! time. A model says what is particular to its application ([`Fleet`]); the rig runs a step and names the acts that there
//! are in it. Faults fall between any two messages of a step. For tests only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod act;
mod draw;
mod fleet;
mod world;

pub use act::{Act, Lasting};
pub use draw::Fixed;
pub use fleet::{Bounds, Fleet};
pub use world::{Letter, World};
