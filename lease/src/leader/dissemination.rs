//! To whom the state is sent, and when again.

use super::peer::PeerState;
use super::state::LeaderState;
use crate::config::Config;
use crate::types::ApplicationTypes;
use flaxhead_membership::{Micros, Name};

/// To whom the state is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// To all processes that may hold a lease: it is new.
    Everyone,
    /// To those that were heard recently and have not confirmed it, if it was sent to them long enough ago.
    Unconfirmed,
}

impl<T: ApplicationTypes> LeaderState<T> {
    /// The processes to send the state to now.
    pub(crate) fn begin_dissemination(
        &mut self,
        now: Micros,
        config: &Config,
        audience: Audience,
    ) -> Vec<Name> {
        let current = &self.state.version;
        let resend_interval = config.state_resend_interval();
        let is_due =
            |peer: &PeerState<T>| peer.version != *current && now >= peer.state_sent_at + resend_interval;
        let mut receivers = Vec::new();
        for (process, peer) in &mut self.peers {
            let to_everyone = audience == Audience::Everyone;
            if !to_everyone && !is_due(peer) {
                continue;
            }
            peer.state_sent_at = now;
            if to_everyone || peer.heard_recently(now, config) {
                receivers.push(process.name.clone());
            }
        }
        receivers
    }

    /// When the state is next sent again, if nothing comes meanwhile.
    pub(crate) fn next_dissemination(&self, config: &Config) -> Micros {
        let is_behind =
            |peer: &&PeerState<T>| peer.version != self.state.version && peer.last_report_at.is_some();
        // To those that are no longer heard it is sent when they are heard again.
        let is_heard = |peer: &&PeerState<T>| peer.heard_recently(peer.state_sent_at, config);
        let due = self.peers.values().filter(is_behind).filter(is_heard);
        let due = due.map(|peer| peer.state_sent_at + config.state_resend_interval());
        due.min().unwrap_or(Micros::MAX)
    }
}
