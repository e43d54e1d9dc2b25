//! Which processes may use their guaranteed minimums, where there are more processes than those are counted for.

use super::process_entry::ProcessEntry;
use super::QuotaLedger;
use crate::report::Slot;
use flaxhead_lease::{Name, Process};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl QuotaLedger {
    /// Sets the processes that run or may run, according to the membership.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = Process>) {
        self.members = members.into_iter().collect();
    }

    /// Whether a process gets a slot. One that has a slot keeps it; where more report that they have one than there are, as
    /// after a time without a leader, the first by name do. A process that is on the roster, or known to the membership, and
    /// has not reported may have one. Of two that listen at one address one has ended: both have one slot.
    pub(super) fn assigns_slot(&self, process: &Process) -> bool {
        let has_slot = |entry: &ProcessEntry| entry.reported_slot == Slot::Assigned || entry.has_slot;
        let others = self
            .entries
            .iter()
            .filter(|(other, entry)| other.address != process.address && has_slot(entry))
            .map(|(other, _)| other);
        if self.entries.get(process).is_some_and(has_slot) {
            let before: BTreeSet<SocketAddr> =
                others.filter(|other| *other < process).map(|other| other.address).collect();
            return before.len() < self.effective.slots();
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

    /// The processes without a slot, for the log and the status page.
    pub fn processes_without_slot(&self) -> Vec<&Name> {
        let is_without = |entry: &ProcessEntry| entry.last_report_at.is_some() && !entry.has_slot;
        let without = self.entries.iter().filter(|(_, entry)| is_without(entry));
        without.map(|(process, _)| &process.name).collect()
    }
}
