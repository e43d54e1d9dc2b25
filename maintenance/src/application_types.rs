//! [`Maintenance`], the application that [`flaxhead_lease`] runs at each process, and the reports that
//! processes send to the leader.

use crate::command::{Command, CommandResponse, Rejection};
use crate::config::SchedulerConfig;
use crate::facts::HostFacts;
use crate::schedule::DrainSchedule;
use flaxhead_lease::ApplicationTypes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Calls that one process has in flight, as its driver counts them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostUsage {
    /// Number of calls in flight now, by host name.
    pub in_flight: BTreeMap<String, u32>,
    /// Load of this process: calls in flight to all hosts together, averaged over the last seconds, in
    /// thousandths of a call.
    pub load_millicalls: u32,
}

/// Report that a process sends to the leader with each renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of calls in flight at each host that the process excludes, now or from a later time, by host
    /// name. Hosts without calls are left out.
    pub busy: BTreeMap<String, u32>,
    /// Load of the process: calls in flight to all hosts together, averaged over the last seconds, in
    /// thousandths of a call.
    pub load_millicalls: u32,
    /// Zones in which the process reaches no host.
    pub lost_zones: BTreeSet<String>,
}

/// Event that the leader records in the audit trail and the log: a change of a drain, or a command that
/// concerns no drain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainEvent {
    /// Identifier of the drain; 0: the event concerns no drain.
    pub drain: u64,
    /// Name of the drain's host; empty: the event concerns no drain.
    pub host: String,
    /// Kind of the change in one word, such as `settled` or `out`.
    pub change: String,
    /// Cause of the change, as a text for operators.
    pub reason: String,
}

/// Application that replicates the [`DrainSchedule`] to every process and, at the leader, moves each drain
/// from stage to stage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Maintenance {
    pub(crate) config: SchedulerConfig,
    pub(crate) usage: HostUsage,
}

impl Maintenance {
    /// Creates the application for one process, with no calls in flight.
    pub fn new(config: SchedulerConfig) -> Maintenance {
        Maintenance { config, usage: HostUsage::default() }
    }

    /// Sets the calls in flight that this process states in its next report to the leader.
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

    // Size limit of the replicated schedule: enough for several hundred drains with texts of maximum length.
    const MAX_STATE_BYTES: usize = 1 << 18;
    // Size limit of one process's report: enough for the names of all hosts being drained and of all lost
    // zones.
    const MAX_REPORT_BYTES: usize = 1 << 16;
    const MAX_GRANT_BYTES: usize = 0;
    const MAX_COMMAND_BYTES: usize = 1 << 12;
}
