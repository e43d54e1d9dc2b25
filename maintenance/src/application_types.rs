//! Host maintenance as an application of [`flaxhead_lease`], and the data that processes report to the
//! leader.

use crate::command::{Command, CommandResponse, Rejection};
use crate::config::SchedulerConfig;
use crate::facts::HostFacts;
use crate::schedule::DrainSchedule;
use flaxhead_lease::ApplicationTypes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Calls that this process has in flight at hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostUsage {
    /// Number of calls in flight now, by host name.
    pub in_flight: BTreeMap<String, u32>,
    /// Total number of calls in flight to all hosts, as a mean over the last seconds, in thousandths of a
    /// call.
    pub load_millicalls: u32,
}

/// Report that a process sends to the leader with each renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// Calls in flight at hosts that the process excludes or will exclude, by host name; hosts without calls
    /// are left out.
    pub busy: BTreeMap<String, u32>,
    /// Total number of calls in flight to all hosts, as a mean over the last seconds, in thousandths of a
    /// call.
    pub load_millicalls: u32,
    /// Zones in which the process reaches no host.
    pub lost_zones: BTreeSet<String>,
}

/// Change of a drain, which the leader records in the audit trail and the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainEvent {
    /// Identifier of the drain; 0: the event concerns no drain.
    pub drain: u64,
    /// Host of the drain; empty: the event concerns no drain.
    pub host: String,
    /// Kind of the change in one word, such as `settled` or `out`.
    pub change: String,
    /// Cause of the change, as a text for operators.
    pub reason: String,
}

/// Application that replicates the [`DrainSchedule`] to all processes and moves drains on at the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Maintenance {
    pub(crate) config: SchedulerConfig,
    pub(crate) usage: HostUsage,
}

impl Maintenance {
    /// Creates the application of one process, with no calls in flight.
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

    // Enough for several hundred open and completed drains with texts of maximum length.
    const MAX_STATE_BYTES: usize = 1 << 18;
    // Enough for the hosts of all open drains and the names of all lost zones.
    const MAX_REPORT_BYTES: usize = 1 << 16;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 12;
}
