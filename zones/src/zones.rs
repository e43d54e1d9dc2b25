//! One process's part in the plan, and what it says.

use crate::facts::Host;
use crate::map::Map;
use crate::order::{Done, Order, Refusal};
use crate::pace::Pace;
use crate::plan::{Plan, PlanError};
use crate::tally::Tally;
use crate::word::Word;
use flaxhead_lease::{ApplicationTypes, Config, Micros};

/// A step, for the trail and the log of the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Noted {
    /// What happened.
    pub what: &'static str,
    /// To which zone, or of which process; empty: to the plan.
    pub whom: String,
    /// Why.
    pub why: String,
}

/// The plan, as one process takes part in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zones {
    pub(crate) map: Map,
    pub(crate) pace: Pace,
    pub(crate) tally: Tally,
    pub(crate) hurries: bool,
    /// The last plan that could be gone by, and why a later one could not.
    pub(crate) good: Plan,
    pub(crate) refused: Option<PlanError>,
}

impl Zones {
    /// A process that starts in a zone of the map, by its place, and remembers nothing.
    pub fn new(now: Micros, map: Map, pace: Pace, own: usize) -> Zones {
        let tally = Tally::new(now, &map, own);
        Zones { map, pace, tally, hurries: false, good: Plan::default(), refused: None }
    }

    /// How the machine is to be paced. A plan that is forgotten is made anew from figures; a lease is how long an old
    /// one may be gone by at the longest.
    pub fn config(lease_duration: Micros) -> Config {
        Config {
            lease_duration,
            max_call_duration: lease_duration,
            state_loss_timeout: 2 * lease_duration,
            autonomy_timeout: 2 * lease_duration,
            operator_timeout: 0,
        }
    }

    /// The zones.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Its own zone.
    pub fn own(&self) -> usize {
        self.tally.own()
    }

    /// Where what it sees is counted.
    pub fn tally_mut(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// To be called now and then: a zone that is found otherwise than the last word said is told soon.
    pub fn look(&mut self, now: Micros) {
        self.hurries = self.tally.news(now, &self.map, &self.pace);
    }

    /// The last plan that could be gone by. Whether it is now, [`Zones::in_force`] says.
    pub fn good(&self) -> &Plan {
        &self.good
    }

    /// Why the plan that was told last is not gone by; `None`: it is.
    pub fn refused(&self) -> Option<&PlanError> {
        self.refused.as_ref()
    }
}

impl ApplicationTypes for Zones {
    type State = Plan;
    type Report = Word;
    type Grant = ();
    type Command = Order;
    type Response = Done;
    type Rejection = Refusal;
    type Facts = Vec<Host>;
    type Event = Noted;

    // As many zones as a map can have, with their longest names, each lost to and served by all.
    const MAX_STATE_BYTES: usize = 1 << 18;
    const MAX_REPORT_BYTES: usize = 1 << 12;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 9;
}
