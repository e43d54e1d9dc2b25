//! Addition of processes to the leader's roster, grants of leases to them, and removal of ended processes.

use super::peer::PeerState;
use super::state::{LeaderState, INITIAL_ROSTER_SEQ};
use crate::ballot::Version;
use crate::config::Config;
use crate::facts::{Facts, MemberStatus, Presence};
use crate::roster::Process;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// Decision on a process's lease request, as far as it does not depend on the application.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RenewalOutcome {
    /// True if the process has applied a state of this leader. Only then is its report valid.
    pub report_counts: bool,
    /// True if this is the first valid report of the process to this leader.
    pub is_first_report: bool,
    /// True if the process gets a lease now.
    pub is_granted: bool,
    /// True if the process has not applied the leader's current state, which must then be sent to it.
    pub is_behind: bool,
    /// True if this request added the process to the roster.
    pub is_enrolled: bool,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// Handles the lease request of a process that has applied the state of `version`: adds it to the roster,
    /// records its report, and decides on the lease.
    pub(crate) fn renew(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        process: &Process,
        version: Version,
        report: T::Report,
    ) -> RenewalOutcome {
        let is_enrolled = self.enroll(now, config, process);
        let is_current = version == self.state.version;
        let report_counts = version.is_of(&self.ballot);
        let is_leading = self.is_leading(now);
        let mut is_first_report = false;
        let mut is_granted = false;
        if let Some(peer) = self.peers.get_mut(process) {
            if report_counts {
                is_first_report = peer.last_report_at.is_none();
                peer.version = version;
                peer.last_report_at = Some(now);
                peer.report = Some(report);
            }
            // The leader relies on the process having applied the current state as long as its lease is
            // valid. The roster must be committed, so that any later leader knows of the lease.
            let recorded_in = peer.recorded_in;
            is_granted =
                is_current && is_leading && self.is_roster_committed(now, config, voters, recorded_in);
        }
        if let Some(peer) = self.peers.get_mut(process).filter(|_| is_granted) {
            peer.lease_expiry = now + Config::with_max_drift(config.lease_duration);
        }
        RenewalOutcome { report_counts, is_first_report, is_granted, is_behind: !is_current, is_enrolled }
    }

    /// Adds a process to the roster. Returns false if it is already there.
    fn enroll(&mut self, now: Micros, config: &Config, process: &Process) -> bool {
        let is_new = self.roster.processes.insert(process.clone());
        if is_new {
            self.roster.version.seq += 1;
            let recorded_in = self.roster.version.seq;
            self.peers.insert(process.clone(), PeerState::new(now, config, recorded_in));
        }
        is_new
    }

    /// Removes a process from the roster, and notes it for [`crate::Application::process_left`].
    pub(super) fn remove_process(&mut self, process: &Process) {
        self.peers.remove(process);
        if self.roster.processes.remove(process) {
            self.roster.version.seq += 1;
        }
        self.departed.push(process.clone());
    }

    /// Removes processes that have ended from the roster, so that the application no longer waits for them.
    pub(crate) fn remove_ended<F>(&mut self, now: Micros, config: &Config, facts: &Facts<F>, me: &Process) {
        let has_ended = |process: &&Process| {
            let member = facts.members.get(&process.name);
            member.is_some_and(|member| self.has_ended(now, config, process, member))
                || self.has_successor(process)
        };
        let ended: Vec<Process> = self.peers.keys().filter(has_ended).cloned().collect();
        ended.iter().for_each(|process| self.remove_process(process));
        // The leader could listen on its address only after an earlier process of its own name had ended
        // there.
        let is_predecessor = |process: &&Process| {
            process.name == me.name && process.address == me.address && process.incarnation != me.incarnation
        };
        let predecessors: Vec<Process> = self.peers.keys().filter(is_predecessor).cloned().collect();
        predecessors.iter().for_each(|process| self.remove_process(process));
    }

    /// Returns whether `process` has ended, according to the membership's record `member` of its name.
    fn has_ended(&self, now: Micros, config: &Config, process: &Process, member: &MemberStatus) -> bool {
        if member.incarnation != process.incarnation {
            // `member` is another process of the same name. With the same address, only one of the two can be
            // running, since both listen there. The membership's record may still be that of the earlier one,
            // so `process` counts as ended only if its reports to this leader are also overdue.
            return member.address == process.address
                && member.presence == Presence::Alive
                && self.is_report_overdue(now, config, process);
        }
        match member.presence {
            Presence::Exited => true,
            // A process that announced its leave ends once its accepted calls have completed, so it counts as
            // ended after the maximum duration of a call.
            Presence::Left => {
                now.saturating_sub(member.since) >= Config::with_max_drift(config.max_call_duration)
            }
            Presence::Alive | Presence::Suspected | Presence::Unreachable => false,
        }
    }

    /// Returns whether `process` has not reported to this leader for longer than a lease duration.
    fn is_report_overdue(&self, now: Micros, config: &Config, process: &Process) -> bool {
        self.peers.get(process).is_some_and(|peer| {
            let since = peer.last_report_at.unwrap_or(peer.expected_since);
            now.saturating_sub(since) > config.lease_duration
        })
    }

    /// Returns whether `process`, known only from the roster of an earlier leader, was replaced: another
    /// process with the same name and address has reported to this leader, and `process` has not. It has then
    /// ended, even if the membership does not say so. Without this rule, the leader would wait for processes
    /// that were all killed and restarted together.
    fn has_successor(&self, process: &Process) -> bool {
        let took_part_before =
            |peer: &PeerState<T>| peer.recorded_in == INITIAL_ROSTER_SEQ && peer.last_report_at.is_none();
        let is_successor = |(other, peer): (&Process, &PeerState<T>)| {
            (&other.name, other.address) == (&process.name, process.address)
                && other.incarnation != process.incarnation
                && peer.last_report_at.is_some()
        };
        self.peers.get(process).is_some_and(took_part_before) && self.peers.iter().any(is_successor)
    }
}
