//! Lease of the leader, and records of what each voter has accepted.

use super::state::LeaderState;
use super::voter_record::VoterRecord;
use crate::config::Config;
use crate::message::{Acceptance, Promise};
use crate::types::ApplicationTypes;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::BTreeSet;

/// Number of renewal intervals without an acceptance after which the leader asks a voter for a new promise.
const VOTER_SILENCE_INTERVALS: Micros = 2;

impl<T: ApplicationTypes> LeaderState<T> {
    /// Returns whether the leader's own lease is valid at `now`.
    pub(crate) fn is_leading(&self, now: Micros) -> bool {
        now < self.lease_expiry
    }

    /// Begins another renewal round of the leader's lease. The lease is extended, counted from `now`, once a
    /// majority of voters has accepted the round.
    pub(crate) fn begin_renewal_round(&mut self, now: Micros) {
        self.round += 1;
        self.renewal_round_started = now;
        self.acceptances = BTreeSet::new();
    }

    /// Records the acceptance of a proposal by the voter `from`. Extends the leader's lease once a majority
    /// of voters has accepted the current renewal round. Ignores a voter that has restarted since its
    /// promise.
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
            self.lease_expiry = self.lease_expiry.max(self.renewal_round_started + config.lease_duration);
        }
    }

    /// Records the promise of a voter that promised after this leader's election.
    pub(crate) fn record_promise(&mut self, from: &Name, promise: &Promise<T>) {
        self.voter_incarnations.insert(from.clone(), promise.incarnation);
    }

    /// Returns whether a voter has accepted a proposal within the last [`VOTER_SILENCE_INTERVALS`] renewal
    /// intervals.
    pub(crate) fn voter_accepted_recently(&self, now: Micros, config: &Config, voter: &Name) -> bool {
        let most = VOTER_SILENCE_INTERVALS * config.renewal_interval();
        self.voter_records.get(voter).is_some_and(|record| now.saturating_sub(record.accepted_at) <= most)
    }

    /// Returns whether a majority of voters stores this leader's roster with the sequence number `roster_seq`
    /// or later. Only acceptances within the last lease duration count: a voter that restarted after an older
    /// one may have lost the roster, while the quarantine, in which it accepts nothing, is longer than a
    /// lease.
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
