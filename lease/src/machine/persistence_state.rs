//! What a process knows of its disk.

use crate::ballot::Ballot;
use crate::persistent_state::PersistentStateVersion;
use flaxhead_membership::Name;

/// What is on the disk, and what waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Persistence {
    pub(super) persisted: PersistentStateVersion,
    pub(super) waiting: Option<WaitingAcceptance>,
}

/// An acceptance that named an older roster, as the newer one was not on the disk: it is sent again once that is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingAcceptance {
    pub(super) to: Name,
    pub(super) ballot: Ballot,
    pub(super) round: u64,
}
