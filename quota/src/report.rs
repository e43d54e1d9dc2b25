//! Reports and grants that a process and the leader exchange with each renewal of a lease. They are encoded
//! by position: the order of fields and variants must not change.

use crate::registry::Tenant;
use flaxhead_lease::{Ballot, Micros};
use serde::{Deserialize, Serialize};

/// Version of a grant, ordered by the ballot of the leader, then by the leader's count of grants to the
/// process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GrantVersion {
    /// Ballot of the leader that issued the grant.
    pub ballot: Ballot,
    /// Number of the grant, which the leader raises with each changed grant to the process; 0: the process
    /// knows of the leader, but has no grant of it.
    pub seq: u64,
}

/// Calls of one tenant at one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Number of calls in flight, with each hedged request counted as one more.
    pub in_flight: u32,
    /// Highest number of calls in flight and queued together since the last report.
    pub peak: u32,
    /// Number of calls queued for a permit.
    pub queued: u32,
    /// Number of calls rejected for lack of a permit since the last report.
    pub rejected: u32,
}

/// Calls of all tenants at one process, and its attempts at hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Usage {
    /// Calls by tenant, in the order of the process's settings; a tenant beyond the end has no calls.
    pub tenants: Vec<TenantUsage>,
    /// Number of attempts at hosts that ended since the last report.
    pub attempts: u32,
    /// Number of these ended attempts that hosts rejected because they were full.
    pub rejected_by_hosts: u32,
}

/// Right of a process to use its guaranteed minimums. There are `max_proxies` slots, because each cap has
/// room for the minimums of that many processes only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Slot {
    /// The process has just started, and no leader has decided yet whether it gets a slot. It uses no
    /// guaranteed minimums.
    #[default]
    #[serde(rename = "Waits")]
    Pending,
    /// The process may use its guaranteed minimums.
    #[serde(rename = "Has")]
    Assigned,
    /// The process may not use its guaranteed minimums, because all slots are taken.
    Denied,
}

/// Quota configuration of a process, as reported to a leader whose own configuration may differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReportedConfig {
    /// Tenants with their caps and weights, in the order of the process's settings.
    pub tenants: Vec<Tenant>,
    /// Highest number of processes that run at a time; each cap has room for that many guaranteed minimums.
    pub max_proxies: u32,
}

/// Report that a process sends to the leader with each renewal of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Version of the newest grant, or of the newest leader without a grant, that the process knows. The
    /// process ignores grants with lower versions. `None`: the process knows no leader.
    pub grant_version: Option<GrantVersion>,
    /// Permits of the grant that the process uses, beyond the guaranteed minimums, by tenant; empty: no
    /// grant, or an expired one.
    pub granted: Vec<u32>,
    /// Time until the grant that the process uses expires, by the process's clock; 0: no valid grant.
    pub grant_left: Micros,
    /// Whether the process may use its guaranteed minimums.
    pub slot: Slot,
    /// Calls at the process, from which the leader derives the demand of the process.
    pub usage: Usage,
    /// Digest of the process's configuration. The leader compares it with the digest of its own
    /// configuration, and reads `config` only if the two digests differ.
    pub digest: u64,
    /// Configuration of the process; `None`: the leader's last grant carried the digest of the same
    /// configuration.
    pub config: Option<ReportedConfig>,
}

/// Guaranteed minimum that a process has to use instead of its configured one, because a lower one is
/// configured for the tenant at the leader or at some other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoweredMinimum {
    /// Index of the tenant in the settings of the process that receives the grant.
    pub tenant: u16,
    /// Guaranteed minimum to use instead of the configured one, in permits.
    pub guaranteed: u32,
}

/// Grant that the leader sends to a process in reply to a report. It replaces the process's previous grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// [`GrantVersion::seq`] of the grant.
    pub seq: u64,
    /// Permits beyond the guaranteed minimums, by tenant in the process's order; `None`: the process has not
    /// reported its permits to this leader yet, and keeps its previous grant until that expires.
    pub permits: Option<Vec<u32>>,
    /// Whether the process may use its guaranteed minimums.
    pub has_slot: bool,
    /// Limit on the permits of all tenants together at the process, which is the sum of `fair_shares`, at
    /// least 1; `None`: no such limit, because the capacity of the hosts is unknown or not configured.
    pub total: Option<u32>,
    /// Part of each tenant's fair share that falls to the process, in permits, in the process's order.
    pub fair_shares: Vec<u32>,
    /// Guaranteed minimums that the process has to use instead of its configured ones.
    pub lowered: Vec<LoweredMinimum>,
    /// Whether the leader knows the permits and configurations of all processes. If not, the process keeps
    /// its previous `total` and `fair_shares`, and its minimums can only be lowered further.
    pub is_complete: bool,
    /// Digest of the leader's configuration. A process with the same digest does not report its
    /// configuration.
    pub digest: u64,
    /// Time after which the process sends its next report, in milliseconds.
    pub report_interval_ms: u32,
}
