//! The application at one process, and the data that it exchanges.

use crate::command::{Command, CommandResponse, Rejection};
use crate::config::SchedulerConfig;
use crate::facts::HostFacts;
use crate::schedule::DrainSchedule;
use flaxhead_lease::ApplicationTypes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Calls in flight of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostUsage {
    /// Calls in flight, by host.
    pub in_flight: BTreeMap<String, u32>,
    /// Mean number of calls in flight to all hosts over the last seconds, in thousandths of a call.
    pub load_millicalls: u32,
}

/// Report that accompanies each renewal of a process's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// Calls in flight at hosts that are excluded or will be, by host; hosts without any are left out.
    pub busy: BTreeMap<String, u32>,
    /// Mean number of calls in flight to all hosts over the last seconds, in thousandths of a call.
    pub load_millicalls: u32,
    /// Zones in which the process reaches no host.
    pub lost_zones: BTreeSet<String>,
}

/// Change of a drain, for the audit trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainEvent {
    /// Number of the drain; 0: the event concerns no drain.
    pub drain: u64,
    /// Host of the drain; empty: the event concerns no drain.
    pub host: String,
    /// Change, as a single word.
    pub change: String,
    /// Reason, for operators.
    pub reason: String,
}

/// The maintenance application at one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Maintenance {
    pub(crate) config: SchedulerConfig,
    pub(crate) usage: HostUsage,
}

impl Maintenance {
    /// Creates the application, with no calls in flight.
    pub fn new(config: SchedulerConfig) -> Maintenance {
        Maintenance { config, usage: HostUsage::default() }
    }

    /// Sets the calls in flight that the next report covers.
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

    // Holds some hundred open and completed drains with texts of maximum length.
    const MAX_STATE_BYTES: usize = 1 << 18;
    // Holds the hosts of all open drains and the names of the lost zones.
    const MAX_REPORT_BYTES: usize = 1 << 16;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 12;
}
