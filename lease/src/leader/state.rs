//! State of a leader, independent of its application.

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

/// Sequence number of the first roster of a leader, which contains the processes known from earlier leaders.
pub(super) const INITIAL_ROSTER_SEQ: u64 = 1;
/// Sequence number of the first state of a leader.
const INITIAL_STATE_SEQ: u64 = 1;
/// Number of the first renewal round, in which the election itself counts as a renewal.
pub(crate) const INITIAL_RENEWAL_ROUND: u64 = 1;

/// Lease of a leader, its replicated state, the roster, and its records about voters and processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderState<T: ApplicationTypes> {
    pub(crate) ballot: Ballot,
    /// End of the lease, by the leader's clock.
    pub(super) lease_expiry: Micros,
    /// Number of the current renewal round. The two fields below are its start and the voters that accepted
    /// it.
    pub(crate) round: u64,
    pub(crate) renewal_round_started: Micros,
    pub(super) acceptances: BTreeSet<Name>,
    /// Incarnations of the voters that have promised.
    pub(crate) voter_incarnations: BTreeMap<Name, u64>,
    pub(super) voter_records: BTreeMap<Name, VoterRecord>,
    pub(crate) state: Versioned<T::State>,
    /// Time at which the durations in the state were last advanced.
    state_as_of: Micros,
    pub(crate) roster: Roster,
    pub(super) peers: BTreeMap<Process, PeerState<T>>,
    /// Time since which the roster and the state may lack committed changes; `None`: both are complete.
    pub(crate) state_lost_since: Option<Micros>,
    /// True if the state includes that of a process which remained admitted throughout the loss.
    has_complete_state: bool,
    pub(super) uncommitted: Vec<UncommittedCommand<T>>,
    pub(super) events: Vec<T::Event>,
    /// Processes that were removed from the roster and not yet reported to the application.
    pub(super) departed: Vec<Process>,
}

/// State of the process that becomes the leader.
pub(crate) struct OwnState<T: ApplicationTypes> {
    /// State that the process has applied before it became the leader.
    pub state: Versioned<T::State>,
    /// True if that state contains every committed change, which holds unless the process restarted and has
    /// not recovered it.
    pub is_complete: bool,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// Creates the leader from a candidacy that was granted the lease by a majority of voters.
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

    /// State that the leader replicates, with its version.
    pub fn state(&self) -> &Versioned<T::State> {
        &self.state
    }

    /// Processes that may hold a lease, with the leader's records of them.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.peers.iter()
    }

    /// Returns whether the leader's state contains every committed change.
    pub(crate) fn knows_complete_state(&self) -> bool {
        self.state_lost_since.is_none() || self.has_complete_state
    }

    /// Merges the state of another process, while the leader's own may be incomplete.
    pub(crate) fn merge(&mut self, other: &T::State, is_complete: bool) {
        self.has_complete_state |= is_complete;
        if self.state.state.merge(other) {
            self.publish();
        }
    }

    /// Assigns a new version to the changed state.
    pub(super) fn publish(&mut self) {
        self.state.version.seq += 1;
    }

    /// Advances the durations in the state to `now`.
    pub(crate) fn advance(&mut self, now: Micros) {
        self.state.state.advance(now.saturating_sub(self.state_as_of));
        self.state_as_of = now;
    }

    /// Takes the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<T::Event> {
        std::mem::take(&mut self.events)
    }

    /// Takes the processes that were removed from the roster since the last call.
    pub(crate) fn take_departed(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.departed)
    }
}
