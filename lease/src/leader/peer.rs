//! What the leader knows of one process.

use crate::ballot::{Ballot, Version};
use crate::config::Config;
use crate::types::ApplicationTypes;
use flaxhead_membership::Micros;

/// What the leader knows of a process that may hold a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerState<T: ApplicationTypes> {
    pub(super) version: Version,
    pub(super) last_report_at: Option<Micros>,
    /// Since when this leader expects it to report.
    pub(super) expected_since: Micros,
    pub(super) lease_expiry: Micros,
    pub(super) report: Option<T::Report>,
    /// When the state was last sent to it.
    pub(super) state_sent_at: Micros,
    /// The version of the roster that it is recorded in: once a majority of voters stores that, whoever leads next knows
    /// of it.
    pub(super) recorded_in: u64,
}

impl<T: ApplicationTypes> PeerState<T> {
    pub(super) fn new(now: Micros, config: &Config, recorded_in: u64) -> Self {
        PeerState {
            version: Version::default(),
            last_report_at: None,
            expected_since: now,
            // What another leader granted it may last as long as any lease.
            lease_expiry: now + Config::with_max_drift(config.lease_duration),
            report: None,
            state_sent_at: now,
            recorded_in,
        }
    }

    /// Its last report to this leader; `None`: it has not reported yet.
    pub fn report(&self) -> Option<&T::Report> {
        self.report.as_ref()
    }

    /// When its last report came; `None`: it has not reported to this leader yet.
    pub fn last_report_at(&self) -> Option<Micros> {
        self.last_report_at
    }

    /// The version of the state that it has confirmed to this leader.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// When its lease ends, whoever granted that, by the leader's clock and with all drift.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// Whether it has applied the leader's state of this count, or a later one.
    pub(super) fn has_applied(&self, leader: &Ballot, seq: u64) -> bool {
        self.version.is_of(leader) && self.version.seq >= seq
    }

    /// Whether it reported within the duration of a lease.
    pub(super) fn heard_recently(&self, now: Micros, config: &Config) -> bool {
        self.last_report_at.is_some_and(|at| now.saturating_sub(at) <= config.lease_duration)
    }
}
