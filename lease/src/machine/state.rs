//! State of the machine, and the part of its public interface that reads it.

use super::leader::{Leader, LeaderInput};
use super::pending_command::PendingCommand;
use super::persistence_state::Persistence;
use crate::application::Application;
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::facts::Facts;
use crate::leader::{Candidacy, LeaderState};
use crate::message::Message;
use crate::replica::{AdmissionStatus, BallotCheck, LocalReplica};
use crate::roster::Process;
use crate::status::LeaseStatus;
use crate::voter::Voter;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_MILLI: Micros = 1_000;

/// Data that the driver passes to the machine in each call.
pub struct Context<'a, F> {
    /// Current time in microseconds, by the monotonic clock that also gave the start time in
    /// [`Machine::new`].
    pub now: Micros,
    /// Membership, and the data from outside that the application uses.
    pub facts: &'a Facts<F>,
    /// Random numbers, for jitter.
    pub random: &'a mut dyn RngCore,
}

/// Action that the driver must execute after a call of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect<A: Application> {
    /// Sends a message to another process.
    Send {
        /// Name of the receiving process.
        to: Name,
        /// Message for the driver to encode.
        message: Message<A>,
    },
    /// Reports the result of a command to its submitter at this process.
    CommandCompleted {
        /// Id that the driver passed to [`Machine::submit`].
        id: u64,
        /// Response of the application, or reason for the rejection.
        result: Result<A::Response, A::Rejection>,
    },
    /// Reports that this process became the leader under this ballot; `None`: it is no longer the leader.
    LeadershipChanged(Option<Ballot>),
    /// Reports an event that the application recorded while this process was the leader.
    Event(A::Event),
}

/// Process that another process named as the leader, or that acted as one, and when this was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KnownLeader {
    pub name: Name,
    pub heard_at: Micros,
}

/// State machine of one process for one application. It combines the roles of the process: participant
/// (requests a lease and applies the state), voter, and leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine<A: Application> {
    pub(super) config: Config,
    pub(super) application: A,
    pub(super) voters: Voters,
    pub(super) me: Process,
    /// Voter role; `None`: the process is not a configured voter and never becomes the leader.
    pub(super) voter: Option<Voter<A>>,
    pub(super) replica: LocalReplica<A>,
    /// Attempt of this voter to become the leader, if one is in progress.
    pub(super) candidacy: Option<Candidacy<A>>,
    pub(super) next_candidacy_at: Micros,
    /// Number of consecutive backoffs, which determines the length of the next one; reset when this voter
    /// becomes the leader.
    pub(super) failed_candidacies: u32,
    /// Leader role; `None`: this process is not the leader.
    pub(super) leader: Option<Box<Leader<A>>>,
    /// True once the first query and the first candidacy were delayed at random.
    pub(super) has_started: bool,
    /// Time of this process's next regular lease request.
    pub(super) next_renewal_at: Micros,
    /// Time of this process's last lease request.
    pub(super) last_renewal_at: Micros,
    /// Time at which this process, if it is the leader, next renews the leader's lease.
    pub(super) next_renewal_round_at: Micros,
    /// Last known leader, which counts for one lease duration.
    pub(super) known_leader: Option<KnownLeader>,
    /// Index of the voter that last received a lease request while no leader was known.
    pub(super) voter_cursor: usize,
    /// Processes that recently reported a complete state to this one, with the time of the report.
    pub(super) peers_with_complete_state: BTreeMap<Name, Micros>,
    pub(super) pending_commands: VecDeque<PendingCommand<A::Command>>,
    /// Record of what the disk holds; `None`: the state is not stored on disk.
    pub(super) persistence: Option<Persistence>,
    /// Messages of this process to itself, handled before the current call returns.
    pub(super) loopback: VecDeque<Message<A>>,
}

impl<A: Application> Machine<A> {
    /// Creates the machine of a process that starts at `now`, in microseconds by the clock that all later
    /// calls use.
    pub fn new(config: Config, application: A, voters: Voters, me: Process, now: Micros) -> Machine<A> {
        let voter = voters.contains(&me.name).then(|| Voter::new(now, &config));
        Machine {
            candidacy: None,
            next_candidacy_at: now + config.quarantine(),
            failed_candidacies: 0,
            leader: None,
            has_started: false,
            next_renewal_at: now,
            last_renewal_at: now,
            next_renewal_round_at: now,
            known_leader: None,
            voter_cursor: 0,
            peers_with_complete_state: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            persistence: None,
            loopback: VecDeque::new(),
            replica: LocalReplica::new(now),
            config,
            application,
            voters,
            me,
            voter,
        }
    }

    /// Data that the application keeps at the leader; `None`: this process is not the leader.
    pub fn leader_data(&self, now: Micros) -> Option<&A::LeaderData> {
        self.leader.as_ref().filter(|leader| leader.state.is_leading(now)).map(|leader| &leader.data)
    }

    /// Name, incarnation and address of this process.
    pub fn me(&self) -> &Process {
        &self.me
    }

    /// Voters with which this process is configured.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Time limits with which this process is configured.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Value of the application in this process.
    pub fn application(&self) -> &A {
        &self.application
    }

    /// Value of the application in this process, into which the driver may put data of the process.
    pub fn application_mut(&mut self) -> &mut A {
        &mut self.application
    }

    /// State that this process has applied, and the lease that the leader has granted to it.
    pub fn local_replica(&self) -> &LocalReplica<A> {
        &self.replica
    }

    /// State that this process has applied. The durations in it are those at the time of receipt;
    /// [`LocalReplica::current_state`] advances them.
    pub fn state(&self) -> &A::State {
        &self.replica.state.state
    }

    /// Ballot under which this process leads; `None`: it is not the leader.
    pub fn leading_ballot(&self, now: Micros) -> Option<&Ballot> {
        self.leader_state(now).map(LeaderState::ballot)
    }

    /// Lease, state and records that this process keeps as the leader; `None`: it is not the leader.
    pub fn leader_state(&self, now: Micros) -> Option<&LeaderState<A>> {
        self.leader.as_ref().map(|leader| &leader.state).filter(|state| state.is_leading(now))
    }

    /// Status that decides whether this process may serve: it waits, was admitted, or is autonomous.
    pub fn admission_status(&self) -> AdmissionStatus {
        self.replica.admission_status()
    }

    /// Status of this machine, as shown to operators.
    pub fn status(&self, now: Micros) -> LeaseStatus {
        let leader_state = self.leader_state(now);
        LeaseStatus {
            me: self.me.name.to_string(),
            leader: self.current_leader(now).map(|name| name.to_string()),
            highest_ballot: self.replica.highest_ballot.as_ref().map(Ballot::to_string),
            is_leader: leader_state.is_some(),
            is_state_lost: leader_state.is_some_and(|state| state.state_lost_since.is_some()),
            admission: self.admission_status().as_str().to_owned(),
            reason: self.replica.admission_wait.reason.to_string(),
            lease_remaining_ms: self.replica.lease_expiry.saturating_sub(now) / MICROS_PER_MILLI,
            version: self.replica.state.version.to_string(),
            voter: self.voter.as_ref().map(|voter| voter.recovery),
        }
    }

    /// Leader that this process last learned of, if within the last lease duration; `None`: it knows none.
    pub(super) fn current_leader(&self, now: Micros) -> Option<Name> {
        let is_fresh =
            |leader: &&KnownLeader| now.saturating_sub(leader.heard_at) <= self.config.lease_duration;
        self.known_leader.as_ref().filter(is_fresh).map(|leader| leader.name.clone())
    }

    /// Remembers the process `name` as the leader, for one lease duration from `now`.
    pub(super) fn record_leader(&mut self, now: Micros, name: Name) {
        self.known_leader = Some(KnownLeader { name, heard_at: now });
    }

    /// Returns the leader role together with the input for its methods; `None`: this process is not the
    /// leader.
    pub(super) fn leader_with_input<'a>(
        &'a mut self,
        now: Micros,
        facts: &'a Facts<A::Facts>,
    ) -> Option<(&'a mut Leader<A>, LeaderInput<'a, A>)> {
        let leader = self.leader.as_deref_mut()?;
        let input = LeaderInput {
            now,
            config: &self.config,
            voters: &self.voters,
            facts,
            me: &self.me,
            application: &self.application,
        };
        Some((leader, input))
    }

    /// Records a received ballot if it is the highest known. Returns false if a higher one is known, so that
    /// messages under `ballot` must be ignored.
    pub(super) fn accept_ballot(&mut self, ballot: &Ballot) -> bool {
        match self.replica.observe_ballot(ballot) {
            BallotCheck::Stale => false,
            BallotCheck::Current => true,
            BallotCheck::Raised => {
                self.application.higher_ballot_observed(ballot);
                true
            }
        }
    }

    /// Applies a state of a leader, unless this process knows a newer state or a higher ballot. Returns
    /// whether it was applied.
    pub(super) fn apply(&mut self, now: Micros, state: Versioned<A::State>) -> bool {
        let Some(ballot) = state.version.ballot.clone() else { return false };
        let is_applied = self.accept_ballot(&ballot) && self.replica.apply(now, state);
        if is_applied {
            self.application.state_changed(now, &self.replica.state.state);
        }
        is_applied
    }

    /// Random duration below the renewal interval, in microseconds.
    pub(super) fn jitter(&self, context: &mut Context<'_, A::Facts>) -> Micros {
        random_below(context, self.config.renewal_interval())
    }

    /// Sends a message to the process `to`. A message to this process itself is handled before the current
    /// call returns.
    pub(super) fn send(&mut self, to: &Name, message: Message<A>, effects: &mut Vec<Effect<A>>) {
        if *to == self.me.name {
            self.loopback.push_back(message);
        } else {
            effects.push(Effect::Send { to: to.clone(), message });
        }
    }

    /// Sends `response` to the process `to`; with `None`, sends nothing.
    pub(super) fn reply(&mut self, to: &Name, response: Option<Message<A>>, effects: &mut Vec<Effect<A>>) {
        if let Some(message) = response {
            self.send(to, message, effects);
        }
    }

    /// Names of all configured voters except this process.
    pub(super) fn other_voters(&self) -> Vec<Name> {
        self.voters.iter().filter(|name| **name != self.me.name).cloned().collect()
    }
}

/// Random duration below `bound`, in microseconds. A `bound` above [`u32::MAX`] counts as [`u32::MAX`].
pub(super) fn random_below<F>(context: &mut Context<'_, F>, bound: Micros) -> Micros {
    (u64::from(context.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> u32::BITS
}
