//! Records of the leader about one process on the roster.

use crate::ballot::{Ballot, Version};
use crate::config::Config;
use crate::types::ApplicationTypes;
use flaxhead_membership::Micros;

/// Records of the leader about one process on the roster, which may hold a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerState<T: ApplicationTypes> {
    /// Version of this leader's state that the process has confirmed; the initial version if it has confirmed
    /// none.
    pub(super) version: Version,
    pub(super) last_report_at: Option<Micros>,
    /// Time at which the leader put the process on its roster, or was elected with it there.
    pub(super) expected_since: Micros,
    pub(super) lease_expiry: Micros,
    pub(super) report: Option<T::Report>,
    /// Time at which the leader last sent its state to the process.
    pub(super) state_sent_at: Micros,
    /// Sequence number of this leader's first roster that contains the process. Once a majority of voters
    /// stores that roster, any later leader knows the process.
    pub(super) recorded_in: u64,
}

impl<T: ApplicationTypes> PeerState<T> {
    pub(super) fn new(now: Micros, config: &Config, recorded_in: u64) -> Self {
        PeerState {
            version: Version::default(),
            last_report_at: None,
            expected_since: now,
            // A lease that an earlier leader granted to the process may be valid for this long.
            lease_expiry: now + Config::with_max_drift(config.lease_duration),
            report: None,
            state_sent_at: now,
            recorded_in,
        }
    }

    /// Data of the last valid report of the process to this leader; `None`: none was received.
    pub fn report(&self) -> Option<&T::Report> {
        self.report.as_ref()
    }

    /// Time at which this leader received the last valid report of the process; `None`: none was received.
    pub fn last_report_at(&self) -> Option<Micros> {
        self.last_report_at
    }

    /// Version of this leader's state that the process has confirmed; the initial version if it has confirmed
    /// none.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Upper bound of the end of the process's lease, whichever leader granted it, by this leader's clock and
    /// including the maximum clock drift.
    pub fn lease_expiry(&self) -> Micros {
        self.lease_expiry
    }

    /// Returns whether the process has applied the state with the sequence number `seq` or later of the
    /// leader with the ballot `leader`.
    pub(super) fn has_applied(&self, leader: &Ballot, seq: u64) -> bool {
        self.version.is_of(leader) && self.version.seq >= seq
    }

    /// Returns whether the process reported to this leader within the last lease duration.
    pub(super) fn heard_recently(&self, now: Micros, config: &Config) -> bool {
        self.last_report_at.is_some_and(|at| now.saturating_sub(at) <= config.lease_duration)
    }
}
