//! Scheduler of the leader, which moves drains through their stages and executes commands.

mod commands;
mod progress;
mod scheduling;
mod state;

pub(crate) use state::Scheduler;
