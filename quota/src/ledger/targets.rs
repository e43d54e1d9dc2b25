//! Allocation of permits that the leader moves grants towards: the hosts' capacity is divided among tenants,
//! and the permits of each tenant among processes.

use super::process_entry::ProcessEntry;
use super::QuotaLedger;
use crate::max_min::{reallocate, reallocate_tenants, Demand};
use flaxhead_lease::{Micros, Process};
use std::collections::BTreeMap;

/// Number of times per lease that permits are reallocated if every report changes the demand; bounds the
/// leader's CPU usage.
const MAX_ALLOCATIONS_PER_LEASE: Micros = 256;
/// Number of times per lease that permits are reallocated without any report, to reclaim those of processes
/// that have stopped reporting.
const MIN_ALLOCATIONS_PER_LEASE: Micros = 4;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    /// Whether a report, a change of capacity or the end of a process requires a new allocation.
    pub is_stale: bool,
    allocated_at: Option<Micros>,
    /// Fair share of each tenant in the hosts' capacity, in permits.
    pub fair_shares: Vec<u32>,
}

impl QuotaLedger {
    /// Reallocates all permits if the last allocation is old enough. The required age is short if reports or
    /// the capacity have changed since, and longer otherwise, when processes may only have stopped reporting.
    pub(super) fn allocate(&mut self, now: Micros) {
        let per_lease =
            if self.targets.is_stale { MAX_ALLOCATIONS_PER_LEASE } else { MIN_ALLOCATIONS_PER_LEASE };
        let interval = self.timing.lease / per_lease;
        if self.targets.allocated_at.is_some_and(|at| now < at + interval) {
            return;
        }
        self.targets.allocated_at = Some(now);
        self.targets.is_stale = false;
        let active = self.active_processes(now);
        let tenants = self.registry.tenants.len();
        for process in &active {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.target.resize(tenants, 0);
                entry.fair_shares.resize(tenants, 0);
            }
        }
        for tenant in 0..tenants {
            if let Some(pool) = self.effective.pool(tenant) {
                self.allocate_pool(now, tenant, pool, &active);
            }
        }
        self.allocate_capacity(&active);
    }

    /// Returns the processes that permits are allocated to, in ascending order: those that have reported
    /// their permits to this leader, and have sent a report within the last lease duration.
    fn active_processes(&self, now: Micros) -> Vec<Process> {
        let lease = self.timing.lease;
        let is_active = |entry: &ProcessEntry| {
            entry.has_reported_permits && entry.last_report_at.is_some_and(|at| now < at + lease)
        };
        let active = self.entries.iter().filter(|(_, entry)| is_active(entry));
        active.map(|(process, _)| process.clone()).collect()
    }

    /// Allocates the permits of a capped tenant beyond the guaranteed minimums to the `active` processes.
    /// Permits that processes outside `active` may still use are left out.
    fn allocate_pool(&mut self, now: Micros, tenant: usize, pool: u32, active: &[Process]) {
        let guaranteed = self.effective.guaranteed(tenant);
        let silent = self.entries.iter().filter(|(process, _)| active.binary_search(process).is_err());
        let reserved = silent.map(|(_, entry)| self.max_permits(now, tenant, entry));
        let mut total = pool.saturating_sub(reserved.fold(0, u32::saturating_add));
        let (mut demands, mut previous) = (Vec::new(), Vec::new());
        for entry in active.iter().filter_map(|process| self.entries.get(process)) {
            let minimum = if entry.has_slot { guaranteed } else { 0 };
            total = total.saturating_add(minimum);
            demands.push(Demand { weight: 1, minimum, wanted: entry.demand(tenant) });
            previous.push(minimum + entry.target[tenant]);
        }
        let permits = reallocate(total, &demands, &previous);
        let targets =
            permits.iter().zip(&demands).map(|(permits, demand)| permits.saturating_sub(demand.minimum));
        for (process, target) in active.iter().zip(targets) {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.target[tenant] = target;
            }
        }
    }

    /// Divides the hosts' capacity among tenants by weight, which gives their fair shares, then each fair
    /// share equally among the `active` processes, up to the demand of each process for the tenant.
    fn allocate_capacity(&mut self, active: &[Process]) {
        let Some(capacity) = self.capacity else { return };
        let entries: BTreeMap<&Process, &ProcessEntry> =
            active.iter().filter_map(|process| self.entries.get_key_value(process)).collect();
        let tenant_demands = self.registry.tenants.iter().enumerate().map(|(index, tenant)| {
            let wanted = entries.values().map(|entry| self.usable_demand(entry, index));
            let wanted = wanted.fold(0, u32::saturating_add);
            Demand { weight: tenant.weight, minimum: wanted.min(1), wanted }
        });
        let tenant_demands: Vec<Demand> = tenant_demands.collect();
        let fair_shares = reallocate_tenants(capacity, &tenant_demands, &self.targets.fair_shares);
        let mut shares_by_tenant = Vec::new();
        for (tenant, total) in fair_shares.iter().enumerate() {
            let demand = |entry: &&ProcessEntry| {
                let wanted = self.usable_demand(entry, tenant);
                Demand { weight: 1, minimum: wanted.min(1), wanted }
            };
            let demands: Vec<Demand> = entries.values().map(demand).collect();
            let previous: Vec<u32> = entries.values().map(|entry| entry.fair_shares[tenant]).collect();
            shares_by_tenant.push(reallocate(*total, &demands, &previous));
        }
        self.targets.fair_shares = fair_shares;
        for (index, process) in active.iter().enumerate() {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.fair_shares = shares_by_tenant.iter().map(|shares| shares[index]).collect();
            }
        }
    }

    /// Returns the demand of a process for a tenant, up to the permits that the tenant's cap leaves to the
    /// process. Calls above these permits are not admitted, so they need no capacity of hosts.
    fn usable_demand(&self, entry: &ProcessEntry, tenant: usize) -> u32 {
        let guaranteed = if entry.has_slot { self.effective.guaranteed(tenant) } else { 0 };
        let cap = self.effective.cap(tenant);
        let max = cap.map_or(u32::MAX, |_| guaranteed + entry.target[tenant]);
        entry.demand(tenant).min(max)
    }
}
