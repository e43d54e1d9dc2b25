//! What an application sees of the leader, and may do there.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::ballot::Ballot;
use crate::config::Config;
use crate::facts::Facts;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// The leader, as its application finds it with everything that happens there.
pub struct LeaderContext<'a, T: ApplicationTypes> {
    pub(crate) leader: &'a mut LeaderState<T>,
    pub(crate) voters: &'a Voters,
    /// The time.
    pub now: Micros,
    /// The time spans of the protocol.
    pub config: &'a Config,
    /// What is known from outside the protocol.
    pub facts: &'a Facts<T::Facts>,
    /// The leader's process.
    pub me: &'a Process,
}

impl<T: ApplicationTypes> LeaderContext<'_, T> {
    /// The leader's ballot.
    pub fn ballot(&self) -> &Ballot {
        &self.leader.ballot
    }

    /// The replicated state, its spans as they are now.
    pub fn state(&self) -> &T::State {
        &self.leader.state.state
    }

    /// The replicated state, to be changed. A change is replicated once [`LeaderContext::publish`] is called.
    pub fn state_mut(&mut self) -> &mut T::State {
        &mut self.leader.state.state
    }

    /// This leader's count of its state's versions.
    pub fn state_seq(&self) -> u64 {
        self.leader.state.version.seq
    }

    /// Replicates the state, which has changed, under a new version.
    pub fn publish(&mut self) {
        self.leader.publish();
    }

    /// All processes that may hold a lease, and what is known of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.leader.processes()
    }

    /// What is known of a process; `None`: it is not on the roster.
    pub fn peer(&self, process: &Process) -> Option<&PeerState<T>> {
        self.leader.peers.get(process)
    }

    /// Whether a process reported to this leader within the duration of a lease.
    pub fn heard_recently(&self, peer: &PeerState<T>) -> bool {
        peer.heard_recently(self.now, self.config)
    }

    /// Whether a process has applied this leader's state of this count, or a later one.
    pub fn has_applied(&self, peer: &PeerState<T>, seq: u64) -> bool {
        peer.has_applied(&self.leader.ballot, seq)
    }

    /// Whether a majority of voters has applied the state of this count: whoever leads next knows it.
    pub fn is_committed(&self, seq: u64) -> bool {
        self.leader.is_committed(self.now, self.config, self.voters, seq)
    }

    /// Since when it is not known for certain who takes part and what the state is; `None`: it is known.
    pub fn state_lost_since(&self) -> Option<Micros> {
        self.leader.state_lost_since
    }

    /// Declares that the state is complete. Returns whether it was not known to be before.
    pub fn declare_recovered(&mut self) -> bool {
        self.leader.state_lost_since.take().is_some()
    }

    /// Removes a process that does not run any more from the roster. The application is told as of any other that leaves.
    pub fn remove_process(&mut self, process: &Process) {
        self.leader.remove_process(process);
    }

    /// Records an event for the audit trail.
    pub fn record_event(&mut self, event: T::Event) {
        self.leader.events.push(event);
    }
}
