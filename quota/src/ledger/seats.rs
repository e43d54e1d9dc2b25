//! Who may use its own parts, where there are more processes than they are counted for.

use super::entry::Entry;
use super::Ledger;
use crate::word::Seat;
use flaxhead_lease::{Name, Process};
use std::collections::BTreeSet;

impl Ledger {
    /// Processes that run or may run, by the membership.
    pub fn members(&mut self, members: impl IntoIterator<Item = Process>) {
        self.members = members.into_iter().collect();
    }

    /// Whether a process has one of the seats. Who has one keeps it; where more say that they have one than there are, as
    /// after a time in which nobody held, the first by name do. One that is on the roster, or known to the membership,
    /// and has not said may have one. Of two that listen at one address, one has ended: both have one seat.
    pub(super) fn seat_for(&self, process: &Process) -> bool {
        let most = self.agreed.proxies_least() as usize;
        let has = |entry: &Entry| entry.said_seat == Seat::Has || entry.seat;
        let others =
            self.entries.iter().filter(|(other, entry)| other.address != process.address && has(entry));
        if self.entries.get(process).is_some_and(has) {
            let before = others.filter(|(other, _)| *other < process).map(|(other, _)| other.address);
            return before.collect::<BTreeSet<_>>().len() < most;
        }
        let unsaid = |other: &&Process| self.entries.get(*other).is_none_or(|entry| entry.at.is_none());
        let unsaid = self.members.iter().chain(self.awaited.iter().flatten()).filter(unsaid);
        let others = unsaid.chain(others.map(|(other, _)| other)).map(|other| other.address);
        others.filter(|at| *at != process.address).collect::<BTreeSet<_>>().len() < most
    }

    /// Processes without a seat, for the log and the status.
    pub fn without_seat(&self) -> Vec<&Name> {
        let denied = self.entries.iter().filter(|(_, entry)| entry.at.is_some() && !entry.seat);
        denied.map(|(process, _)| &process.name).collect()
    }
}
