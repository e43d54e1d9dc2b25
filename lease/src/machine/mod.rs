//! One process: its parts, and what passes between them and the other processes.

mod admission;
mod commands;
mod election;
mod leader;
mod lease;
mod pending_command;
mod persistence;
mod persistence_state;
mod receive;
mod renewal;
mod replication;
mod schedule;
mod state;
mod voter_recovery;

pub use state::{Context, Effect, Machine};
