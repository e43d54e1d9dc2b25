//! The callbacks of the lease protocol.

use crate::application_types::ZoneApplication;
use crate::command::{Command, CommandResponse, Rejection};
use crate::hosts::Host;
use crate::plan::Plan;
use crate::planner::{Planner, PlannerRun};
use crate::report::ZoneReport;
use flaxhead_lease::{Application, LeaderContext, LocalReplica, Micros, Process};

impl Application for ZoneApplication {
    type LeaderData = Planner;

    fn report(&mut self, now: Micros, _: &LocalReplica<Self>, _: &Vec<Host>) -> ZoneReport {
        self.wants_early_renewal = false;
        self.local_stats.report(now, &self.topology)
    }

    fn state_changed(&mut self, _: Micros, plan: &Plan) {
        match plan.check(&self.topology) {
            Ok(()) => (self.last_valid_plan, self.plan_error) = (plan.clone(), None),
            Err(error) => self.plan_error = Some(error),
        }
    }

    fn wants_early_renewal(&self) -> bool {
        self.wants_early_renewal
    }

    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) -> Planner {
        Planner::begin(&self.topology, &self.settings, context)
    }

    fn grant(&self, _: &mut Planner, _: &mut LeaderContext<'_, Self>, _: &Process) {}

    fn process_left(&self, planner: &mut Planner, _: &mut LeaderContext<'_, Self>, process: &Process) {
        planner.remove_process(process);
    }

    fn step(&self, planner: &mut Planner, context: &mut LeaderContext<'_, Self>) {
        PlannerRun { topology: &self.topology, settings: &self.settings, planner, context }.step();
    }

    fn command(
        &self,
        planner: &mut Planner,
        context: &mut LeaderContext<'_, Self>,
        command: Command,
    ) -> Result<CommandResponse, Rejection> {
        PlannerRun { topology: &self.topology, settings: &self.settings, planner, context }.execute(command)
    }
}
