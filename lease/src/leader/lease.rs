//! The leader's lease, and what the voters store for it.

use super::state::LeaderState;
use super::voter_record::VoterRecord;
use crate::config::Config;
use crate::message::{Acceptance, Promise};
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::BTreeSet;

/// Renewal intervals after which a voter that accepts nothing is asked for its promise anew.
const VOTER_SILENCE_INTERVALS: Micros = 2;

impl<T: ApplicationTypes> LeaderState<T> {
    /// Whether its lease runs.
    pub(crate) fn is_leading(&self, now: Micros) -> bool {
        now < self.lease_until
    }

    /// Begins another round of renewal.
    pub(crate) fn begin_round(&mut self, now: Micros) {
        self.round += 1;
        self.round_started = now;
        self.acceptances = BTreeSet::new();
    }

    /// A voter has accepted a proposal.
    pub(crate) fn record_acceptance(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        from: &Name,
        acceptance: &Acceptance,
    ) {
        if self.voter_incarnations.get(from) != Some(&acceptance.incarnation) {
            return;
        }
        let roster_seq = if acceptance.roster.is_of(&self.ballot) { acceptance.roster.seq } else { 0 };
        self.voter_records.insert(from.clone(), VoterRecord { accepted_at: now, roster_seq });
        if acceptance.round != self.round {
            return;
        }
        self.acceptances.insert(from.clone());
        if voters.has_majority(|name| self.acceptances.contains(name)) {
            self.lease_until = self.lease_until.max(self.round_started + config.lease_duration);
        }
    }

    /// A voter that was not among those of the candidacy has promised as well.
    pub(crate) fn record_promise(&mut self, from: &Name, promise: &Promise<T>) {
        self.voter_incarnations.insert(from.clone(), promise.incarnation);
    }

    /// Whether a voter has accepted anything recently.
    pub(crate) fn voter_accepted_recently(&self, now: Micros, config: &Config, voter: &Name) -> bool {
        let most = VOTER_SILENCE_INTERVALS * config.renewal_interval();
        self.voter_records.get(voter).is_some_and(|record| now.saturating_sub(record.accepted_at) <= most)
    }

    /// Whether a majority of voters stores the roster of this count. Only fresh acceptances count: a voter that was killed
    /// and forgot must not be among them, and such a one is quarantined for longer than a lease.
    pub(super) fn is_roster_committed(
        &self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        roster_seq: u64,
    ) -> bool {
        let stores_it = |record: &VoterRecord| {
            now.saturating_sub(record.accepted_at) <= config.lease_duration && record.roster_seq >= roster_seq
        };
        voters.has_majority(|name| self.voter_records.get(name).is_some_and(stores_it))
    }
}
