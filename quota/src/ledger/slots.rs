//! Assignment of slots: with more processes than `max_proxies`, only some may use their guaranteed minimums.

use super::process_entry::ProcessEntry;
use super::QuotaLedger;
use crate::report::Slot;
use flaxhead_lease::{Name, Process};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl QuotaLedger {
    /// Sets the processes that run or may run by the membership.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Process>) {
        self.members = members.into_iter().collect();
    }

    /// Returns whether `process` gets a slot. A process that has a slot keeps it. If more processes report a
    /// slot than there are slots, as can happen after a time without a leader, the first of these processes
    /// by name keep their slots. A process that has not reported counts as having a slot if it may hold a
    /// grant of an earlier leader, or runs by the membership. Processes with the same address count as one,
    /// because at most one of them still runs.
    pub(super) fn assigns_slot(&self, process: &Process) -> bool {
        let has_slot = |entry: &ProcessEntry| entry.reported_slot == Slot::Assigned || entry.has_slot;
        let others = self
            .entries
            .iter()
            .filter(|(other, entry)| other.address != process.address && has_slot(entry))
            .map(|(other, _)| other);
        if self.entries.get(process).is_some_and(has_slot) {
            let preceding: BTreeSet<SocketAddr> =
                others.filter(|other| *other < process).map(|other| other.address).collect();
            return preceding.len() < self.effective.slots();
        }
        let unreported = self.members.iter().chain(self.awaited.iter().flatten());
        let unreported = unreported.filter(|other| !self.has_reported(other));
        let taken: BTreeSet<SocketAddr> = unreported
            .chain(others)
            .map(|other| other.address)
            .filter(|address| *address != process.address)
            .collect();
        taken.len() < self.effective.slots()
    }

    fn has_reported(&self, process: &Process) -> bool {
        self.entries.get(process).is_some_and(|entry| entry.last_report_at.is_some())
    }

    /// Returns the names of the processes that may not use their guaranteed minimums.
    pub fn processes_without_slot(&self) -> Vec<&Name> {
        let is_without = |entry: &ProcessEntry| entry.last_report_at.is_some() && !entry.has_slot;
        let without = self.entries.iter().filter(|(_, entry)| is_without(entry));
        without.map(|(process, _)| &process.name).collect()
    }
}
