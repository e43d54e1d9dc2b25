//! One process's part in the drains, and what it reports for them.

use crate::command::{Command, CommandResponse, Rejection};
use crate::config::SchedulerConfig;
use crate::facts::HostFacts;
use crate::schedule::DrainSchedule;
use flaxhead_lease::ApplicationTypes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The calls of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostUsage {
    /// Calls in flight, by host.
    pub in_flight: BTreeMap<String, u32>,
    /// All calls in flight, as a mean over the last seconds, in thousandths.
    pub load_millicalls: u32,
}

/// What a process reports with each renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// Calls in flight at hosts that it sends nothing new to.
    pub busy: BTreeMap<String, u32>,
    /// All calls in flight, as a mean over the last seconds, in thousandths.
    pub load_millicalls: u32,
    /// Zones in which it reaches no host.
    pub lost_zones: BTreeSet<String>,
}

/// A step of a drain, for the audit trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainEvent {
    /// The drain; 0: none.
    pub drain: u64,
    /// Its host; empty: none.
    pub host: String,
    /// What became of it, in a word.
    pub change: String,
    /// Why.
    pub reason: String,
}

/// The drains, as one process takes part in them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Maintenance {
    pub(crate) config: SchedulerConfig,
    pub(crate) usage: HostUsage,
}

impl Maintenance {
    /// A process with this configuration.
    pub fn new(config: SchedulerConfig) -> Maintenance {
        Maintenance { config, usage: HostUsage::default() }
    }

    /// Sets what this process has in flight.
    pub fn set_usage(&mut self, usage: HostUsage) {
        self.usage = usage;
    }
}

impl ApplicationTypes for Maintenance {
    type State = DrainSchedule;
    type Report = UsageReport;
    type Grant = ();
    type Command = Command;
    type Response = CommandResponse;
    type Rejection = Rejection;
    type Facts = HostFacts;
    type Event = DrainEvent;

    // Some hundred open drains and as many completed ones, with their longest texts and reasons.
    const MAX_STATE_BYTES: usize = 1 << 18;
    // The hosts of all open drains, and zones by their names.
    const MAX_REPORT_BYTES: usize = 1 << 16;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 12;
}
