//! Interface through which an application reads the leader's records and changes the replicated state.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::ballot::Ballot;
use crate::config::Config;
use crate::facts::Facts;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// Access of an application to the leader, passed to those methods of [`crate::Application`] that run only
/// there.
pub struct LeaderContext<'a, T: ApplicationTypes> {
    pub(crate) leader: &'a mut LeaderState<T>,
    pub(crate) voters: &'a Voters,
    /// Current time in microseconds, by the leader's clock.
    pub now: Micros,
    /// Time limits with which the leader is configured.
    pub config: &'a Config,
    /// Membership as known to the leader, and the application's data from outside the protocol.
    pub facts: &'a Facts<T::Facts>,
    /// Name, incarnation and address of the leader.
    pub me: &'a Process,
}

impl<T: ApplicationTypes> LeaderContext<'_, T> {
    /// Ballot under which the leader was elected.
    pub fn ballot(&self) -> &Ballot {
        &self.leader.ballot
    }

    /// Replicated state of the application, with its durations advanced to the current time.
    pub fn state(&self) -> &T::State {
        &self.leader.state.state
    }

    /// Replicated state of the application, for modification. [`LeaderContext::publish`] must be called after
    /// a change.
    pub fn state_mut(&mut self) -> &mut T::State {
        &mut self.leader.state.state
    }

    /// Sequence number of the current state, which increases with each [`LeaderContext::publish`].
    pub fn state_seq(&self) -> u64 {
        self.leader.state.version.seq
    }

    /// Assigns the next sequence number to the changed state, so that the leader replicates it to all
    /// processes.
    pub fn publish(&mut self) {
        self.leader.publish();
    }

    /// Processes on the roster, which may hold a lease, with the leader's records of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &PeerState<T>)> {
        self.leader.processes()
    }

    /// Leader's records of a process; `None`: it is not on the roster.
    pub fn peer(&self, process: &Process) -> Option<&PeerState<T>> {
        self.leader.peers.get(process)
    }

    /// Returns whether the process reported to this leader within the last lease duration.
    pub fn heard_recently(&self, peer: &PeerState<T>) -> bool {
        peer.heard_recently(self.now, self.config)
    }

    /// Returns whether the process has applied this leader's state with the sequence number `seq` or later.
    pub fn has_applied(&self, peer: &PeerState<T>, seq: u64) -> bool {
        peer.has_applied(&self.leader.ballot, seq)
    }

    /// Returns whether a majority of voters has applied this leader's state with the sequence number `seq` or
    /// later, so that any later leader knows its changes.
    pub fn is_committed(&self, seq: u64) -> bool {
        self.leader.is_committed(self.now, self.config, self.voters, seq)
    }

    /// Time at which the leader was elected without a majority of recovered voters, so that its roster and
    /// state may lack committed changes; `None`: both count as complete.
    pub fn state_lost_since(&self) -> Option<Micros> {
        self.leader.state_lost_since
    }

    /// Makes the leader treat its roster and state as complete, for example because operators have restored
    /// the state and declared it complete. Returns whether they were treated as incomplete before.
    pub fn declare_recovered(&mut self) -> bool {
        self.leader.state_lost_since.take().is_some()
    }

    /// Removes a process that has ended from the roster. [`crate::Application::process_left`] is then called
    /// for it.
    pub fn remove_process(&mut self, process: &Process) {
        self.leader.remove_process(process);
    }

    /// Records an event for the audit trail and the log; the driver receives it as [`crate::Effect::Event`].
    pub fn record_event(&mut self, event: T::Event) {
        self.leader.events.push(event);
    }
}
