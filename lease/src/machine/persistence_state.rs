//! Record of what the disk holds.

use crate::ballot::Ballot;
use crate::persistent_state::PersistentStateVersion;
use flaxhead_membership::Name;

/// Version that is on disk, and the acceptance that waits for a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Persistence {
    pub(super) persisted: PersistentStateVersion,
    pub(super) waiting: Option<WaitingAcceptance>,
}

/// Acceptance that confirmed only an older roster, to be repeated once the newer one is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingAcceptance {
    pub(super) to: Name,
    pub(super) ballot: Ballot,
    pub(super) round: u64,
}
