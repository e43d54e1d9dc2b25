//! One process's part in the plan, and what it says.
use crate::command::{Command, CommandResponse, Rejection};
use crate::hosts::Host;
use crate::local_stats::LocalStats;
use crate::plan::{Plan, PlanError};
use crate::report::ZoneReport;
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::{ApplicationTypes, Config, Micros};

/// A step, for the trail and the log of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlanEvent {
    /// What happened.
    pub kind: &'static str,

    /// To which zone, or of which process; empty: to the plan.
    pub subject: String,

    /// Why.
    pub reason: String,
}

/// The plan, as one process takes part in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ZoneApplication {
    pub(crate) topology: Topology,
    pub(crate) settings: FailoverSettings,
    pub(crate) local_stats: LocalStats,
    pub(crate) wants_early_renewal: bool,

    /// The last plan that could be gone by, and why a later one could not.
    pub(crate) last_valid_plan: Plan,

    pub(crate) plan_error: Option<PlanError>,
}

impl ZoneApplication {
    /// A process that starts in a zone of the map, by its place, and remembers nothing.
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

    /// How the machine is to be paced. A plan that is forgotten is made anew from figures; a lease is how long an old
    /// one may be gone by at the longest.
    pub fn lease_config(lease: Micros) -> Config {
        Config {
            lease,
            max_call_duration: lease,
            state_loss_timeout: 2 * lease,
            autonomy_timeout: 2 * lease,
            operator_wait: 0,
        }
    }

    /// The zones.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Its own zone.
    pub fn own_zone(&self) -> usize {
        self.local_stats.own_zone()
    }

    /// Where what it sees is counted.
    pub fn local_stats_mut(&mut self) -> &mut LocalStats {
        &mut self.local_stats
    }

    /// To be called now and then: a zone that is found otherwise than the last word said is told soon.
    pub fn update_early_renewal(&mut self, now: Micros) {
        self.wants_early_renewal = self.local_stats.has_health_change(now, &self.topology, &self.settings);
    }

    /// The last plan that could be gone by. Whether it is now, [`Zones::in_force`] says.
    pub fn last_valid_plan(&self) -> &Plan {
        &self.last_valid_plan
    }

    /// Why the plan that was told last is not gone by; `None`: it is.
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

    // As many zones as a map can have, with their longest names, each lost to and served by all.
    const MAX_STATE_BYTES: usize = 1 << 18;
    const MAX_REPORT_BYTES: usize = 1 << 12;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 9;
}
