//! What a process and the leader tell each other along with the renewal of a lease. It is encoded by position: neither the
//! order of fields nor that of variants may change.

use crate::registry::Tenant;
use flaxhead_lease::{Ballot, Micros};
use serde::{Deserialize, Serialize};

/// Which of two grants is newer: by the leader, then by its count for the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantVersion {
    /// The leader's ballot.
    pub ballot: Ballot,
    /// The leader's count of its grants to the process; 0: its ballot was heard of, and no grant taken.
    pub seq: u64,
}

/// The calls of one tenant at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantUsage {
    /// In flight now, each hedged request as one more.
    pub in_flight: u32,
    /// Maximum of those in flight and queued together since the last report.
    pub peak: u32,
    /// Queued now for a permit.
    pub queued: u32,
    /// Rejected for want of a permit since the last report.
    pub rejected: u32,
}

/// The calls of all tenants at a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// By tenant, in the order of the process's settings; absent ones have none.
    pub tenants: Vec<TenantUsage>,
    /// Attempts that ended since the last report.
    pub attempts: u32,
    /// Those of them that a host rejected as it was full.
    pub rejected_by_hosts: u32,
}

/// Whether a process may use the guaranteed minimums. They are counted for a limited number of processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Slot {
    /// It has just started, and it is not known whether there are too many processes.
    #[default]
    #[serde(rename = "Waits")]
    Pending,
    /// It may.
    #[serde(rename = "Has")]
    Assigned,
    /// It may not: there are more processes than slots.
    Denied,
}

/// The configuration of a process, where it is not the leader's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReportedConfig {
    /// Its tenants.
    pub tenants: Vec<Tenant>,
    /// The number of processes that its guaranteed minimums are counted for.
    pub max_proxies: u32,
}

/// A process's report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The newest grant that it has heard of: it takes no older one any more.
    pub grant_version: Option<GrantVersion>,
    /// Permits that it is granted beside its guaranteed minimums, by tenant; empty: none, or they have expired.
    pub granted: Vec<u32>,
    /// For how long those are still valid.
    pub grant_left: Micros,
    /// Whether it uses its guaranteed minimums.
    pub slot: Slot,
    /// Its calls.
    pub usage: Usage,
    /// The digest of its configuration.
    pub digest: u64,
    /// Its configuration, unless the leader is known to have the same.
    pub config: Option<ReportedConfig>,
}

/// A guaranteed minimum that is lower by another process's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoweredMinimum {
    /// The tenant, by its place in the order of the receiving process.
    pub tenant: u16,
    /// Its guaranteed minimum, in permits.
    pub guaranteed: u32,
}

/// What is granted to one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The leader's count of its grants to this process that differ from the one before.
    pub seq: u64,
    /// Permits beside its guaranteed minimums, by tenant in the process's order; `None`: the leader does not know yet what
    /// the process has, and the process keeps that until it expires.
    pub permits: Option<Vec<u32>>,
    /// Whether it may use its guaranteed minimums.
    pub has_slot: bool,
    /// Its fair share, of all tenants together, of what the hosts can carry; `None`: not agreed upon.
    pub total: Option<u32>,
    /// Each tenant's part of it.
    pub fair_shares: Vec<u32>,
    /// The tenants whose guaranteed minimum is lower than by this process's configuration.
    pub lowered: Vec<LoweredMinimum>,
    /// The leader knows what all processes have, and by which configuration; else what was lowered before stays so.
    pub is_complete: bool,
    /// The digest of the leader's configuration.
    pub digest: u64,
    /// How soon the next report is wanted, in milliseconds.
    pub report_interval_ms: u32,
}
