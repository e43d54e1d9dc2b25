//! Which turn is next, and what keeps the others waiting.

mod obstacle;
mod scene;

pub use obstacle::Obstacle;
pub(crate) use scene::Scene;
