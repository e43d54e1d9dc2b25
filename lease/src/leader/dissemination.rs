//! Selection of the processes to which the leader sends its state.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::config::Config;
use crate::types::ApplicationTypes;
use flaxhead_membership::{Micros, Name};

/// Processes to which the leader sends its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiverSet {
    /// All processes on the roster, after a change of the state.
    All,
    /// Processes that reported within the last lease duration and have not confirmed the current state,
    /// although a resend interval has passed since it was sent to them.
    Unconfirmed,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// Returns the processes in `receiver_set` to which the state must be sent now, and records the time as
    /// that of sending.
    pub(crate) fn begin_dissemination(
        &mut self,
        now: Micros,
        config: &Config,
        receiver_set: ReceiverSet,
    ) -> Vec<Name> {
        let current = &self.state.version;
        let resend_interval = config.state_resend_interval();
        let is_due =
            |peer: &PeerState<T>| peer.version != *current && now >= peer.state_sent_at + resend_interval;
        let mut receivers = Vec::new();
        for (process, peer) in &mut self.peers {
            let to_all = receiver_set == ReceiverSet::All;
            if !to_all && !is_due(peer) {
                continue;
            }
            peer.state_sent_at = now;
            if to_all || peer.heard_recently(now, config) {
                receivers.push(process.name.clone());
            }
        }
        receivers
    }

    /// Time at which the state must next be sent again to a process that has not confirmed it; `Micros::MAX`:
    /// to none.
    pub(crate) fn next_dissemination(&self, config: &Config) -> Micros {
        let is_behind =
            |peer: &&PeerState<T>| peer.version != self.state.version && peer.last_report_at.is_some();
        // A process that no longer reports gets the state when it reports again.
        let is_heard = |peer: &&PeerState<T>| peer.heard_recently(peer.state_sent_at, config);
        let due = self.peers.values().filter(is_behind).filter(is_heard);
        let due = due.map(|peer| peer.state_sent_at + config.state_resend_interval());
        due.min().unwrap_or(Micros::MAX)
    }
}
