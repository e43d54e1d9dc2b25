//! Implementation of [`Application`] for [`Maintenance`]: what each process reports to the leader, and what
//! the leader does at each step and for each command.

use crate::application_types::{Maintenance, UsageReport};
use crate::command::{Command, CommandResponse, Rejection};
use crate::exclusion::excluded_from;
use crate::facts::HostFacts;
use crate::scheduler::Scheduler;
use flaxhead_lease::{Application, LeaderContext, LocalReplica, Micros, Process};

/// Sequence number of the first version of the schedule that a new leader replicates.
const INITIAL_SCHEDULE_SEQ: u64 = 1;

impl Application for Maintenance {
    /// Data that only the leader holds: none, since the schedule and the reports of the processes suffice.
    type LeaderData = ();

    fn report(&mut self, _: Micros, replica: &LocalReplica<Self>, facts: &HostFacts) -> UsageReport {
        // The leader needs to know the calls in flight only at hosts that are being drained. The report
        // leaves out all hosts that this process does not exclude, now or from a later time.
        let is_excluded = |host: &str| excluded_from(replica, host).is_some();
        let busy = self.usage.in_flight.iter().filter(|(host, calls)| **calls > 0 && is_excluded(host));
        UsageReport {
            busy: busy.map(|(host, calls)| (host.clone(), *calls)).collect(),
            load_millicalls: self.usage.load_millicalls,
            lost_zones: facts.lost_zones.clone(),
        }
    }

    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) {
        for drain in &mut context.state_mut().drains {
            // A new leader does not know which processes have confirmed a drain to the previous leader, nor
            // whether a majority of voters knows that a host is out of service. All must confirm the new
            // leader's first schedule.
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
