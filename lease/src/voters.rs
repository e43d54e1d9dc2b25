//! Who grants leases, and how many of them are enough.

use flaxhead_membership::Name;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

/// Most voters of one list.
const MOST: usize = 7;

/// Why lists name no voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VotersError {
    /// An even number has a majority no smaller than that of the next odd one.
    #[error("an odd number of voters, 1 to {MOST}")]
    Count,
    /// One voter would count twice.
    #[error("a voter is named twice")]
    Twice,
}

/// The voters, as the operators' file names them. While they are changed there are two lists, and a majority of each is
/// wanted (Raft's joint consensus): old proxies and those with both lists have a majority of the old in common, those
/// with both and new ones a majority of the new. A proxy with the old list alone and one with the new alone have
/// nothing in common, and do not listen to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voters {
    now: BTreeSet<Name>,
    next: BTreeSet<Name>,
    marks: (u32, u32),
}

impl Voters {
    /// The voters, and those that shall take their place (empty: no change is under way).
    pub fn new(now: Vec<Name>, next: Vec<Name>) -> Result<Voters, VotersError> {
        let set = |names: Vec<Name>| {
            let count = names.len();
            if count > MOST || count.is_multiple_of(2) {
                return Err(VotersError::Count);
            }
            let set: BTreeSet<Name> = names.into_iter().collect();
            (set.len() == count).then_some(set).ok_or(VotersError::Twice)
        };
        let now = set(now)?;
        let next = if next.is_empty() { now.clone() } else { set(next)? };
        let marks = (mark(&now), mark(&next));
        Ok(Voters { now, next, marks })
    }

    /// All of both lists.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.now.union(&self.next)
    }

    /// Whether it is one.
    pub fn has(&self, name: &Name) -> bool {
        self.now.contains(name) || self.next.contains(name)
    }

    /// Whether those that are `in_it` are a majority of each list.
    pub fn majority(&self, in_it: impl Fn(&Name) -> bool) -> bool {
        let most = |list: &BTreeSet<Name>| list.iter().filter(|name| in_it(name)).count() * 2 > list.len();
        most(&self.now) && most(&self.next)
    }

    /// What tells others by whose word this process goes.
    pub fn marks(&self) -> (u32, u32) {
        self.marks
    }

    /// Whether a process with these marks and this one have the majority of some list in common.
    pub fn agree(&self, (now, next): (u32, u32)) -> bool {
        let own = [self.marks.0, self.marks.1];
        own.contains(&now) || own.contains(&next)
    }
}

fn mark(names: &BTreeSet<Name>) -> u32 {
    let mut hasher = SipHasher13::new();
    names.iter().for_each(|name| name.as_str().hash(&mut hasher));
    hasher.finish() as u32
}

#[cfg(test)]
mod tests;
