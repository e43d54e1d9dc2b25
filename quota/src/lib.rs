//! Distributes connection capacity among tenants across all client proxies, without I/O or a clock.
//!
//! A call occupies a connection to a host while it is in flight, so capacity is counted in calls in flight; a
//! hedged request counts as another one. One call in flight takes one *permit*. A tenant may have a hard
//! *cap* over the whole fleet. It also has a *fair share* of the capacity of the hosts, whose unused part is
//! lent to other tenants.
//!
//! Each process has a small guaranteed minimum of each cap that needs no agreement ([`TenantRegistry`]). The
//! leader, which is the holder of the lease, grants the rest ([`QuotaLedger`]) for a period that the receiver
//! counts from its request ([`LocalQuota`]). At any moment, the permits that all processes may use add up to
//! at most the cap. `docs/design/shares.md` lists the guarantees and their limits.

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
