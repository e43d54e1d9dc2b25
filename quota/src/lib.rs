//! Distributes connection capacity among tenants across all client proxies, without I/O or a clock.
//!
//! A call occupies a connection to a host while it is in flight, so capacity is counted in calls in flight; a
//! hedged request counts as another call. Terms of this package:
//!
//! * permit: the right to have one call in flight.
//! * attempt: the sending of a call to one host; a call can take several attempts.
//! * process: a client proxy that takes part in the lease protocol; `max_proxies` limits how many there are.
//!   Some processes are voters; the voter that holds the lease is the leader.
//! * settings: the description of the service, which defines classes and tenants; configuration: the quotas
//!   that operators set for these tenants.
//! * lease: the leader's right to issue grants, and each process's right to use its grant, both for a limited
//!   time. A process renews its lease with a report, and gets a grant in return.
//! * cap: hard limit on the permits of a tenant over all processes.
//! * guaranteed minimum, or minimum: permits of a cap that a process may use without a grant, provided that
//!   it has a slot.
//! * slot: the right of a process to its guaranteed minimums. There are `max_proxies` slots, because each cap
//!   has room for that many minimums.
//! * fair share: portion of the hosts' capacity that a tenant has by its weight, in permits. Permits of the
//!   share that the tenant does not use are lent to other tenants. Each process gets a part of the share,
//!   which is `fair_share` in the types of a process.
//! * demand: number of permits that a tenant could use, at one process or at all of them.
//! * allocation: division of permits that the leader computes and moves towards ([`max_min`]).
//! * grant: message by which the leader gives a process permits beyond its guaranteed minimum, for a limited
//!   time.
//! * allowance: limits on a process's calls that follow from its minimums and its grant ([`Allowance`]).
//!
//! The configuration sets caps and minimums ([`TenantRegistry`]), the leader issues grants ([`QuotaLedger`]),
//! and each process applies them ([`LocalQuota`]) and admits calls ([`admission`]). At any moment, the
//! permits of a tenant that all processes may use add up to at most the tenant's cap. `docs/design/shares.md`
//! lists the guarantees and their limits.

pub mod admission;
mod allowance;
mod application;
mod capacity;
mod ledger;
mod local_quota;
pub mod max_min;
mod registry;
mod report;
mod timing;
mod view;

pub use allowance::{Allowance, TenantAllowance};
pub use application::{Context, Effect, Facts, Machine, Message, QuotaApplication};
pub use capacity::{fleet_capacity, HostCapacity, LearnedCapacity};
pub use ledger::QuotaLedger;
pub use local_quota::LocalQuota;
pub use registry::{QuotaConfig, QuotaConfigError, Tenant, TenantRegistry, DEFAULT_TENANT};
pub use report::{
    GrantVersion, LoweredMinimum, QuotaGrant, QuotaReport, ReportedConfig, Slot, TenantUsage, Usage,
};
pub use timing::QuotaTiming;
pub use view::{PermitHolderView, QuotaView, TenantView};

pub use flaxhead_lease::{Ballot, Micros, Name, Process};
