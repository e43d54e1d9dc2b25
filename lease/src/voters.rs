//! Configured voters, whose majority grants the leader's lease.

use flaxhead_membership::Name;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Maximum number of voters in one set.
const MAX_VOTERS: usize = 7;

/// Reason for rejecting a configuration of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VotersError {
    /// Number of voters is out of range or even. An even number tolerates no more failures than the next
    /// lower odd one.
    #[error("expected an odd number of voters from 1 to {MAX_VOTERS}")]
    Count,
    /// A voter is listed twice in one set, so that it would count twice.
    #[error("a voter is listed twice")]
    Duplicate,
}

/// Hashes of the configured voter sets, by which messages and stored states identify the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSetHashes {
    /// Hash of the names in the current voter set.
    pub current: u32,
    /// Hash of the names in the next voter set; equal to `current` if no change is in progress.
    pub next: u32,
}

/// Configured voters.
///
/// While operators change the voters there are two sets, the current one and the next one, and every decision
/// needs a majority of each (joint consensus, as in Raft). Two processes of which one has both sets share the
/// majority of the set that they have in common. A process with only the old set and one with only the new
/// set have no majority in common, and ignore each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voters {
    current: BTreeSet<Name>,
    next: BTreeSet<Name>,
    hashes: VoterSetHashes,
}

impl Voters {
    /// Creates the configuration from the names of the current voters and of the next ones. `next` is empty
    /// if no change is in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if a set has an even number of names, more than seven, or a duplicate.
    pub fn new(current: Vec<Name>, next: Vec<Name>) -> Result<Voters, VotersError> {
        let current = voter_set(current)?;
        let next = if next.is_empty() { current.clone() } else { voter_set(next)? };
        let hashes = VoterSetHashes { current: hash_of(&current), next: hash_of(&next) };
        Ok(Voters { current, next, hashes })
    }

    /// Iterates over the voters of both sets, each once.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.current.union(&self.next)
    }

    /// Returns whether `name` is a voter in either set.
    pub fn contains(&self, name: &Name) -> bool {
        self.current.contains(name) || self.next.contains(name)
    }

    /// Returns whether a majority of each set consists of voters for which `counts` returns true.
    pub fn has_majority(&self, counts: impl Fn(&Name) -> bool) -> bool {
        let is_majority =
            |set: &BTreeSet<Name>| set.iter().filter(|name| counts(name)).count() * 2 > set.len();
        is_majority(&self.current) && is_majority(&self.next)
    }

    /// Hashes of the current and the next set.
    pub fn hashes(&self) -> VoterSetHashes {
        self.hashes
    }

    /// Returns whether this configuration has a voter set in common with the one whose hashes are `others`.
    /// Processes without a common set ignore each other.
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

/// Hashes the names of a voter set to 32 bits, to save space in messages.
#[expect(clippy::cast_possible_truncation, reason = "the lower half of the hash is what is wanted")]
fn hash_of(set: &BTreeSet<Name>) -> u32 {
    let mut hasher = SipHasher13::new();
    set.iter().for_each(|name| name.as_str().hash(&mut hasher));
    hasher.finish() as u32
}

#[cfg(test)]
mod tests;
