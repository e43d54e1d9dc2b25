//! One process's part in the turns, and what it says of them.

use crate::board::Board;
use crate::facts::HostFacts;
use crate::limits::Rules;
use crate::order::{Answer, Order, Refusal};
use flaxhead_lease::ApplicationTypes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a process reports of its own calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Usage {
    /// Calls in hand, by host.
    pub in_hand: BTreeMap<String, u32>,
    /// Calls in hand in all, as a mean over the last seconds, in thousandths.
    pub load: u32,
}

/// What a process says with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    /// Calls in hand at hosts that it sends nothing more to.
    pub busy: BTreeMap<String, u32>,
    /// Calls in hand in all, in thousandths.
    pub load: u32,
    /// Zones that it reaches no host of.
    pub lost: BTreeSet<String>,
}

/// A step of a turn, for the trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Step {
    /// Which turn; 0: none.
    pub turn: u64,
    /// Of which host.
    pub host: String,
    /// What became of it.
    pub what: String,
    /// Why.
    pub why: String,
}

/// The turns, as one process takes part in them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Turns {
    pub(crate) rules: Rules,
    pub(crate) usage: Usage,
}

impl Turns {
    /// By these rules.
    pub fn new(rules: Rules) -> Turns {
        Turns { rules, usage: Usage::default() }
    }

    /// What this process has in hand.
    pub fn use_of_hosts(&mut self, usage: Usage) {
        self.usage = usage;
    }
}

impl ApplicationTypes for Turns {
    type State = Board;
    type Report = Word;
    type Grant = ();
    type Command = Order;
    type Response = Answer;
    type Rejection = Refusal;
    type Facts = HostFacts;
    type Event = Step;

    // Some hundred open turns and as many past ones, with their longest texts and reasons.
    const MAX_STATE_BYTES: usize = 1 << 18;
    // The hosts of all open turns, and zones by their names.
    const MAX_REPORT_BYTES: usize = 1 << 16;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 12;
}
