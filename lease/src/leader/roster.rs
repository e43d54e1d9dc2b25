//! How processes come onto the roster, get a lease, and leave the roster.

use super::peer::PeerState;
use super::state::{LeaderState, INITIAL_ROSTER_SEQ};
use crate::ballot::Version;
use crate::config::Config;
use crate::facts::{Facts, MemberStatus, Presence};
use crate::roster::Process;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// What a renewal led to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RenewalOutcome {
    /// The process has applied a state of this leader, so its report counts.
    pub report_counts: bool,
    /// It is the first report of the process that counts.
    pub is_first_report: bool,
    /// The process gets a lease.
    pub is_granted: bool,
    /// The process needs the state.
    pub is_behind: bool,
    /// The process was not on the roster before.
    pub is_enrolled: bool,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// A process that has applied the state of this version asks for a lease, and reports.
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
            // A lease goes only to a process that has applied the current state: that is what it is granted for.
            let recorded_in = peer.recorded_in;
            is_granted =
                is_current && is_leading && self.is_roster_committed(now, config, voters, recorded_in);
        }
        if let Some(peer) = self.peers.get_mut(process).filter(|_| is_granted) {
            peer.lease_expiry = now + Config::with_max_drift(config.lease_duration);
        }
        RenewalOutcome { report_counts, is_first_report, is_granted, is_behind: !is_current, is_enrolled }
    }

    /// Puts a process on the roster. Returns whether it was not there before.
    fn enroll(&mut self, now: Micros, config: &Config, process: &Process) -> bool {
        let is_new = self.roster.processes.insert(process.clone());
        if is_new {
            self.roster.version.seq += 1;
            let recorded_in = self.roster.version.seq;
            self.peers.insert(process.clone(), PeerState::new(now, config, recorded_in));
        }
        is_new
    }

    pub(super) fn remove_process(&mut self, process: &Process) {
        self.peers.remove(process);
        if self.roster.processes.remove(process) {
            self.roster.version.seq += 1;
        }
        self.departed.push(process.clone());
    }

    /// Removes the processes that have ended, so that nobody waits for them any longer.
    pub(crate) fn remove_ended<F>(&mut self, now: Micros, config: &Config, facts: &Facts<F>, me: &Process) {
        let has_ended = |process: &&Process| {
            let member = facts.members.get(&process.name);
            member.is_some_and(|member| self.has_ended(now, config, process, member))
                || self.has_successor(process)
        };
        let ended: Vec<Process> = self.peers.keys().filter(has_ended).cloned().collect();
        ended.iter().for_each(|process| self.remove_process(process));
        // An earlier process of this one's own name ended before this one could listen.
        let is_predecessor = |process: &&Process| {
            process.name == me.name && process.address == me.address && process.incarnation != me.incarnation
        };
        let predecessors: Vec<Process> = self.peers.keys().filter(is_predecessor).cloned().collect();
        predecessors.iter().for_each(|process| self.remove_process(process));
    }

    /// Whether a process has ended, according to what the membership says of the member with its name.
    fn has_ended(&self, now: Micros, config: &Config, process: &Process, member: &MemberStatus) -> bool {
        if member.incarnation != process.incarnation {
            // Two processes cannot listen at one address. Which of them is the later the membership may not have heard
            // yet; but the one that ended before the other began answers nothing.
            return member.address == process.address
                && member.presence == Presence::Alive
                && self.is_unheard(now, config, process);
        }
        match member.presence {
            Presence::Exited => true,
            // It answers the requests that it has accepted, and then it is gone.
            Presence::Left => {
                now.saturating_sub(member.since) >= Config::with_max_drift(config.max_call_duration)
            }
            Presence::Alive | Presence::Suspected | Presence::Unreachable => false,
        }
    }

    /// Whether a process has not reported for longer than the duration of a lease.
    fn is_unheard(&self, now: Micros, config: &Config, process: &Process) -> bool {
        self.peers.get(process).is_some_and(|peer| {
            let since = peer.last_report_at.unwrap_or(peer.expected_since);
            now.saturating_sub(since) > config.lease_duration
        })
    }

    /// Whether a process that took part before this leader began has been replaced by another at its address. One that has
    /// applied this leader's state has reported since this leader began, and two cannot listen at one address: so the
    /// earlier one had ended by then, however little was heard of that. Where all processes were killed and the roster is
    /// on their disks, this keeps the leader from waiting for them in vain.
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
