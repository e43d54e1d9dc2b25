//! A disk that outlives the process.
//!
//! What other processes rely on once this one has sent it (that it has applied a state, that it stores a roster) is not
//! sent before it is on the disk. So a process that is killed and restarts with its state is like one that was stopped
//! in between, but for the lease: whether it has granted one is not on the disk, and a voter is quarantined as if it had
//! forgotten.

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
    /// Has the process use a disk, on which this was `found` of the process before it, `age` ago. Called at its start,
    /// before anything else happens.
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
            self.accept_fence(ballot);
        }
        if let Some(voter) = &mut self.voter {
            voter.was_recovered = was_recovered;
            voter.promised = promised;
            voter.roster = roster;
        }
    }

    /// What a restart would need now.
    pub fn persistent_state(&self, now: Micros) -> PersistentState<A> {
        PersistentState {
            is_recovered: self.is_recovered_voter(),
            voter_sets: self.voters.hashes(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            highest_ballot: self.member.highest_ballot.clone(),
            roster: self.voter.as_ref().map_or_else(Roster::default, |voter| voter.roster.clone()),
            state: self.member.current_state(now),
        }
    }

    /// The mark of [`Machine::persistent_state`], without making one; `None`: the process uses no disk.
    pub fn persistent_state_version(&self) -> Option<PersistentStateVersion> {
        self.persistence.as_ref()?;
        Some(PersistentStateVersion {
            is_recovered: self.is_recovered_voter(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            highest_ballot: self.member.highest_ballot.clone(),
            roster: self.own_roster_version(),
            state: self.member.state.version.clone(),
        })
    }

    /// The state of this mark is on the disk: what waited for that is sent.
    pub fn state_persisted(
        &mut self,
        context: &mut Context<'_, A::Facts>,
        mark: PersistentStateVersion,
        effects: &mut Vec<Effect<A>>,
    ) {
        let Some(persistence) = &mut self.persistence else { return };
        let is_newer = mark.state > persistence.persisted.state;
        persistence.persisted = mark;
        if let Some(WaitingAcceptance { to, ballot, round }) = persistence.waiting.take() {
            let roster = self.persisted_part_of(self.own_roster_version());
            let incarnation = self.me.incarnation;
            let acceptance = Acceptance { ballot, round, incarnation, roster };
            self.send(&to, Message::Accepted(acceptance), effects);
        }
        if is_newer {
            self.renew(context, effects);
        }
        self.handle_loopback(context, effects);
    }

    fn is_recovered_voter(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.recovery == RecoveryState::Recovered || voter.was_recovered)
    }

    fn own_roster_version(&self) -> Version {
        self.voter.as_ref().map_or_else(Version::default, |voter| voter.roster.version.clone())
    }

    /// The version of the state that it may confirm: what the disk has of it.
    pub(super) fn persisted_state_version(&self) -> Version {
        let applied = &self.member.state.version;
        let persistence = self.persistence.as_ref();
        persistence.map_or(applied, |disk| applied.min(&disk.persisted.state)).clone()
    }

    /// The part of a roster that it may say it stores: what the disk has of it.
    fn persisted_part_of(&self, roster: Version) -> Version {
        match &self.persistence {
            Some(persistence) => roster.min(persistence.persisted.roster.clone()),
            None => roster,
        }
    }

    /// Limits an acceptance to the roster that is on the disk.
    pub(super) fn limit_to_persisted(&mut self, to: &Name, answer: Message<A>) -> Message<A> {
        let Message::Accepted(mut acceptance) = answer else { return answer };
        let persisted = self.persisted_part_of(acceptance.roster.clone());
        if let Some(persistence) = self.persistence.as_mut().filter(|_| persisted < acceptance.roster) {
            let (ballot, round) = (acceptance.ballot.clone(), acceptance.round);
            persistence.waiting = Some(WaitingAcceptance { to: to.clone(), ballot, round });
        }
        acceptance.roster = persisted;
        Message::Accepted(acceptance)
    }
}
