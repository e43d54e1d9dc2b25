//! The leader's part: the health of zones, the steps of the plan, and the commands of operators.

mod assess;
mod commands;
mod publish;
mod state;

pub use state::Planner;
pub(crate) use state::PlannerRun;
