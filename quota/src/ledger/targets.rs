//! The division that the leader works towards: tenants first, then each tenant's permits over the processes.

use super::process_entry::ProcessEntry;
use super::QuotaLedger;
use crate::max_min::{reallocate, reallocate_tenants, Demand};
use flaxhead_lease::{Micros, Process};
use std::collections::BTreeMap;

/// Divisions within a lease at the most.
const MAX_DIVISIONS_PER_LEASE: Micros = 256;
/// Divisions within a lease though nothing was reported: a process may have fallen silent.
const MIN_DIVISIONS_PER_LEASE: Micros = 4;

/// The last division.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Targets {
    /// Something has changed since.
    pub is_stale: bool,
    divided_at: Option<Micros>,
    /// Fair shares by tenant, of all that the hosts carry.
    pub fair_shares: Vec<u32>,
}

impl QuotaLedger {
    /// Divides anew, if something has changed, or a process has been silent for so long that its part is free.
    pub(super) fn divide(&mut self, now: Micros) {
        let per_lease = if self.targets.is_stale { MAX_DIVISIONS_PER_LEASE } else { MIN_DIVISIONS_PER_LEASE };
        let interval = self.timing.lease / per_lease;
        if self.targets.divided_at.is_some_and(|at| now < at + interval) {
            return;
        }
        self.targets.divided_at = Some(now);
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
                self.divide_pool(now, tenant, pool, &active);
            }
        }
        self.divide_capacity(&active);
    }

    /// The processes that something is divided among: those that have reported what they have, and are not silent. In
    /// ascending order.
    fn active_processes(&self, now: Micros) -> Vec<Process> {
        let lease = self.timing.lease;
        let is_active = |entry: &ProcessEntry| {
            entry.is_settled && entry.last_report_at.is_some_and(|at| now < at + lease)
        };
        let active = self.entries.iter().filter(|(_, entry)| is_active(entry));
        active.map(|(process, _)| process.clone()).collect()
    }

    /// Divides a capped tenant's permits beside the guaranteed minimums. Those of silent processes are not there to be
    /// divided.
    fn divide_pool(&mut self, now: Micros, tenant: usize, pool: u32, active: &[Process]) {
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
        let targets = permits.iter().zip(&demands).map(|(permits, d)| permits.saturating_sub(d.minimum));
        for (process, target) in active.iter().zip(targets) {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.target[tenant] = target;
            }
        }
    }

    /// Divides what the hosts carry: by weight among the tenants, then evenly among the processes that want it.
    fn divide_capacity(&mut self, active: &[Process]) {
        let Some(capacity) = self.capacity else { return };
        let entries: BTreeMap<&Process, &ProcessEntry> =
            active.iter().filter_map(|process| self.entries.get_key_value(process)).collect();
        let tenant_demands = self.registry.tenants.iter().enumerate().map(|(place, tenant)| {
            let wanted = entries.values().map(|entry| self.usable_demand(entry, place));
            let wanted = wanted.fold(0, u32::saturating_add);
            Demand { weight: tenant.weight, minimum: wanted.min(1), wanted }
        });
        let tenant_demands: Vec<Demand> = tenant_demands.collect();
        let fair_shares = reallocate_tenants(capacity, &tenant_demands, &self.targets.fair_shares);
        let mut parts_by_tenant = Vec::new();
        for (tenant, total) in fair_shares.iter().enumerate() {
            let demand = |entry: &&ProcessEntry| {
                let wanted = self.usable_demand(entry, tenant);
                Demand { weight: 1, minimum: wanted.min(1), wanted }
            };
            let demands: Vec<Demand> = entries.values().map(demand).collect();
            let previous: Vec<u32> = entries.values().map(|entry| entry.fair_shares[tenant]).collect();
            parts_by_tenant.push(reallocate(*total, &demands, &previous));
        }
        self.targets.fair_shares = fair_shares;
        for (place, process) in active.iter().enumerate() {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.fair_shares = parts_by_tenant.iter().map(|parts| parts[place]).collect();
            }
        }
    }

    /// The demand of a process that its cap lets it use: what that keeps back is no use of hosts.
    fn usable_demand(&self, entry: &ProcessEntry, tenant: usize) -> u32 {
        let guaranteed = if entry.has_slot { self.effective.guaranteed(tenant) } else { 0 };
        let cap = self.effective.cap(tenant);
        let max = cap.map_or(u32::MAX, |_| guaranteed + entry.target[tenant]);
        entry.demand(tenant).min(max)
    }
}
