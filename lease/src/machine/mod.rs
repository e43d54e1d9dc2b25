//! One process: its parts, and what passes between them and the others.

mod bid;
mod disk;
mod hear;
mod holder;
mod lease;
mod leave;
mod orders;
mod recall;
mod state;
mod wait;

pub use state::{Around, Effect, Machine};
