//! The part of the leader: it moves drains on, and executes commands.

mod commands;
mod progress;
mod scheduling;
mod state;

pub(crate) use state::Scheduler;
