//! Persistence of a machine's state over a restart of the process.
//!
//! A process reports an applied state or a stored roster to others only once it is on disk, because they rely
//! on it. A process that restarts with its stored state therefore behaves like a paused one, except for
//! leases: the leader's leases that a voter has granted are not stored, so a restarted voter is quarantined
//! in any case.

use super::persistence_state::{Persistence, WaitingAcceptance};
use super::state::{Context, Effect, Machine};
use crate::application::Application;
use crate::ballot::Version;
use crate::message::{Acceptance, Message};
use crate::persistent_state::{PersistentState, PersistentStateVersion};
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::ReplicatedState;
use flaxhead_membership::{Micros, Name};

impl<A: Application> Machine<A> {
    /// Enables persistence, and loads the state `found` that the previous process stored `age` microseconds
    /// ago; `None`: none was found. Must be called before any other method that changes the machine.
    #[must_use]
    pub fn with_persistence(
        mut self,
        now: Micros,
        found: Option<PersistentState<A>>,
        age: Micros,
    ) -> Machine<A> {
        let persisted = found.as_ref().map(PersistentState::version).unwrap_or_default();
        if let Some(found) = found {
            self.load(now, found, age);
        }
        self.persistence = Some(Persistence { persisted, waiting: None });
        self
    }

    fn load(&mut self, now: Micros, found: PersistentState<A>, age: Micros) {
        let PersistentState { is_recovered, voter_sets, promised, highest_ballot, roster, mut state } = found;
        let was_recovered = is_recovered && voter_sets == self.voters.hashes();
        state.state.advance(age);
        self.apply(now, state);
        if let Some(ballot) = &highest_ballot {
            self.accept_ballot(ballot);
        }
        if let Some(voter) = &mut self.voter {
            voter.was_recovered = was_recovered;
            voter.promised = promised;
            voter.roster = roster;
        }
    }

    /// Returns the state to be stored on disk, which the process needs after a restart.
    pub fn persistent_state(&self, now: Micros) -> PersistentState<A> {
        PersistentState {
            is_recovered: self.is_recovered_voter(),
            voter_sets: self.voters.hashes(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            highest_ballot: self.replica.highest_ballot.clone(),
            roster: self.voter.as_ref().map_or_else(Roster::default, |voter| voter.roster.clone()),
            state: self.replica.current_state(now),
        }
    }

    /// Returns the version of [`Machine::persistent_state`] without building that state; `None`: persistence
    /// is disabled.
    pub fn persistent_state_version(&self) -> Option<PersistentStateVersion> {
        self.persistence.as_ref()?;
        Some(PersistentStateVersion {
            is_recovered: self.is_recovered_voter(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            highest_ballot: self.replica.highest_ballot.clone(),
            roster: self.own_roster_version(),
            state: self.replica.state.version.clone(),
        })
    }

    /// Records that the state of `version` is on disk. Sends the responses that waited for it: an acceptance
    /// to the leader, and a renewal that reports the newer applied state.
    pub fn state_persisted(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        version: PersistentStateVersion,
        effects: &mut Vec<Effect<A>>,
    ) {
        let Some(persistence) = &mut self.persistence else { return };
        let is_newer = version.state > persistence.persisted.state;
        persistence.persisted = version;
        if let Some(WaitingAcceptance { to, ballot, round }) = persistence.waiting.take() {
            let roster = self.persisted_roster_version(self.own_roster_version());
            let incarnation = self.me.incarnation;
            let acceptance = Acceptance { ballot, round, incarnation, roster };
            self.send(&to, Message::Accepted(acceptance), effects);
        }
        if is_newer {
            self.renew(context, effects);
        }
        self.handle_loopback(context, effects);
    }

    /// Returns whether this process is a voter whose roster and state are recovered, or were so when it
    /// loaded them.
    fn is_recovered_voter(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.recovery == RecoveryState::Recovered || voter.was_recovered)
    }

    fn own_roster_version(&self) -> Version {
        self.voter.as_ref().map_or_else(Version::default, |voter| voter.roster.version.clone())
    }

    /// Version of the state that this process may report to the leader as applied: the applied one, unless
    /// the disk holds only an older one.
    pub(super) fn persisted_state_version(&self) -> Version {
        let applied = &self.replica.state.version;
        let persistence = self.persistence.as_ref();
        persistence.map_or(applied, |disk| applied.min(&disk.persisted.state)).clone()
    }

    /// Version of the roster that this voter may report to the leader as stored: `roster`, unless the disk
    /// holds only an older one.
    fn persisted_roster_version(&self, roster: Version) -> Version {
        match &self.persistence {
            Some(persistence) => roster.min(persistence.persisted.roster.clone()),
            None => roster,
        }
    }

    /// Limits the roster version in an acceptance for the leader `to` to the one that is on disk. If the
    /// voter has a newer roster, the acceptance is sent again once that roster is on disk. Other messages are
    /// returned unchanged.
    pub(super) fn limit_to_persisted(&mut self, to: &Name, response: Message<A>) -> Message<A> {
        let Message::Accepted(mut acceptance) = response else { return response };
        let persisted = self.persisted_roster_version(acceptance.roster.clone());
        if let Some(persistence) = self.persistence.as_mut().filter(|_| persisted < acceptance.roster) {
            let (ballot, round) = (acceptance.ballot.clone(), acceptance.round);
            persistence.waiting = Some(WaitingAcceptance { to: to.clone(), ballot, round });
        }
        acceptance.roster = persisted;
        Message::Accepted(acceptance)
    }
}
