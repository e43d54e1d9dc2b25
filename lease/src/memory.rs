//! What a process that goes by a disk has there over a restart.

use crate::ballot::{Ballot, Told, Version};
use crate::roster::Roster;
use crate::terms::Terms;
use serde::{Deserialize, Serialize};

/// What a restart needs of a process. Taken up ([`crate::Machine::with_disk`]) it is old news: it makes a voter
/// remember, but no earlier speak, and a process leave alone what is settled, but not send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Memory<T: Terms> {
    /// It is a voter that knows for sure who takes part and what is settled.
    pub sure: bool,
    /// The voters that it went by. Among others it is not sure.
    pub voters: (u32, u32),
    /// The highest ballot that it has promised, as a voter: a lower bound, for it may have promised more since.
    pub promised: Option<Ballot>,
    /// The highest fence that it has heard of: a lower bound.
    pub fence: Option<Ballot>,
    /// The roster as it keeps it, as a voter.
    pub roster: Roster,
    /// The slate that it goes by.
    pub told: Told<T::Slate>,
}

/// Which memory that is: two of one process with the same mark say the same, but for the slate's times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Mark {
    pub(crate) sure: bool,
    pub(crate) promised: Option<Ballot>,
    pub(crate) fence: Option<Ballot>,
    pub(crate) roster: Version,
    pub(crate) told: Version,
}

impl<T: Terms> Memory<T> {
    /// Its mark.
    pub fn mark(&self) -> Mark {
        let Memory { sure, promised, fence, roster, told, .. } = self;
        Mark {
            sure: *sure,
            promised: promised.clone(),
            fence: fence.clone(),
            roster: roster.version.clone(),
            told: told.version.clone(),
        }
    }
}
