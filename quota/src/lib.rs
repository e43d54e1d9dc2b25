//! Connection capacity, shared among tenants by all client proxies: decisions without I/O or clock.
//!
//! A call uses a connection to a host for as long as it is in flight, so what is shared is counted in calls in flight; a
//! hedged request is one more. One call in flight is one *permit*. A tenant may have a *cap* over the whole fleet, which is
//! hard, and has a *fair share* of what the hosts can carry, which is lent to others while it is not used.
//!
//! Each process has a small guaranteed minimum of each cap that depends on nobody ([`TenantRegistry`]). The rest is granted
//! by whoever holds the lease ([`QuotaLedger`]), for a time that the receiver counts from its request ([`LocalQuota`]). At
//! every moment the sum of what all processes may use is at most the cap. What is guaranteed and what is not stands in
//! `docs/design/shares.md`.

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
