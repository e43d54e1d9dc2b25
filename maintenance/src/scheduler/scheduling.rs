//! Which drain is scheduled next.

use super::state::Scheduler;
use crate::application_types::UsageReport;
use crate::selection::{BlockedReason, SchedulingContext, Selection};
use crate::stage::Stage;
use flaxhead_lease::{MemberStatus, Name, Presence};
use std::collections::BTreeSet;

impl Scheduler<'_, '_> {
    /// Schedules a drain, if one may be. Returns whether one was.
    pub(super) fn schedule_next(&mut self) -> bool {
        let Selection { next, blocked } = self.select();
        for drain in blocked {
            self.set_waits_for(drain.id, drain.reason.to_string());
        }
        let Some(id) = next else { return false };
        self.record(id, "settled", "it is its turn".to_owned());
        self.move_to(id, Stage::Scheduled);
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

    /// What blocks every drain.
    fn blocked_by(&self) -> Option<BlockedReason> {
        if self.leader.state_lost_since().is_some() {
            return Some(BlockedReason::StateLost);
        }
        // Its own report is not enough to know the fleet: it must have heard all processes, or know what became of them.
        let unsettled = |reason: String| Some(BlockedReason::MembershipUnsettled(reason));
        let members = &self.leader.facts.members;
        let is_suspected = |member: &MemberStatus| member.presence == Presence::Suspected;
        if let Some((name, _)) = members.iter().find(|(_, member)| is_suspected(member)) {
            return unsettled(format!("{name} is doubted"));
        }
        if let Some((name, _)) = members.iter().find(|(name, member)| self.is_outside(name, member)) {
            return unsettled(format!("{name} runs and is not let in yet"));
        }
        let unheard = self.leader.processes().find(|(_, peer)| !self.leader.heard_recently(peer));
        unheard
            .and_then(|(process, _)| unsettled(format!("{} is not heard and may still send", process.name)))
    }

    /// Whether a member runs that is not on the roster.
    fn is_outside(&self, name: &Name, member: &MemberStatus) -> bool {
        let is_enrolled = self
            .leader
            .processes()
            .any(|(process, _)| process.name == *name && process.incarnation == member.incarnation);
        member.presence == Presence::Alive && !is_enrolled
    }
}
