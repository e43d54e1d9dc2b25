//! How a restarted voter recovers what it has forgotten from the other voters.

use super::Voter;
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::message::VoterRecoveryResponse;
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// Another voter's response, and when it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReceivedRecovery<T: ApplicationTypes> {
    received_at: Micros,
    recovery: RecoveryState,
    promised: Option<Ballot>,
    roster: Roster,
    state: Versioned<T::State>,
}

impl<T: ApplicationTypes> Voter<T> {
    /// Ends the quarantine once it is over. Returns the nonce of the request that is due to the other voters, if one is.
    pub(crate) fn begin_recovery(&mut self, now: Micros, config: &Config) -> Option<u64> {
        if self.recovery == RecoveryState::Quarantined && now >= self.quarantined_until {
            self.recovery =
                if self.was_recovered { RecoveryState::Recovered } else { RecoveryState::Recovering };
        }
        if self.recovery != RecoveryState::Recovering || now < self.next_recovery_at {
            return None;
        }
        self.next_recovery_at = now + config.renewal_interval();
        self.nonce += 1;
        Some(self.nonce)
    }

    /// What it tells another voter that asks.
    pub(crate) fn recovery_response(
        &self,
        now: Micros,
        nonce: u64,
        state: Versioned<T::State>,
    ) -> VoterRecoveryResponse<T> {
        VoterRecoveryResponse {
            nonce,
            recovery: self.recovery,
            promised: self.promised.clone(),
            lease_left: self.lease_left(now, None),
            roster: self.roster.clone(),
            state,
        }
    }

    /// Takes another voter's response. Returns the newest state of all responses once this voter may vote again.
    pub(crate) fn take_recovery_response(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        me: &Name,
        from: &Name,
        response: VoterRecoveryResponse<T>,
    ) -> Option<Versioned<T::State>> {
        if self.recovery != RecoveryState::Recovering || response.nonce > self.nonce {
            return None;
        }
        let VoterRecoveryResponse { recovery, promised, roster, state, .. } = response;
        let received = ReceivedRecovery { received_at: now, recovery, promised, roster, state };
        self.responses.insert(from.clone(), received);
        self.responses
            .retain(|_, response| now.saturating_sub(response.received_at) <= config.lease_duration);
        self.recovery = self.recovered_state(voters, me)?;
        self.take_newest_response()
    }

    /// What the responses so far allow; `None`: to go on asking.
    fn recovered_state(&self, voters: &Voters, me: &Name) -> Option<RecoveryState> {
        // A majority that has recovered knows what a majority knew; this voter is none of it.
        let has_recovered = |name: &Name| {
            self.responses.get(name).is_some_and(|response| response.recovery == RecoveryState::Recovered)
        };
        if voters.has_majority(has_recovered) {
            return Some(RecoveryState::Recovered);
        }
        // Or so many have forgotten that no majority that has recovered can come together any more.
        let has_forgotten = |name: &Name| {
            name == me || self.responses.get(name).is_some_and(|response| response.recovery.has_forgotten())
        };
        voters.has_majority(has_forgotten).then_some(RecoveryState::StateLost)
    }

    /// Takes over the newest of all responses. What this voter's own disk had of it may be the newest.
    fn take_newest_response(&mut self) -> Option<Versioned<T::State>> {
        let responses = std::mem::take(&mut self.responses);
        let promises = responses.values().map(|response| response.promised.clone());
        self.promised = promises.chain([self.promised.take()]).max().flatten();
        let rosters = responses.values().map(|response| &response.roster);
        self.roster = Roster::newest(rosters.chain([&self.roster]));
        let states = responses.into_values().map(|response| response.state);
        states.max_by(|a, b| a.version.cmp(&b.version))
    }
}
