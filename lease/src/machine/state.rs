//! What one process consists of.

use super::leader::{Leader, LeaderEnvironment};
use super::pending_command::PendingCommand;
use super::persistence_state::Persistence;
use crate::application::Application;
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::facts::Facts;
use crate::leader::{Candidacy, LeaderState};
use crate::message::Message;
use crate::replica::{AdmissionStatus, FenceCheck, LocalReplica};
use crate::roster::Process;
use crate::status::LeaseStatus;
use crate::voter::Voter;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_MILLI: Micros = 1_000;

/// What a process is given with everything that happens.
pub struct Context<'a, F> {
    /// The time, from any fixed point before the process's start.
    pub now: Micros,
    /// What the process knows from outside the protocol.
    pub facts: &'a Facts<F>,
    /// The source of jitter.
    pub random: &'a mut dyn RngCore,
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect<A: Application> {
    /// Send a message to another process.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        message: Message<A>,
    },
    /// Give an operator the result of a command that was submitted here.
    CommandCompleted {
        /// The command's number.
        id: u64,
        /// What it led to.
        result: Result<A::Response, A::Rejection>,
    },
    /// This process is the leader from now on, under this ballot, or is it no longer.
    LeadershipChanged(Option<Ballot>),
    /// Something happened at the leader.
    Event(A::Event),
}

/// Who leads, as far as a process knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KnownLeader {
    pub name: Name,
    pub heard_at: Micros,
}

/// One process's part in the protocol, for one application.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine<A: Application> {
    pub(super) config: Config,
    pub(super) application: A,
    pub(super) voters: Voters,
    pub(super) me: Process,
    /// `None`: it is no voter, and never becomes the leader.
    pub(super) voter: Option<Voter<A>>,
    pub(super) member: LocalReplica<A>,
    pub(super) candidacy: Option<Candidacy<A>>,
    pub(super) next_candidacy_at: Micros,
    /// Candidacies in a row that did not succeed.
    pub(super) failed_candidacies: u32,
    pub(super) leader: Option<Box<Leader<A>>>,
    /// It has drawn when it sends its first query.
    pub(super) has_started: bool,
    pub(super) next_renewal_at: Micros,
    /// When it last asked for a lease.
    pub(super) last_renewal_at: Micros,
    /// As the leader: when the next renewal round begins.
    pub(super) next_round_at: Micros,
    pub(super) known_leader: Option<KnownLeader>,
    /// The place, among the voters, of the one that it last took for the leader without knowing one.
    pub(super) voter_cursor: usize,
    /// The processes that recently reported that their state is complete, and when.
    pub(super) peers_with_complete_state: BTreeMap<Name, Micros>,
    pub(super) pending_commands: VecDeque<PendingCommand<A::Command>>,
    /// `None`: nothing outlives the process.
    pub(super) persistence: Option<Persistence>,
    /// Its messages to itself, handled at the end of each step.
    pub(super) loopback: VecDeque<Message<A>>,
}

impl<A: Application> Machine<A> {
    /// A process that starts at `now`.
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
            next_round_at: now,
            known_leader: None,
            voter_cursor: 0,
            peers_with_complete_state: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            persistence: None,
            loopback: VecDeque::new(),
            member: LocalReplica::new(now),
            config,
            application,
            voters,
            me,
            voter,
        }
    }

    /// What the application keeps while this process leads; `None`: it does not lead.
    pub fn leader_data(&self, now: Micros) -> Option<&A::LeaderData> {
        self.leader.as_ref().filter(|leader| leader.state.is_leading(now)).map(|leader| &leader.data)
    }

    /// This process.
    pub fn me(&self) -> &Process {
        &self.me
    }

    /// The voters that it is configured with.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The time spans of the protocol.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Its application.
    pub fn application(&self) -> &A {
        &self.application
    }

    /// Its application, to be given what the process itself knows.
    pub fn application_mut(&mut self) -> &mut A {
        &mut self.application
    }

    /// Its part as a participant: the state that it has applied, and its lease.
    pub fn local_replica(&self) -> &LocalReplica<A> {
        &self.member
    }

    /// The state that it has applied, its spans as they were when it came.
    pub fn state(&self) -> &A::State {
        &self.member.state.state
    }

    /// Its ballot, while it leads.
    pub fn leading_ballot(&self, now: Micros) -> Option<&Ballot> {
        self.leader_state(now).map(LeaderState::ballot)
    }

    /// Its records, while it leads.
    pub fn leader_state(&self, now: Micros) -> Option<&LeaderState<A>> {
        self.leader.as_ref().map(|leader| &leader.state).filter(|state| state.is_leading(now))
    }

    /// Whether it was admitted.
    pub fn admission_status(&self) -> AdmissionStatus {
        self.member.admission_status()
    }

    /// The lease as operators see it.
    pub fn status(&self, now: Micros) -> LeaseStatus {
        let leader_state = self.leader_state(now);
        LeaseStatus {
            me: self.me.name.to_string(),
            leader: self.current_leader(now).map(|name| name.to_string()),
            highest_ballot: self.member.highest_ballot.as_ref().map(Ballot::to_string),
            is_leader: leader_state.is_some(),
            is_state_lost: leader_state.is_some_and(|state| state.state_lost_since.is_some()),
            admission: self.admission_status().as_str().to_owned(),
            reason: self.member.wait.reason.to_string(),
            lease_remaining_ms: self.member.lease_expiry.saturating_sub(now) / MICROS_PER_MILLI,
            version: self.member.state.version.to_string(),
            voter: self.voter.as_ref().map(|voter| voter.recovery),
        }
    }

    /// The leader that it has heard of within the duration of a lease.
    pub(super) fn current_leader(&self, now: Micros) -> Option<Name> {
        let is_fresh =
            |leader: &&KnownLeader| now.saturating_sub(leader.heard_at) <= self.config.lease_duration;
        self.known_leader.as_ref().filter(is_fresh).map(|leader| leader.name.clone())
    }

    /// It has just heard of this leader.
    pub(super) fn note_leader(&mut self, now: Micros, name: Name) {
        self.known_leader = Some(KnownLeader { name, heard_at: now });
    }

    /// The leader that this process is, with what is needed to act as it.
    pub(super) fn leader_with_environment<'a>(
        &'a mut self,
        now: Micros,
        facts: &'a Facts<A::Facts>,
    ) -> Option<(&'a mut Leader<A>, LeaderEnvironment<'a, A>)> {
        let leader = self.leader.as_deref_mut()?;
        let environment = LeaderEnvironment {
            now,
            config: &self.config,
            voters: &self.voters,
            facts,
            me: &self.me,
            application: &self.application,
        };
        Some((leader, environment))
    }

    /// Takes note of a ballot. Returns whether what was sent under it counts.
    pub(super) fn accept_fence(&mut self, fence: &Ballot) -> bool {
        match self.member.observe_fence(fence) {
            FenceCheck::Stale => false,
            FenceCheck::Current => true,
            FenceCheck::Raised => {
                self.application.higher_ballot_observed(fence);
                true
            }
        }
    }

    /// Applies a state. Returns whether it counts.
    pub(super) fn apply(&mut self, now: Micros, state: Versioned<A::State>) -> bool {
        let Some(fence) = state.version.ballot.clone() else { return false };
        let is_applied = self.accept_fence(&fence) && self.member.apply(now, state);
        if is_applied {
            self.application.state_changed(now, &self.member.state.state);
        }
        is_applied
    }

    /// A random span of up to a renewal interval.
    pub(super) fn jitter(&self, context: &mut Context<'_, A::Facts>) -> Micros {
        random_below(context, self.config.renewal_interval())
    }

    /// Sends a message to another process, or hands it to this one at the end of the step.
    pub(super) fn send(&mut self, to: &Name, message: Message<A>, effects: &mut Vec<Effect<A>>) {
        if *to == self.me.name {
            self.loopback.push_back(message);
        } else {
            effects.push(Effect::Send { to: to.clone(), message });
        }
    }

    /// Sends an answer, if there is one.
    pub(super) fn reply(&mut self, to: &Name, answer: Option<Message<A>>, effects: &mut Vec<Effect<A>>) {
        if let Some(message) = answer {
            self.send(to, message, effects);
        }
    }

    /// The voters beside this process.
    pub(super) fn other_voters(&self) -> Vec<Name> {
        self.voters.iter().filter(|name| **name != self.me.name).cloned().collect()
    }
}

/// A random span below `bound`, which counts as 32 bits at the most.
pub(super) fn random_below<F>(context: &mut Context<'_, F>, bound: Micros) -> Micros {
    (u64::from(context.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> u32::BITS
}
