//! The leader's record of the permits that each process may use, from which it computes grants.

mod effective_config;
mod process_entry;
mod slots;
mod targets;

use crate::capacity::{fleet_capacity, HostCapacity, LearnedCapacity};
use crate::registry::{Tenant, TenantRegistry};
use crate::report::{QuotaGrant, QuotaReport, Slot, TenantUsage};
use crate::timing::QuotaTiming;
use effective_config::EffectiveConfig;
use flaxhead_lease::{Ballot, Micros, Process};
use process_entry::{ProcessEntry, ReportVersion};
use std::collections::{BTreeMap, BTreeSet};
use targets::Targets;

const MICROS_PER_MILLI: Micros = 1_000;

/// Permits that a leader has granted to each process, and those that it can still grant. A ledger exists only
/// while its process is the leader: the next leader builds a new one from the reports of all processes. All
/// times are by the leader's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLedger {
    registry: TenantRegistry,
    timing: QuotaTiming,
    ballot: Ballot,
    started_at: Micros,
    /// Processes that may hold permits of an earlier leader, and have not yet reported them to this leader;
    /// `None`: no list of these processes is known.
    awaited: Option<BTreeSet<Process>>,
    entries: BTreeMap<Process, ProcessEntry>,
    /// Processes that run or may run by the membership, whether or not they have reported.
    members: BTreeSet<Process>,
    effective: EffectiveConfig,
    learned: LearnedCapacity,
    /// Number of calls that all hosts can have in flight; `None`: `calls_per_host` is not configured, or no
    /// host is known.
    capacity: Option<u32>,
    targets: Targets,
}

/// Permits and calls of one tenant at one process, for the status view.
pub(crate) struct ProcessUsage<'a> {
    pub process: &'a Process,
    /// Guaranteed minimum in permits; 0 without a slot.
    pub guaranteed: u32,
    /// Number of permits beyond the guaranteed minimum that the process may use, or has in use if that is
    /// more.
    pub granted: u32,
    /// Calls of the tenant by the process's last report.
    pub usage: TenantUsage,
}

impl QuotaLedger {
    /// Creates the ledger of a process that becomes the leader. `roster` lists the processes that may hold
    /// grants of an earlier leader; `is_roster_complete` tells that no process outside this list does.
    pub fn new<'a>(
        now: Micros,
        registry: TenantRegistry,
        timing: QuotaTiming,
        ballot: Ballot,
        is_roster_complete: bool,
        roster: impl IntoIterator<Item = &'a Process>,
    ) -> QuotaLedger {
        let roster: BTreeSet<Process> = roster.into_iter().cloned().collect();
        QuotaLedger {
            effective: EffectiveConfig::new(&registry),
            targets: Targets::default(),
            members: BTreeSet::new(),
            entries: roster.iter().map(|process| (process.clone(), ProcessEntry::default())).collect(),
            awaited: is_roster_complete.then_some(roster),
            learned: LearnedCapacity::new(now),
            capacity: None,
            registry,
            timing,
            ballot,
            started_at: now,
        }
    }

    /// Returns the ballot under which this ledger issues grants.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Returns the time until which the leader only renews the permits that processes report, because permits
    /// of other processes are still unknown; `None`: all permits are known, or all grants of earlier leaders
    /// have expired.
    pub fn learning_until(&self, now: Micros) -> Option<Micros> {
        let until = self.started_at + self.timing.max_grant_lifetime();
        let have_all_reported = self.awaited.as_ref().is_some_and(BTreeSet::is_empty);
        (now < until && !have_all_reported).then_some(until)
    }

    /// Records a report that the process sent at `sent_at` by its own clock. Ignores a report sent before the
    /// last recorded one, and one of a process that already has a grant of a later leader.
    pub fn record_report(&mut self, now: Micros, process: &Process, sent_at: Micros, report: QuotaReport) {
        let entry = self.entries.entry(process.clone()).or_default();
        let grant_version = report.grant_version.clone();
        let is_of_later_leader = grant_version.as_ref().is_some_and(|version| version.ballot > self.ballot);
        let version = ReportVersion { sent_at, grant_version };
        let is_outdated = entry.last_report.as_ref().is_some_and(|last| version < *last);
        if is_of_later_leader || is_outdated {
            return;
        }
        self.learned.record(now, report.usage.attempts, report.usage.rejected_by_hosts);
        let is_config_known = entry.identify_config(&self.registry, &report);
        let has_config_changed = is_config_known && entry.store_config(&report);
        entry.last_report = Some(version);
        entry.record(now, &self.ballot, &self.timing, report, is_config_known);
        if entry.has_reported_permits {
            if let Some(awaited) = &mut self.awaited {
                awaited.remove(process);
            }
        }
        if has_config_changed {
            self.update_effective_config();
        }
        self.targets.is_stale = true;
    }

    /// Removes a process that has ended, so that its permits can be granted to other processes.
    pub fn remove_process(&mut self, process: &Process) {
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(process);
        }
        if self.entries.remove(process).is_some_and(|entry| entry.config.is_some()) {
            self.update_effective_config();
        }
        self.targets.is_stale = true;
    }

    fn update_effective_config(&mut self) {
        let others = self.entries.values().filter_map(|entry| entry.config.as_ref());
        self.effective = EffectiveConfig::combine(&self.registry, others);
    }

    /// Updates the capacity of all hosts together, which is divided into the fair shares of tenants.
    pub fn set_hosts<'a>(&mut self, hosts: impl IntoIterator<Item = &'a HostCapacity>) {
        let capacity = fleet_capacity(&self.registry, hosts, self.learned.ratio_per_mille());
        if self.capacity != capacity {
            self.capacity = capacity;
            self.targets.is_stale = true;
        }
    }

    /// Issues the grant that is sent to a process with the renewal of its lease. From now on the permits of
    /// this grant count as in use.
    pub fn grant(&mut self, now: Micros, process: &Process) -> QuotaGrant {
        self.entries.entry(process.clone()).or_default();
        self.allocate(now);
        let has_slot = self.assigns_slot(process);
        let is_learning = self.learning_until(now).is_some();
        let tenants = 0..self.registry.tenants.len();
        let available: Vec<u32> = tenants.map(|tenant| self.available(now, tenant, process)).collect();
        let report_interval = self.timing.report_interval(self.entries.len()) / MICROS_PER_MILLI;
        let Some(entry) = self.entries.get_mut(process) else { return QuotaGrant::default() };
        entry.has_slot = has_slot;
        let grant = QuotaGrant {
            has_slot,
            lowered: self.effective.lowered(&self.registry, entry.config.as_ref()),
            is_complete: !is_learning,
            digest: self.registry.digest,
            report_interval_ms: u32::try_from(report_interval).unwrap_or(u32::MAX),
            ..QuotaGrant::default()
        };
        if !entry.has_reported_permits {
            return grant;
        }
        let permits = if is_learning {
            entry.current_permits(now)
        } else {
            entry.target.iter().zip(&available).map(|(target, available)| *target.min(available)).collect()
        };
        let seq = entry.issue(now, &self.timing, permits);
        let fair_shares = if is_learning { Vec::new() } else { entry.fair_shares.clone() };
        let capacity = self.capacity.filter(|_| !is_learning);
        QuotaGrant {
            seq,
            permits: Some(entry.in_process_order(entry.issued())),
            total: capacity.map(|_| fair_shares.iter().sum::<u32>().max(1)),
            fair_shares: entry.in_process_order(&fair_shares),
            ..grant
        }
    }

    /// Returns how many permits of a tenant can be granted to `process` if each of the other processes uses
    /// every permit that it may use. Guaranteed minimums are not counted.
    fn available(&self, now: Micros, tenant: usize, process: &Process) -> u32 {
        let others = self.entries.iter().filter(|(other, _)| *other != process);
        let used = others.map(|(_, entry)| u64::from(self.max_permits(now, tenant, entry))).sum::<u64>();
        let pool = u64::from(self.effective.pool(tenant).unwrap_or(0));
        u32::try_from(pool.saturating_sub(used)).unwrap_or(u32::MAX)
    }

    /// Returns how many permits of a tenant a process may use beyond its guaranteed minimum, or has in use
    /// beyond it if that is more.
    fn max_permits(&self, now: Micros, tenant: usize, entry: &ProcessEntry) -> u32 {
        let has_minimum = entry.reported_slot == Slot::Assigned;
        let guaranteed = if has_minimum { self.effective.guaranteed(tenant) } else { 0 };
        entry.max_permits(now, tenant, guaranteed, &self.timing)
    }
}

// Accessors for the status that `view.rs` shows to operators.
impl QuotaLedger {
    pub(crate) fn tenants(&self) -> &[Tenant] {
        &self.registry.tenants
    }

    pub(crate) fn capacity(&self) -> Option<u32> {
        self.capacity
    }

    pub(crate) fn cap(&self, tenant: usize) -> Option<u32> {
        self.effective.cap(tenant)
    }

    pub(crate) fn fair_share(&self, tenant: usize) -> Option<u32> {
        self.capacity.and_then(|_| self.targets.fair_shares.get(tenant).copied())
    }

    /// Returns the permits and calls of a tenant at each process that the leader knows.
    pub(crate) fn usages(&self, now: Micros, tenant: usize) -> impl Iterator<Item = ProcessUsage<'_>> {
        self.entries.iter().map(move |(process, entry)| ProcessUsage {
            process,
            guaranteed: if entry.has_slot { self.effective.guaranteed(tenant) } else { 0 },
            granted: self.max_permits(now, tenant, entry),
            usage: entry.usage.get(tenant).copied().unwrap_or_default(),
        })
    }

    /// Returns the names of the processes that have not reported for the duration of a lease.
    pub(crate) fn silent(&self, now: Micros) -> Vec<String> {
        let is_silent =
            |entry: &ProcessEntry| entry.last_report_at.is_none_or(|at| now >= at + self.timing.lease);
        let silent = self.entries.iter().filter(|(_, entry)| is_silent(entry));
        silent.map(|(process, _)| process.name.to_string()).collect()
    }

    /// Returns the names of the processes whose configuration differs from the leader's.
    pub(crate) fn with_other_config(&self) -> Vec<String> {
        let others = self.entries.iter().filter(|(_, entry)| entry.config.is_some());
        others.map(|(process, _)| process.name.to_string()).collect()
    }
}
