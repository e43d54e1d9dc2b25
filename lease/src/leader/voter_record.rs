//! What the leader knows of a voter.

use flaxhead_membership::Micros;

/// What a voter stores, by its last acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VoterRecord {
    pub(super) accepted_at: Micros,
    /// The count of this leader's roster that it stores; 0: none of it.
    pub(super) roster_seq: u64,
}
