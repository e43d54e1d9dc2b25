//! Commitment of the leader's state, and release of the responses to commands that changed it.

use super::command::{CommittedResponse, UncommittedCommand};
use super::peer::PeerState;
use super::state::LeaderState;
use crate::config::Config;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

impl<T: ApplicationTypes> LeaderState<T> {
    /// Returns whether a majority of voters reported, within the last lease duration, that it has applied
    /// this leader's state with the sequence number `seq` or later.
    pub(super) fn is_committed(&self, now: Micros, config: &Config, voters: &Voters, seq: u64) -> bool {
        let has_it =
            |peer: &PeerState<T>| peer.heard_recently(now, config) && peer.has_applied(&self.ballot, seq);
        voters.has_majority(|name| {
            self.peers.iter().any(|(process, peer)| process.name == *name && has_it(peer))
        })
    }

    /// Holds back the response to the command `id`, submitted at `from` and executed just now, until the
    /// current state is committed.
    pub(crate) fn defer_response(&mut self, from: Name, id: u64, response: T::Response) {
        let state_seq = self.state.version.seq;
        self.uncommitted.push(UncommittedCommand { from, id, state_seq, response });
    }

    /// Removes and returns the held-back responses whose commands are now committed.
    pub(crate) fn take_committed(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
    ) -> Vec<CommittedResponse<T>> {
        let (committed, uncommitted): (Vec<_>, Vec<_>) = std::mem::take(&mut self.uncommitted)
            .into_iter()
            .partition(|command| self.is_committed(now, config, voters, command.state_seq));
        self.uncommitted = uncommitted;
        let respond = |command: UncommittedCommand<T>| CommittedResponse {
            to: command.from,
            id: command.id,
            response: command.response,
        };
        committed.into_iter().map(respond).collect()
    }
}
