//! The state of one process, and the types that its messages carry.

use crate::command::{Command, CommandResponse, Rejection};
use crate::hosts::Host;
use crate::local_stats::LocalStats;
use crate::plan::{Plan, PlanError};
use crate::report::ZoneReport;
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::{ApplicationTypes, Config, Micros};

/// An event at the leader, for the audit trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlanEvent {
    /// Kind of the event: `plan` for a new plan, `healthy`, `degraded` or `unavailable` for a new health of a
    /// zone as seen from another, `report rejected`, or the name of an operator's command.
    pub kind: &'static str,
    /// Name of the zone or process that it concerns; empty: the whole plan.
    pub subject: String,
    /// Details of the event and its cause, for a human reader.
    pub reason: String,
}

/// The application's state in one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ZoneApplication {
    pub(crate) topology: Topology,
    pub(crate) settings: FailoverSettings,
    pub(crate) local_stats: LocalStats,
    pub(crate) wants_early_renewal: bool,
    /// The last valid plan, which is kept while a later one is invalid.
    pub(crate) last_valid_plan: Plan,
    /// The reason why the last plan that was received is invalid.
    pub(crate) plan_error: Option<PlanError>,
}

impl ZoneApplication {
    /// State of a process that starts in the zone with index `own_zone`, without a plan.
    pub fn new(
        now: Micros,
        topology: Topology,
        settings: FailoverSettings,
        own_zone: usize,
    ) -> ZoneApplication {
        let local_stats = LocalStats::new(now, &topology, own_zone);
        ZoneApplication {
            topology,
            settings,
            local_stats,
            wants_early_renewal: false,
            last_valid_plan: Plan::default(),
            plan_error: None,
        }
    }

    /// Configuration of the lease protocol. No process follows a plan for longer than a lease, and a leader
    /// can compute a lost plan anew from reports, so short timeouts are sufficient after a loss of state.
    pub fn lease_config(lease_duration: Micros) -> Config {
        Config {
            lease_duration,
            max_call_duration: lease_duration,
            state_loss_timeout: 2 * lease_duration,
            autonomy_timeout: 2 * lease_duration,
            operator_timeout: 0,
        }
    }

    /// The zones.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Index of the process's own zone.
    pub fn own_zone(&self) -> usize {
        self.local_stats.own_zone()
    }

    /// The statistics in which the driver records calls.
    pub fn local_stats_mut(&mut self) -> &mut LocalStats {
        &mut self.local_stats
    }

    /// Requests an early renewal if the health of a zone differs from the last report. The driver calls this
    /// regularly.
    pub fn update_early_renewal(&mut self, now: Micros) {
        self.wants_early_renewal = self.local_stats.has_health_change(now, &self.topology, &self.settings);
    }

    /// The last valid plan, whether or not it is still in force (see [`ZoneApplication::current_plan`]).
    pub fn last_valid_plan(&self) -> &Plan {
        &self.last_valid_plan
    }

    /// The reason why the last plan that was received is invalid; `None`: it is valid.
    pub fn plan_error(&self) -> Option<&PlanError> {
        self.plan_error.as_ref()
    }
}

impl ApplicationTypes for ZoneApplication {
    type State = Plan;
    type Report = ZoneReport;
    type Grant = ();
    type Command = Command;
    type Response = CommandResponse;
    type Rejection = Rejection;
    type Facts = Vec<Host>;
    type Event = PlanEvent;

    // Holds the largest plan: the maximum number of zones with the longest names, a weight and a health for
    // each pair.
    const MAX_STATE_BYTES: usize = 1 << 18;
    const MAX_REPORT_BYTES: usize = 1 << 12;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 9;
}
