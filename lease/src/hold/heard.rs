//! What the holder knows of one process.

use crate::ballot::{Ballot, Version};
use crate::config::Config;
use crate::terms::Terms;
use flaxhead_membership::Micros;

/// What the holder knows of a process that may have leave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Heard<T: Terms> {
    /// The slate that it goes by, by its last word under this fence.
    pub(super) version: Version,
    /// When that came; `None`: nothing has under this fence.
    pub(super) at: Option<Micros>,
    /// Since when this process expects it.
    pub(super) known: Micros,
    /// Until when it may have leave, by this process's clock.
    pub(super) permitted: Micros,
    pub(super) word: Option<T::Word>,
    /// When the slate was last sent there.
    pub(super) told: Micros,
    /// It was shown to the voters, so that whoever holds next knows of it.
    pub(super) kept_with: u64,
}

impl<T: Terms> Heard<T> {
    /// Its last word under this holder's fence.
    pub fn word(&self) -> Option<&T::Word> {
        self.word.as_ref()
    }

    /// When its last word came; `None`: none has under this fence.
    pub fn at(&self) -> Option<Micros> {
        self.at
    }

    /// The slate that it has confirmed to this holder.
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Until when it may have leave, whoever granted that, by the holder's clock and with all drift.
    pub fn permitted(&self) -> Micros {
        self.permitted
    }

    /// Whether it goes by a holder's slate of this count, or a later one.
    pub(super) fn goes_by(&self, holder: &Ballot, seq: u64) -> bool {
        self.version.fence.as_ref() == Some(holder) && self.version.seq >= seq
    }

    /// Whether it was heard within a lease.
    pub(super) fn lately(&self, now: Micros, config: &Config) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) <= config.lease)
    }
}
