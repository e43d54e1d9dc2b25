//! The division that the holder works towards: tenants first, then each tenant's units over the processes.

use super::entry::Entry;
use super::Ledger;
use crate::divide::{settle, settle_tenants, Want};
use flaxhead_lease::{Micros, Process};
use std::collections::BTreeMap;

/// It is made anew at most so many times in a lease.
const TIMES: Micros = 256;

/// The last division.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Aims {
    /// Something has changed since.
    pub stale: bool,
    at: Option<Micros>,
    /// Fair shares by tenant, of all that the hosts carry.
    pub shares: Vec<u32>,
}

impl Ledger {
    /// Divides anew, if something has changed, or a process has not been heard for so long that its part is free.
    pub(super) fn divide(&mut self, now: Micros) {
        let at = self.aims.at;
        let due = at.is_none_or(|at| now >= at + self.pace.lease / if self.aims.stale { TIMES } else { 4 });
        if !due {
            return;
        }
        (self.aims.at, self.aims.stale) = (Some(now), false);
        let lease = self.pace.lease;
        let counts = |entry: &Entry| entry.stated && entry.at.is_some_and(|at| now < at + lease);
        let heard: Vec<Process> = self
            .entries
            .iter()
            .filter(|(_, entry)| counts(entry))
            .map(|(process, _)| process.clone())
            .collect();
        let tenants = self.book.tenants.len();
        for process in &heard {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.aim.resize(tenants, 0);
                entry.shares.resize(tenants, 0);
            }
        }
        for tenant in 0..tenants {
            if let Some(pool) = self.agreed.pool(tenant) {
                self.divide_pool(now, tenant, pool, &heard);
            }
        }
        self.divide_hosts(&heard);
    }

    /// A capped tenant's units beside the own parts. Those of processes that are not heard are not there to be divided.
    fn divide_pool(&mut self, now: Micros, tenant: usize, pool: u32, heard: &[Process]) {
        let own = self.agreed.own(tenant);
        let silent = self.entries.iter().filter(|(process, _)| heard.binary_search(process).is_err());
        let silent = silent.map(|(_, entry)| self.counted(now, tenant, entry)).fold(0, u32::saturating_add);
        let (mut wants, mut old, mut total) = (Vec::new(), Vec::new(), pool.saturating_sub(silent));
        for entry in heard.iter().filter_map(|process| self.entries.get(process)) {
            let least = if entry.seat { own } else { 0 };
            total = total.saturating_add(least);
            wants.push(Want { weight: 1, least, demand: entry.demand(tenant) });
            old.push(least + entry.aim[tenant]);
        }
        let units = settle(total, &wants, &old);
        let aims = units.iter().zip(&wants).map(|(units, want)| units.saturating_sub(want.least));
        for (process, aim) in heard.iter().zip(aims) {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.aim[tenant] = aim;
            }
        }
    }

    /// What the hosts carry: by portion among the tenants, then evenly among the processes that want it.
    fn divide_hosts(&mut self, heard: &[Process]) {
        let Some(carried) = self.hosts else { return };
        let entries: BTreeMap<&Process, &Entry> =
            heard.iter().filter_map(|process| self.entries.get_key_value(process)).collect();
        // What a cap keeps back at a process is no use of hosts.
        let demand = |entry: &Entry, tenant: usize| {
            let own = if entry.seat { self.agreed.own(tenant) } else { 0 };
            let most = self.agreed.cap(tenant).map_or(u32::MAX, |_| own + entry.aim[tenant]);
            entry.demand(tenant).min(most)
        };
        let wants = self.book.tenants.iter().enumerate().map(|(at, tenant)| {
            let demand = entries.values().map(|entry| demand(entry, at)).fold(0, u32::saturating_add);
            Want { weight: tenant.weight, least: demand.min(1), demand }
        });
        let shares = settle_tenants(carried, &wants.collect::<Vec<_>>(), &self.aims.shares);
        let mut parts = Vec::new();
        for (tenant, total) in shares.iter().enumerate() {
            let want = |entry: &&Entry| {
                let demand = demand(entry, tenant);
                Want { weight: 1, least: demand.min(1), demand }
            };
            let wants: Vec<Want> = entries.values().map(want).collect();
            let old: Vec<u32> = entries.values().map(|entry| entry.shares[tenant]).collect();
            parts.push(settle(*total, &wants, &old));
        }
        self.aims.shares = shares;
        for (at, process) in heard.iter().enumerate() {
            if let Some(entry) = self.entries.get_mut(process) {
                entry.shares = parts.iter().map(|parts| parts[at]).collect();
            }
        }
    }
}
