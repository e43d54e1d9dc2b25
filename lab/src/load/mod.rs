//! Load that cannot flatter: what arrives is fixed ahead, and leaves on time whatever the answers do.

pub mod client;
pub mod part;
pub mod schedule;
pub mod sender;
pub mod shape;
pub mod trace;
