//! Record of what the disk holds of a machine's state.

use crate::ballot::Ballot;
use crate::persistent_state::PersistentStateVersion;
use flaxhead_membership::Name;

/// Version of the state that is on disk, and the acceptance that waits for a newer one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Persistence {
    pub(super) persisted: PersistentStateVersion,
    pub(super) waiting: Option<WaitingAcceptance>,
}

/// Acceptance that a voter has sent with the version of an older roster, and sends again once the newer
/// roster is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingAcceptance {
    pub(super) to: Name,
    pub(super) ballot: Ballot,
    pub(super) round: u64,
}
