//! Selection of the processes to which the state is sent.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::config::Config;
use crate::types::ApplicationTypes;
use flaxhead_membership::{Micros, Name};

/// Receivers of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiverSet {
    /// All processes that may hold a lease, after a change of the state.
    All,
    /// Processes that were heard recently and have not confirmed the state within the resend interval.
    Unconfirmed,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// Returns the processes to which the state must be sent now, and records that it was sent.
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

    /// Time of the next resend of the state.
    pub(crate) fn next_dissemination(&self, config: &Config) -> Micros {
        let is_behind =
            |peer: &&PeerState<T>| peer.version != self.state.version && peer.last_report_at.is_some();
        // A process that is no longer heard gets the state when it is heard again.
        let is_heard = |peer: &&PeerState<T>| peer.heard_recently(peer.state_sent_at, config);
        let due = self.peers.values().filter(is_behind).filter(is_heard);
        let due = due.map(|peer| peer.state_sent_at + config.state_resend_interval());
        due.min().unwrap_or(Micros::MAX)
    }
}
