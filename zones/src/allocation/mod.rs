//! Who sends how much where: what is admitted first, then by which ways.
//!
//! What is admitted is a largest flow, class by class: nothing of a class is refused while some of a worse one goes
//! through in its place. The ways are then chosen near before far, over all zones of one cost in proportion to what
//! they have to spare.
mod admit;
mod flow;
mod route;
mod weights;

pub use admit::{admit, AdmittedDemand};
pub use route::route;
pub use weights::{admission_level, admitted_demand, normalized_weights, AdmissionLevel, TOTAL_WEIGHT};

use crate::topology::Topology;

/// Whether traffic of one zone may go to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkState {
    /// It may.
    #[default]
    Open,

    /// After all others, whatever it costs.
    LastResort,

    /// It may not.
    Closed,
}

/// What is to be divided. All amounts are in thousandths of a call a second.
#[derive(Clone, Debug)]
pub struct AllocationInput<'a> {
    /// The zones.
    pub topology: &'a Topology,

    /// By origin and class of worth, what is asked for.
    pub demand: Vec<Vec<u64>>,

    /// By zone, what it can do.
    pub capacity: Vec<u64>,

    /// By origin and zone.
    pub links: Vec<Vec<LinkState>>,
}

impl AllocationInput<'_> {
    pub(crate) fn link(&self, origin: usize, target: usize) -> LinkState {
        self.links.get(origin).and_then(|links| links.get(target)).copied().unwrap_or(LinkState::Closed)
    }

    /// The order in which ways are taken: home, near, far, and strained ones last.
    pub(crate) fn cost(&self, origin: usize, target: usize) -> u64 {
        if origin == target {
            return 0;
        }
        let last_resort_cost = if self.link(origin, target) == LinkState::LastResort { 1 << 32 } else { 0 };

        // Home comes first even where leaving it costs nothing.
        1 + u64::from(self.topology.cost(origin, target)) + last_resort_cost
    }
}
