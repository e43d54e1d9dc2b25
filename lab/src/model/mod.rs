//! What a node does with work, without I/O or a clock.

pub mod node;
pub mod pod;
