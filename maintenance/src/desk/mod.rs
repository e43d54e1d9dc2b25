//! The part of the one that hands out turns.

mod orders;
mod settle;
mod state;
mod steps;

pub(crate) use state::Desk;
