//! Records of the leader about one voter.

use flaxhead_membership::Micros;

/// Contents of a voter's last acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VoterRecord {
    pub(super) accepted_at: Micros,
    /// Sequence number of this leader's roster that the voter stores; 0: none.
    pub(super) roster_seq: u64,
}
