//! What a process and the holder say to each other along with the renewal of leave.

use crate::book::Tenant;
use flaxhead_lease::{Ballot, Micros};
use serde::{Deserialize, Serialize};

/// Which of two leaves is newer: by the holder, then by its count for this process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Whose.
    pub ballot: Ballot,
    /// Which of the holder's; 0: its ballot was heard of, and no leave taken.
    pub seq: u64,
}

/// What a process has of one tenant, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Use {
    /// In hand now: out at hosts, each second copy as one more.
    pub in_hand: u32,
    /// In hand and waiting together, at the most since the last word.
    pub most: u32,
    /// Waiting now for a unit.
    pub waiting: u32,
    /// Refused for want of a unit since the last word.
    pub refused: u32,
}

/// What a process has of all tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// By tenant, in the order of its settings; absent ones have nothing.
    pub tenants: Vec<Use>,
    /// Attempts that ended since the last word.
    pub attempts: u32,
    /// Those of them that a host turned away as full.
    pub turned_away: u32,
}

/// Whether a process may use its own parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Seat {
    /// It has just started, and somebody may know that there are too many.
    #[default]
    Waits,
    /// It may.
    Has,
    /// There are more processes than own parts.
    Denied,
}

/// What a process goes by, where its settings are not the holder's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Deal {
    /// Its tenants.
    pub tenants: Vec<Tenant>,
    /// Processes that its own parts are counted for.
    pub proxies_most: u32,
}

/// A process's word with each renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    /// The newest that it has heard of: it takes nothing older any more.
    pub by: Option<Stamp>,
    /// Units that it is granted beside its own parts, by tenant; empty: none, or their time is over.
    pub held: Vec<u32>,
    /// For how long those still count.
    pub left: Micros,
    /// Whether it uses its own parts.
    pub seat: Seat,
    /// What it has.
    pub usage: Usage,
    /// Of its book.
    pub digest: u64,
    /// Its book, unless the holder is known to have the same.
    pub deal: Option<Deal>,
}

/// What goes along with the leave that is granted to one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leave {
    /// Counts this holder's leaves to this process that say something else.
    pub seq: u64,
    /// Units beside its own parts, by tenant in the process's order; `None`: the holder does not know yet what the process
    /// has, and it keeps that until its end.
    pub grants: Option<Vec<u32>>,
    /// Whether it may use its own parts.
    pub seat: bool,
    /// Calls of all tenants together that are its fair part; `None`: not settled.
    pub all: Option<u32>,
    /// Each tenant's share of it.
    pub shares: Vec<u32>,
    /// Tenants whose own part is less by another's settings than by this process's, with that part.
    pub lowered: Vec<(u16, u32)>,
    /// The holder knows what all have, and by which settings they go; else what was lowered before stays so.
    pub known: bool,
    /// Of the holder's book.
    pub digest: u64,
    /// How soon the next word is wanted, in milliseconds.
    pub pace_ms: u32,
}
