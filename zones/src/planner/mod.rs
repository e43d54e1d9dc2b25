//! The part of the one that settles the plan.
mod assess;
mod commands;
mod publish;
mod state;

pub use state::Planner;
pub(crate) use state::PlannerRun;
