//! State machine of one process for one application: its roles, and the messages that it exchanges with the
//! machines of other processes.

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
