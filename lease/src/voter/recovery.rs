//! Recovery of a restarted voter from the responses of other voters.

use super::Voter;
use crate::ballot::{Ballot, Versioned};
use crate::config::Config;
use crate::message::VoterRecoveryResponse;
use crate::recovery_state::RecoveryState;
use crate::roster::Roster;
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// Response of another voter to this one's recovery request, with the time of its arrival.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReceivedRecovery<T: ApplicationTypes> {
    received_at: Micros,
    recovery: RecoveryState,
    promised: Option<Ballot>,
    roster: Roster,
    state: Versioned<T::State>,
}

impl<T: ApplicationTypes> Voter<T> {
    /// Ends the quarantine if its time is over. Returns the nonce for the recovery requests that are now due
    /// to the other voters; `None`: none are due.
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

    /// Returns the response to a recovery request that another voter sent with `nonce`. `state` is the state
    /// that this process has applied.
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

    /// Stores the response of the voter `from`. If the responses suffice for this voter to vote again, takes
    /// over their data and returns the newest state among them; `None`: more responses are needed.
    pub(crate) fn handle_recovery_response(
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
        self.recovery = self.next_recovery_state(voters, me)?;
        self.adopt_newest_data()
    }

    /// Recovery state to which this voter may advance with the stored responses; `None`: more responses are
    /// needed.
    fn next_recovery_state(&self, voters: &Voters, me: &Name) -> Option<RecoveryState> {
        // This voter is not recovered, so the majority consists of others. Each roster and state that any
        // majority stored is stored by at least one of them.
        let has_recovered = |name: &Name| {
            self.responses.get(name).is_some_and(|response| response.recovery == RecoveryState::Recovered)
        };
        if voters.has_majority(has_recovered) {
            return Some(RecoveryState::Recovered);
        }
        // If a majority has lost its data, no majority of recovered voters can exist any more, and waiting is
        // useless.
        let has_lost_data = |name: &Name| {
            name == me || self.responses.get(name).is_some_and(|response| response.recovery.has_lost_data())
        };
        voters.has_majority(has_lost_data).then_some(RecoveryState::StateLost)
    }

    /// Takes over the highest promise and the newest roster of all responses and of this voter. Returns the
    /// newest state of the responses.
    fn adopt_newest_data(&mut self) -> Option<Versioned<T::State>> {
        let responses = std::mem::take(&mut self.responses);
        let promises = responses.values().map(|response| response.promised.clone());
        self.promised = promises.chain([self.promised.take()]).max().flatten();
        let rosters = responses.values().map(|response| &response.roster);
        self.roster = Roster::newest(rosters.chain([&self.roster]));
        let states = responses.into_values().map(|response| response.state);
        states.max_by(|a, b| a.version.cmp(&b.version))
    }
}
