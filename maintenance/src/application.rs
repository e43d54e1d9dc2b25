//! The drains, as something that the proxies agree upon.

use crate::application_types::{Maintenance, UsageReport};
use crate::command::{Command, CommandResponse, Rejection};
use crate::exclusion::excluded_from;
use crate::facts::HostFacts;
use crate::scheduler::Scheduler;
use flaxhead_lease::{Application, LeaderContext, LocalReplica, Micros, Process};

/// The count of the schedule that a leader begins with.
const INITIAL_SCHEDULE_SEQ: u64 = 1;

impl Application for Maintenance {
    /// All that the leader must keep is in the schedule, and in the reports of the processes.
    type LeaderData = ();

    fn report(&mut self, _: Micros, member: &LocalReplica<Self>, facts: &HostFacts) -> UsageReport {
        // Only hosts that are excluded, or will be, are of interest.
        let is_excluded = |host: &str| excluded_from(member, host).is_some();
        let busy = self.usage.in_flight.iter().filter(|(host, calls)| **calls > 0 && is_excluded(host));
        UsageReport {
            busy: busy.map(|(host, calls)| (host.clone(), *calls)).collect(),
            load: self.usage.load,
            lost_zones: facts.lost_zones.clone(),
        }
    }

    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) {
        for drain in &mut context.state_mut().drains {
            // All processes confirm it anew: what was confirmed to another leader is not known here.
            drain.stage_seq = INITIAL_SCHEDULE_SEQ;
            drain.is_free = false;
        }
    }

    fn grant(&self, _: &mut (), _: &mut LeaderContext<'_, Self>, _: &Process) {}

    fn step(&self, _: &mut (), context: &mut LeaderContext<'_, Self>) {
        Scheduler::new(&self.config, context).step();
    }

    fn command(
        &self,
        _: &mut (),
        context: &mut LeaderContext<'_, Self>,
        command: Command,
    ) -> Result<CommandResponse, Rejection> {
        Scheduler::new(&self.config, context).execute(command)
    }
}
