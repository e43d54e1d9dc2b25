//! The voters that grant leases, and their majorities.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Maximum number of voters in one set.
const MAX_VOTERS: usize = 7;

/// Why lists of names are no sets of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VotersError {
    /// An even number has a majority no smaller than that of the next odd one.
    #[error("an odd number of voters, 1 to {MAX_VOTERS}")]
    Count,
    /// One voter would count twice.
    #[error("a voter is named twice")]
    Duplicate,
}

/// Identifies the voters that a process is configured with, in messages and on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSetHashes {
    /// Hash of the current set.
    pub current: u32,
    /// Hash of the set that shall replace it; the same where no change is under way.
    pub next: u32,
}

/// The configured voters. While they are changed there are two sets, and a majority of each is needed (joint consensus, as
/// in Raft): processes with the old set and those with both share a majority of the old one, those with both and those
/// with the new set a majority of the new one. A process with the old set alone and one with the new alone share nothing,
/// and ignore each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voters {
    current: BTreeSet<Name>,
    next: BTreeSet<Name>,
    hashes: VoterSetHashes,
}

impl Voters {
    /// The voters, and those that shall replace them (empty: no change is under way).
    ///
    /// # Errors
    ///
    /// Where a set has an even number of names, too many, or one twice.
    pub fn new(current: Vec<Name>, next: Vec<Name>) -> Result<Voters, VotersError> {
        let current = voter_set(current)?;
        let next = if next.is_empty() { current.clone() } else { voter_set(next)? };
        let hashes = VoterSetHashes { current: hash_of(&current), next: hash_of(&next) };
        Ok(Voters { current, next, hashes })
    }

    /// The voters of both sets, each once.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.current.union(&self.next)
    }

    /// Whether the name is a voter's, in either set.
    pub fn contains(&self, name: &Name) -> bool {
        self.current.contains(name) || self.next.contains(name)
    }

    /// Whether those voters that `counts` is true of are a majority of each set.
    pub fn has_majority(&self, counts: impl Fn(&Name) -> bool) -> bool {
        let is_majority =
            |set: &BTreeSet<Name>| set.iter().filter(|name| counts(name)).count() * 2 > set.len();
        is_majority(&self.current) && is_majority(&self.next)
    }

    /// Identifies both sets.
    pub fn hashes(&self) -> VoterSetHashes {
        self.hashes
    }

    /// Whether a process that is configured with `others` and this one share the majority of some set.
    pub fn overlaps(&self, others: VoterSetHashes) -> bool {
        let own = [self.hashes.current, self.hashes.next];
        own.contains(&others.current) || own.contains(&others.next)
    }
}

fn voter_set(names: Vec<Name>) -> Result<BTreeSet<Name>, VotersError> {
    let count = names.len();
    if count > MAX_VOTERS || count.is_multiple_of(2) {
        return Err(VotersError::Count);
    }
    let set: BTreeSet<Name> = names.into_iter().collect();
    (set.len() == count).then_some(set).ok_or(VotersError::Duplicate)
}

/// The lower half of the hash: on the wire a set takes four bytes.
#[expect(clippy::cast_possible_truncation, reason = "the lower half of the hash is what is wanted")]
fn hash_of(set: &BTreeSet<Name>) -> u32 {
    let mut hasher = SipHasher13::new();
    set.iter().for_each(|name| name.as_str().hash(&mut hasher));
    hasher.finish() as u32
}

#[cfg(test)]
mod tests;
