//! Allocation of the demand to the zones, in two stages.
//!
//! First, a maximum flow, class by class, determines the admitted demand: a class is rejected only where none
//! of a class with lower priority is admitted in its place. Then the admitted demand is routed over links in
//! the order of their cost. All zones at the same cost are used in proportion to their free capacity.

mod admit;
mod flow;
mod route;
mod weights;

pub use admit::{admit, AdmittedDemand};
pub use route::route;
pub use weights::{admission_level, admitted_demand, normalized_weights, AdmissionLevel, TOTAL_WEIGHT};

use crate::topology::Topology;

/// Whether traffic from one zone may go to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkState {
    /// Traffic is allowed.
    #[default]
    Open,
    /// Traffic is allowed only if all open links lack capacity, whatever their cost.
    LastResort,
    /// Traffic is not allowed.
    Closed,
}

/// The input of an allocation. Amounts are in thousandths of a call per second.
#[derive(Clone, Debug)]
pub struct AllocationInput<'a> {
    /// The zones and the costs between them.
    pub topology: &'a Topology,
    /// Demand by origin and priority class.
    pub demand: Vec<Vec<u64>>,
    /// Capacity by zone.
    pub capacity: Vec<u64>,
    /// Link states by origin and target.
    pub links: Vec<Vec<LinkState>>,
}

impl AllocationInput<'_> {
    pub(crate) fn link(&self, origin: usize, target: usize) -> LinkState {
        self.links.get(origin).and_then(|links| links.get(target)).copied().unwrap_or(LinkState::Closed)
    }

    /// Sort key of a link: the origin's own zone comes first, then links by their cost, then links of last
    /// resort.
    pub(crate) fn cost(&self, origin: usize, target: usize) -> u64 {
        if origin == target {
            return 0;
        }
        let last_resort_cost = if self.link(origin, target) == LinkState::LastResort { 1 << 32 } else { 0 };
        // The own zone must come first even if calls to other zones cost nothing.
        1 + u64::from(self.topology.cost(origin, target)) + last_resort_cost
    }
}
