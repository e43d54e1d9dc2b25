//! Reports and grants that a process and the leader exchange with each lease renewal. They are encoded by
//! position: the order of fields and variants must not change.

use crate::registry::Tenant;
use flaxhead_lease::{Ballot, Micros};
use serde::{Deserialize, Serialize};

/// Version that orders grants by leader, then by the leader's count for the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantVersion {
    /// Ballot of the leader.
    pub ballot: Ballot,
    /// Count of the leader's grants to the process; 0: the process knows the ballot but has no grant under
    /// it.
    pub seq: u64,
}

/// Calls of one tenant at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Calls in flight, counting each hedged request as one more.
    pub in_flight: u32,
    /// Maximum of calls in flight and queued together since the last report.
    pub peak: u32,
    /// Calls queued for a permit.
    pub queued: u32,
    /// Calls rejected for lack of a permit since the last report.
    pub rejected: u32,
}

/// Calls of all tenants at a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// Calls by tenant, in the order of the process's settings; absent tenants have none.
    pub tenants: Vec<TenantUsage>,
    /// Attempts that ended since the last report.
    pub attempts: u32,
    /// Ended attempts that a host rejected for being full.
    pub rejected_by_hosts: u32,
}

/// Right of a process to use its guaranteed minimums, of which there are only enough for a limited number of
/// processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Slot {
    /// Not known yet, as the process has just started.
    #[default]
    #[serde(rename = "Waits")]
    Pending,
    /// The process may use its guaranteed minimums.
    #[serde(rename = "Has")]
    Assigned,
    /// The process may not use them, as there are more processes than slots.
    Denied,
}

/// Configuration of a process that differs from the leader's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReportedConfig {
    /// Tenants in the order of the process's settings.
    pub tenants: Vec<Tenant>,
    /// Number of processes that the guaranteed minimums are calculated for.
    pub max_proxies: u32,
}

/// Report of a process to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Version of the newest grant received, after which the process applies no older one.
    pub grant_version: Option<GrantVersion>,
    /// Permits granted beyond the guaranteed minimums, by tenant; empty: none, or the grant has expired.
    pub granted: Vec<u32>,
    /// Remaining validity of `granted`.
    pub grant_left: Micros,
    /// Whether the process uses its guaranteed minimums.
    pub slot: Slot,
    /// Calls of the process.
    pub usage: Usage,
    /// Digest of the process's configuration.
    pub digest: u64,
    /// Configuration of the process; `None`: the same as the leader's by its last grant.
    pub config: Option<ReportedConfig>,
}

/// Guaranteed minimum of a tenant, lowered by the configuration of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoweredMinimum {
    /// Index of the tenant in the receiving process's settings.
    pub tenant: u16,
    /// Lowered minimum, in permits.
    pub guaranteed: u32,
}

/// Grant of the leader to one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Count of the leader's grants to this process, raised when the permits change.
    pub seq: u64,
    /// Permits beyond the guaranteed minimums, by tenant in the process's order; `None`: the leader does not
    /// know yet which grant the process has, so that grant stays valid until it expires.
    pub permits: Option<Vec<u32>>,
    /// Whether the process may use its guaranteed minimums.
    pub has_slot: bool,
    /// Process's part of the hosts' capacity over all tenants, in permits; `None`: no total applies.
    pub total: Option<u32>,
    /// Parts of `total` by tenant.
    pub fair_shares: Vec<u32>,
    /// Tenants whose guaranteed minimum is lower than by this process's configuration.
    pub lowered: Vec<LoweredMinimum>,
    /// Whether the leader knows the grants and configurations of all processes. If not, earlier lowered
    /// minimums stay in effect.
    pub is_complete: bool,
    /// Digest of the leader's configuration.
    pub digest: u64,
    /// Time until the next report should be sent, in milliseconds.
    pub report_interval_ms: u32,
}
