//! State of a leader that does not depend on the kind of application.

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

/// Sequence number of a leader's first roster, which contains the processes known from earlier leaders.
pub(super) const INITIAL_ROSTER_SEQ: u64 = 1;
/// Sequence number of a leader's first state.
const INITIAL_STATE_SEQ: u64 = 1;
/// Number of a leader's first renewal round, which is its election.
pub(crate) const INITIAL_RENEWAL_ROUND: u64 = 1;

/// State of a leader: its lease, the replicated state, the roster, and its records of voters and processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderState<T: ApplicationTypes> {
    pub(crate) ballot: Ballot,
    /// End of the leader's own lease, by its clock.
    pub(super) lease_expiry: Micros,
    /// Number of the current renewal round. The two fields below are its start and the voters that have
    /// accepted it.
    pub(crate) round: u64,
    pub(crate) renewal_round_started: Micros,
    pub(super) acceptances: BTreeSet<Name>,
    /// Incarnations of the voters that have promised, by name. Only such a voter gets proposals.
    pub(crate) voter_incarnations: BTreeMap<Name, u64>,
    /// Last acceptance of each voter.
    pub(super) voter_records: BTreeMap<Name, VoterRecord>,
    /// Replicated state of the application.
    pub(crate) state: Versioned<T::State>,
    /// Time to which the durations in `state` were last advanced, by the leader's clock.
    state_as_of: Micros,
    pub(crate) roster: Roster,
    /// Records of each process on the roster.
    pub(super) peers: BTreeMap<Process, PeerState<T>>,
    /// Time of the election, if no majority of recovered voters took part in it: the roster and the state may
    /// lack committed changes. `None`: both are complete, or count as complete after a timeout or an
    /// operator's declaration.
    pub(crate) state_lost_since: Option<Micros>,
    /// True if `state` includes the complete state of a process that had one, even though too many voters had
    /// lost theirs at the election.
    has_complete_state: bool,
    /// Executed commands whose effects are not committed yet.
    pub(super) uncommitted: Vec<UncommittedCommand<T>>,
    /// Events of the application that were not yet passed to the driver.
    pub(super) events: Vec<T::Event>,
    /// Processes that were removed from the roster and for which `process_left` was not called yet.
    pub(super) departed: Vec<Process>,
}

/// State of the candidate that becomes the leader, from before its election.
pub(crate) struct OwnState<T: ApplicationTypes> {
    /// State that the candidate has applied.
    pub state: Versioned<T::State>,
    /// True if `state` contains every committed change. False in a process that restarted and has not
    /// recovered the state since.
    pub is_complete: bool,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// Creates the state of a new leader from its successful candidacy. `own` is its state from before the
    /// election.
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
            lease_expiry: started + config.lease_duration,
            round: INITIAL_RENEWAL_ROUND,
            renewal_round_started: started,
            acceptances: grants,
            voter_incarnations: promises.iter().map(incarnation).collect(),
            voter_records: BTreeMap::new(),
            state,
            state_as_of: now,
            peers: roster.processes.iter().map(peer).collect(),
            roster,
            state_lost_since: (!is_recovered).then_some(now),
            has_complete_state: own.is_complete,
            uncommitted: Vec::new(),
            events: Vec::new(),
            departed: Vec::new(),
            ballot,
        }
    }

    /// Ballot under which the leader was elected.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Replicated state, with the version that this leader has assigned.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// Processes on the roster, which may hold a lease, with the leader's records of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.peers.iter()
    }

    /// Returns whether the leader's state contains every committed change.
    pub(crate) fn knows_complete_state(&self) -> bool {
        self.state_lost_since.is_none() || self.has_complete_state
    }

    /// Merges the state of another process into the leader's state, which may lack committed changes.
    /// `is_complete` says whether `other` contains them all.
    pub(crate) fn merge(&mut self, other: &T::State, is_complete: bool) {
        self.has_complete_state |= is_complete;
        if self.state.state.merge(other) {
            self.publish();
        }
    }

    /// Assigns the next sequence number to the changed state, so that it is replicated.
    pub(super) fn publish(&mut self) {
        self.state.version.seq += 1;
    }

    /// Advances the durations in the replicated state to `now`.
    pub(crate) fn advance(&mut self, now: Micros) {
        self.state.state.advance(now.saturating_sub(self.state_as_of));
        self.state_as_of = now;
    }

    /// Removes and returns the events that the application has recorded since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<T::Event> {
        std::mem::take(&mut self.events)
    }

    /// Removes and returns the processes that were removed from the roster since the last call.
    pub(crate) fn take_departed(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.departed)
    }
}
