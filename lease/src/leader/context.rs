//! Interface through which an application reads and changes the leader.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::ballot::Ballot;
use crate::config::Config;
use crate::facts::Facts;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// Access of an application's leader hooks to the protocol state of the leader.
pub struct LeaderContext<'a, T: ApplicationTypes> {
    pub(crate) leader: &'a mut LeaderState<T>,
    pub(crate) voters: &'a Voters,
    /// Current time in microseconds.
    pub now: Micros,
    /// Time limits that the leader is configured with.
    pub config: &'a Config,
    /// Membership, and data that the application uses for its decisions.
    pub facts: &'a Facts<T::Facts>,
    /// Process that is the leader.
    pub me: &'a Process,
}

impl<T: ApplicationTypes> LeaderContext<'_, T> {
    /// Ballot under which the leader was elected.
    pub fn ballot(&self) -> &Ballot {
        &self.leader.ballot
    }

    /// Replicated state, with its durations advanced to the current time.
    pub fn state(&self) -> &T::State {
        &self.leader.state.state
    }

    /// Replicated state for modification. [`LeaderContext::publish`] must be called after a change.
    pub fn state_mut(&mut self) -> &mut T::State {
        &mut self.leader.state.state
    }

    /// Sequence number of the current state.
    pub fn state_seq(&self) -> u64 {
        self.leader.state.version.seq
    }

    /// Assigns a new version to the changed state and replicates it.
    pub fn publish(&mut self) {
        self.leader.publish();
    }

    /// Processes that may hold a lease, with the leader's records of them.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.leader.processes()
    }

    /// Records of a process; `None`: it is not on the roster.
    pub fn peer(&self, process: &Process) -> Option<&PeerState<T>> {
        self.leader.peers.get(process)
    }

    /// Returns whether a process reported to this leader within the last lease duration.
    pub fn heard_recently(&self, peer: &PeerState<T>) -> bool {
        peer.heard_recently(self.now, self.config)
    }

    /// Returns whether a process has applied this leader's state of the sequence number `seq` or later.
    pub fn has_applied(&self, peer: &PeerState<T>, seq: u64) -> bool {
        peer.has_applied(&self.leader.ballot, seq)
    }

    /// Returns whether a majority of voters has applied the state of the sequence number `seq`, so that any
    /// later leader knows it.
    pub fn is_committed(&self, seq: u64) -> bool {
        self.leader.is_committed(self.now, self.config, self.voters, seq)
    }

    /// Time since which the roster and the state may lack committed changes; `None`: both are complete.
    pub fn state_lost_since(&self) -> Option<Micros> {
        self.leader.state_lost_since
    }

    /// Ends the period in which the state is considered incomplete, for example when operators confirm that
    /// it is complete. Returns whether it was considered incomplete.
    pub fn declare_recovered(&mut self) -> bool {
        self.leader.state_lost_since.take().is_some()
    }

    /// Removes an ended process from the roster. [`crate::Application::process_left`] is called for it.
    pub fn remove_process(&mut self, process: &Process) {
        self.leader.remove_process(process);
    }

    /// Records an event for the audit trail.
    pub fn record_event(&mut self, event: T::Event) {
        self.leader.events.push(event);
    }
}
