//! Record of the leader about one voter.

use flaxhead_membership::Micros;

/// Last acceptance of a proposal by a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VoterRecord {
    /// Time at which the leader received the acceptance.
    pub(super) accepted_at: Micros,
    /// Sequence number of this leader's roster that the voter stores; 0: it stores none of this leader.
    pub(super) roster_seq: u64,
}
