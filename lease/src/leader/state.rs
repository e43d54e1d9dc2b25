//! The records of a leader.

use super::candidacy::Candidacy;
use super::command::UncommittedCommand;
use super::peer::PeerState;
use super::voter_record::VoterRecord;
use crate::ballot::{Ballot, Version, Versioned};
use crate::config::Config;
use crate::message::Promise;
use crate::roster::{Process, Roster};
use crate::types::{ApplicationTypes, ReplicatedState};
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// The count of the roster that a leader begins with: all processes that took part before.
pub(super) const INITIAL_ROSTER_SEQ: u64 = 1;
/// The count of the state that a leader begins with.
const INITIAL_STATE_SEQ: u64 = 1;
/// The renewal round that a candidacy counts as.
pub(crate) const INITIAL_ROUND: u64 = 1;

/// The lease and the records of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderState<T: ApplicationTypes> {
    pub(crate) ballot: Ballot,
    /// When its lease ends, by its own clock.
    pub(super) lease_until: Micros,
    /// The current renewal round, when that began, and the voters that have accepted it.
    pub(crate) round: u64,
    pub(crate) round_started: Micros,
    pub(super) acceptances: BTreeSet<Name>,
    /// The incarnations of the voters that have promised.
    pub(crate) voter_incarnations: BTreeMap<Name, u64>,
    pub(super) voter_records: BTreeMap<Name, VoterRecord>,
    pub(crate) state: Versioned<T::State>,
    /// The time at which the spans in the state are exact.
    state_as_of: Micros,
    pub(crate) roster: Roster,
    pub(super) peers: BTreeMap<Process, PeerState<T>>,
    /// Since when it is not known for certain who takes part and what the state is.
    pub(crate) state_lost_since: Option<Micros>,
    /// The state includes that of a process that was admitted all along.
    has_survivor_state: bool,
    pub(super) uncommitted: Vec<UncommittedCommand<T>>,
    pub(super) events: Vec<T::Event>,
    /// Processes that have left the roster, which the application has not been told of yet.
    pub(super) departed: Vec<Process>,
}

/// The state of the process that becomes the leader.
pub(crate) struct OwnState<T: ApplicationTypes> {
    /// The state that it has applied.
    pub state: Versioned<T::State>,
    /// Whether it is complete.
    pub is_complete: bool,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// The leader of a candidacy that a majority of voters has granted the lease.
    pub(crate) fn new(
        now: Micros,
        config: &Config,
        voters: &Voters,
        candidacy: Candidacy<T>,
        own: &OwnState<T>,
        me: Process,
    ) -> LeaderState<T> {
        let is_recovered = candidacy.is_recovered(voters);
        let mut state = candidacy.newest_state(&own.state, is_recovered);
        let mut roster = candidacy.newest_roster();
        let Candidacy { ballot, started, promises, grants, .. } = candidacy;
        state.version = Version { ballot: Some(ballot.clone()), seq: INITIAL_STATE_SEQ };
        roster.version = Version { ballot: Some(ballot.clone()), seq: INITIAL_ROSTER_SEQ };
        roster.processes.insert(me);
        let incarnation = |(name, promise): (&Name, &Promise<T>)| (name.clone(), promise.incarnation);
        let peer = |process: &Process| (process.clone(), PeerState::new(now, config, INITIAL_ROSTER_SEQ));
        LeaderState {
            lease_until: started + config.lease_duration,
            round: INITIAL_ROUND,
            round_started: started,
            acceptances: grants,
            voter_incarnations: promises.iter().map(incarnation).collect(),
            voter_records: BTreeMap::new(),
            state,
            state_as_of: now,
            peers: roster.processes.iter().map(peer).collect(),
            roster,
            state_lost_since: (!is_recovered).then_some(now),
            has_survivor_state: own.is_complete,
            uncommitted: Vec::new(),
            events: Vec::new(),
            departed: Vec::new(),
            ballot,
        }
    }

    /// Its ballot.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// The state that it replicates.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// All processes that may hold a lease, and what is known of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.peers.iter()
    }

    /// Whether it knows the complete state.
    pub(crate) fn is_recovered(&self) -> bool {
        self.state_lost_since.is_none() || self.has_survivor_state
    }

    /// Merges another process's state, while its own may be incomplete.
    pub(crate) fn merge(&mut self, other: &T::State, is_complete: bool) {
        self.has_survivor_state |= is_complete;
        if self.state.state.merge(other) {
            self.publish();
        }
    }

    /// Counts the state, which has changed, as a new version.
    pub(super) fn publish(&mut self) {
        self.state.version.seq += 1;
    }

    /// Advances the spans in the state to the present.
    pub(crate) fn advance(&mut self, now: Micros) {
        self.state.state.advance(now.saturating_sub(self.state_as_of));
        self.state_as_of = now;
    }

    /// The events since this was last called.
    pub(crate) fn take_events(&mut self) -> Vec<T::Event> {
        std::mem::take(&mut self.events)
    }

    /// The processes that have left the roster since this was last called.
    pub(crate) fn take_departed(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.departed)
    }
}
