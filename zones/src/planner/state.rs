//! The leader's state.

use crate::application_types::ZoneApplication;
use crate::health_matrix::{DampedHealth, HealthMatrix};
use crate::plan::Plan;
use crate::report::{ReportError, ZoneHealth};
use crate::settings::FailoverSettings;
use crate::steps::{TrafficSplit, TrafficSplits};
use crate::topology::Topology;
use flaxhead_lease::{LeaderContext, Micros, Process, Version};
use std::collections::BTreeMap;

/// The leader's working state. It ends with the lease; what the next leader needs is in the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Planner {
    pub(super) health_matrix: HealthMatrix,
    /// By zone: the ratio of the capacity that the zone was found to have to the nominal capacity of its
    /// hosts.
    pub(super) achieved_per_mille: Vec<u32>,
    /// By zone: the time of the last vote on it, and the time since which there were votes without a long
    /// pause.
    pub(super) observed: Vec<(Micros, Micros)>,
    /// By zone: successful calls per second.
    pub(super) completed: Vec<u64>,
    /// Processes whose reports are rejected, and why.
    pub(super) rejected_reports: BTreeMap<Process, ReportError>,
    /// Demand by origin and class, in thousandths of a call per second.
    pub(super) demand: Vec<Vec<u64>>,
    pub(super) started_at: Micros,
    pub(super) next_assessment_at: Micros,
    pub(super) next_step_at: Micros,
    /// Whether a zone became unavailable after the last step of the plan.
    pub(super) is_urgent: bool,
}

/// References to the planner, the settings and the leader's context, as a callback of the lease protocol gets
/// them.
pub(crate) struct PlannerRun<'a, 'b> {
    pub topology: &'a Topology,
    pub settings: &'a FailoverSettings,
    pub planner: &'a mut Planner,
    pub context: &'a mut LeaderContext<'b, ZoneApplication>,
}

impl Planner {
    /// Starts from the replicated plan, as the previous leader left it.
    pub(crate) fn begin(
        topology: &Topology,
        settings: &FailoverSettings,
        context: &mut LeaderContext<'_, ZoneApplication>,
    ) -> Planner {
        let now = context.now;
        let mut health_matrix = HealthMatrix::new(now, topology);
        let mut achieved_per_mille = vec![1_000; topology.count()];
        if context.state().check(topology).is_err() {
            // Processes reject an invalid plan as a whole, and it is not known which of its parts are right.
            *context.state_mut() = Plan::default();
        }
        for pair in &context.state().pairs {
            let indices = topology.index(&pair.observer).zip(topology.index(&pair.target));
            let health = [ZoneHealth::Healthy, ZoneHealth::Degraded, ZoneHealth::Unavailable]
                .get(usize::from(pair.health))
                .copied();
            if let (Some((observer, target)), Some(health)) = (indices, health) {
                let since = now.saturating_sub(pair.age);
                health_matrix.set(
                    observer,
                    target,
                    DampedHealth::restore(health, since, pair.witnesses, pair.recent_outages),
                );
            }
        }
        for capacity in &context.state().capacities {
            if let Some(zone) = topology.index(&capacity.zone) {
                achieved_per_mille[zone] = capacity.achieved_per_mille.clamp(1, 1_000);
            }
        }
        let version = Version { ballot: Some(context.ballot().clone()), seq: context.state_seq() };
        context.state_mut().version = version;
        Planner {
            health_matrix,
            achieved_per_mille,
            observed: vec![(now, 0); topology.count()],
            completed: vec![0; topology.count()],
            rejected_reports: BTreeMap::new(),
            demand: vec![Vec::new(); topology.count()],
            started_at: now,
            next_assessment_at: now,
            next_step_at: now + settings.step_interval,
            is_urgent: false,
        }
    }

    /// Health of all pairs of zones.
    pub fn health_matrix(&self) -> &HealthMatrix {
        &self.health_matrix
    }

    /// Processes whose reports are rejected, and why.
    pub fn rejected_reports(&self) -> &BTreeMap<Process, ReportError> {
        &self.rejected_reports
    }

    /// Demand by origin and class, in thousandths of a call per second.
    pub fn demand(&self) -> &[Vec<u64>] {
        &self.demand
    }

    pub(crate) fn remove_process(&mut self, process: &Process) {
        self.rejected_reports.remove(process);
    }
}

/// The splits of a valid plan, by indices of zones.
pub(super) fn traffic_splits(plan: &Plan, topology: &Topology) -> TrafficSplits {
    let traffic_split = |origin: usize| {
        let split = plan.split(topology.name(origin))?;
        let mut weights = vec![0; topology.count()];
        for (target, weight) in &split.weights {
            if let Some(target) = topology.index(target) {
                weights[target] = *weight;
            }
        }
        Some(TrafficSplit { admission: split.admission, weights })
    };
    (0..topology.count()).map(traffic_split).collect()
}
