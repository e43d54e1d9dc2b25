//! Scheduling of the next drain, from the schedule and the reports that the leader has.

use super::state::Scheduler;
use crate::application_types::UsageReport;
use crate::selection::{BlockedReason, SchedulingContext, Selection};
use crate::stage::Stage;
use flaxhead_lease::{MemberStatus, Name, Presence};
use std::collections::BTreeSet;

impl Scheduler<'_, '_> {
    /// Schedules one requested drain if the limits allow it, and states for each requested drain that is
    /// blocked what it waits for. Returns whether a drain was scheduled.
    pub(super) fn schedule_next(&mut self) -> bool {
        let Selection { next, blocked } = self.select();
        for drain in blocked {
            self.set_waits_for(drain.id, drain.reason.to_string());
        }
        let Some(id) = next else { return false };
        self.record_event(id, "settled", "it is its turn".to_owned());
        self.move_to_stage(id, Stage::Scheduled);
        true
    }

    fn select(&self) -> Selection {
        let lost_zones: BTreeSet<String> =
            self.reports().flat_map(|report| report.lost_zones.iter().cloned()).collect();
        let context = SchedulingContext {
            schedule: self.schedule(),
            facts: &self.leader.facts.application,
            limits: &self.config.limits,
            load_millicalls: self.reports().map(|report| u64::from(report.load_millicalls)).sum(),
            lost_zones: &lost_zones,
            blocked_by: self.blocked_by(),
        };
        context.select()
    }

    fn reports(&self) -> impl Iterator<Item = &UsageReport> {
        self.leader.processes().filter_map(|(_, peer)| peer.report())
    }

    /// Returns a reason that blocks all requested drains: the schedule is lost, or the leader does not know
    /// the calls in flight of some process; `None`: there is none.
    fn blocked_by(&self) -> Option<BlockedReason> {
        if self.leader.state_lost_since().is_some() {
            return Some(BlockedReason::StateLost);
        }
        // A process that has not reported recently may have calls in flight that the leader does not know of,
        // or may reach no host of a zone. No drain is scheduled until every process has reported.
        let unsettled = |reason: String| Some(BlockedReason::MembershipUnsettled(reason));
        let members = &self.leader.facts.members;
        let is_suspected = |member: &MemberStatus| member.presence == Presence::Suspected;
        if let Some((name, _)) = members.iter().find(|(_, member)| is_suspected(member)) {
            return unsettled(format!("{name} is doubted"));
        }
        if let Some((name, _)) = members.iter().find(|(name, member)| self.is_unenrolled(name, member)) {
            return unsettled(format!("{name} runs and is not let in yet"));
        }
        let silent = self.leader.processes().find(|(_, peer)| !self.leader.heard_recently(peer));
        silent.and_then(|(process, _)| unsettled(format!("{} is not heard and may still send", process.name)))
    }

    /// Returns whether the membership lists a process as alive that is not on the roster.
    fn is_unenrolled(&self, name: &Name, member: &MemberStatus) -> bool {
        let is_enrolled = self
            .leader
            .processes()
            .any(|(process, _)| process.name == *name && process.incarnation == member.incarnation);
        member.presence == Presence::Alive && !is_enrolled
    }
}
