//! The part of the holder: what each process may go by, and what it is given next.

mod aims;
mod entry;
mod seats;
mod terms;

use crate::book::{Book, Tenant};
use crate::capacity::{carried, Host, Learned};
use crate::pace::Pace;
use crate::word::{Leave, Seat, Use, Word};
use aims::Aims;
use entry::Entry;
use flaxhead_lease::{Ballot, Micros, Process};
use std::collections::{BTreeMap, BTreeSet};
use terms::Agreed;

/// What a holder knows of the units that it may grant. It begins with its ballot and ends with its lease; nothing of it
/// outlives it, as the processes say themselves what they have. Times are by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    book: Book,
    pace: Pace,
    ballot: Ballot,
    began: Micros,
    /// Those that may have something and have not said under this ballot what; `None`: it is not known who that is.
    awaited: Option<BTreeSet<Process>>,
    entries: BTreeMap<Process, Entry>,
    /// Processes that run or may run, by the membership.
    members: BTreeSet<Process>,
    agreed: Agreed,
    learned: Learned,
    hosts: Option<u32>,
    aims: Aims,
}

impl Ledger {
    /// A holder begins. `roster`: all that may have been granted anything by another; `sure`: there is nobody else.
    pub fn begin<'a>(
        now: Micros,
        book: Book,
        pace: Pace,
        ballot: Ballot,
        sure: bool,
        roster: impl IntoIterator<Item = &'a Process>,
    ) -> Ledger {
        let roster: BTreeSet<Process> = roster.into_iter().cloned().collect();
        let entries = roster.iter().map(|process| (process.clone(), Entry::default())).collect();
        Ledger {
            agreed: Agreed::new(&book),
            aims: Aims::default(),
            members: BTreeSet::new(),
            awaited: sure.then_some(roster),
            learned: Learned::new(now),
            hosts: None,
            book,
            pace,
            ballot,
            began: now,
            entries,
        }
    }

    /// Its number.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Until when nothing is given but what processes state that they have; `None`: all is known.
    pub fn learns_until(&self, now: Micros) -> Option<Micros> {
        let until = self.began + self.pace.all_over();
        let all_said = self.awaited.as_ref().is_some_and(BTreeSet::is_empty);
        (now < until && !all_said).then_some(until)
    }

    /// A process's word came, which it said at `stamp` by its clock. One that was said before another that came is of no
    /// use, nor one that a later holder's leave has made.
    pub fn word(&mut self, now: Micros, process: &Process, stamp: Micros, word: Word) {
        let (digest, learned) = (self.book.digest, &mut self.learned);
        let entry = self.entries.entry(process.clone()).or_default();
        let newer = word.by.as_ref().is_some_and(|by| by.ballot > self.ballot);
        let before = entry.said.as_ref().is_some_and(|last| (stamp, &word.by) < (last.0, &last.1));
        if newer || before {
            return;
        }
        learned.heard(now, word.usage.attempts, word.usage.turned_away);
        let known = entry.goes_by(&self.book, digest, &word);
        let agreed = known && entry.deal_is_new(&word);
        entry.said = Some((stamp, word.by.clone()));
        entry.heard(now, &self.ballot, &self.pace, word, known);
        if entry.stated {
            if let Some(awaited) = &mut self.awaited {
                awaited.remove(process);
            }
        }
        if agreed {
            self.agreed.gather(&self.book, self.entries.values().filter_map(|entry| entry.deal.as_ref()));
        }
        self.aims.stale = true;
    }

    /// The process has ended: nothing of it is left.
    pub fn forgotten(&mut self, process: &Process) {
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(process);
        }
        if self.entries.remove(process).is_some_and(|entry| entry.deal.is_some()) {
            self.agreed.gather(&self.book, self.entries.values().filter_map(|entry| entry.deal.as_ref()));
        }
        self.aims.stale = true;
    }

    /// What is known of the hosts.
    pub fn hosts<'a>(&mut self, hosts: impl IntoIterator<Item = &'a Host>) {
        let carried = carried(&self.book, hosts, self.learned.part());
        if self.hosts != carried {
            (self.hosts, self.aims.stale) = (carried, true);
        }
    }

    /// What a process is told along with its leave. Once it was made, it may be gone by.
    pub fn leave(&mut self, now: Micros, process: &Process) -> Leave {
        self.entries.entry(process.clone()).or_default();
        self.divide(now);
        let seat = self.seat_for(process);
        let learns = self.learns_until(now).is_some();
        let room: Vec<u32> = (0..self.book.tenants.len()).map(|t| self.room(now, t, process)).collect();
        let pace_ms = (self.pace.between_words(self.entries.len()) / 1_000) as u32;
        let (book, agreed, pace) = (&self.book, &self.agreed, &self.pace);
        let Some(entry) = self.entries.get_mut(process) else { return Leave::default() };
        entry.seat = seat;
        let lowered = agreed.lowered(book, entry.deal.as_ref());
        let leave = Leave { seat, lowered, known: !learns, digest: book.digest, pace_ms, ..Leave::default() };
        if !entry.stated {
            return leave;
        }
        let units: Vec<u32> = match learns {
            true => entry.has(now),
            false => entry.aim.iter().zip(&room).map(|(aim, room)| *aim.min(room)).collect(),
        };
        let seq = entry.issue(now, pace, units);
        let shares = if learns { Vec::new() } else { entry.shares.clone() };
        let fair = self.hosts.filter(|_| !learns);
        let all = fair.map(|_| shares.iter().sum::<u32>().max(1));
        let grants = Some(entry.in_its_order(entry.issued()));
        Leave { seq, grants, all, shares: entry.in_its_order(&shares), ..leave }
    }

    /// Units of a tenant that one process may be granted beside all that others may go by.
    fn room(&self, now: Micros, tenant: usize, process: &Process) -> u32 {
        let others = self.entries.iter().filter(|(other, _)| *other != process);
        let counted = others.map(|(_, entry)| u64::from(self.counted(now, tenant, entry))).sum::<u64>();
        let pool = u64::from(self.agreed.pool(tenant).unwrap_or(0));
        pool.saturating_sub(counted) as u32
    }

    /// Units of a tenant that a process may go by or has in hand, beside its own part.
    fn counted(&self, now: Micros, tenant: usize, entry: &Entry) -> u32 {
        let own = if entry.said_seat == Seat::Has { self.agreed.own(tenant) } else { 0 };
        entry.counted(now, tenant, own, &self.pace)
    }
}

// What there is to show.
impl Ledger {
    pub(crate) fn tenants(&self) -> &[Tenant] {
        &self.book.tenants
    }

    pub(crate) fn carried(&self) -> Option<u32> {
        self.hosts
    }

    pub(crate) fn cap(&self, tenant: usize) -> Option<u32> {
        self.agreed.cap(tenant)
    }

    pub(crate) fn own(&self, tenant: usize) -> u32 {
        self.agreed.own(tenant)
    }

    pub(crate) fn share(&self, tenant: usize) -> Option<u32> {
        self.hosts.and_then(|_| self.aims.shares.get(tenant).copied())
    }

    /// Each process with its own part, its units beside that, and its last word.
    pub(crate) fn uses(&self, now: Micros, tenant: usize) -> impl Iterator<Item = (&Process, [u32; 2], Use)> {
        self.entries.iter().map(move |(process, entry)| {
            let usage = entry.usage.get(tenant).copied().unwrap_or_default();
            let own = if entry.seat { self.own(tenant) } else { 0 };
            (process, [own, self.counted(now, tenant, entry)], usage)
        })
    }

    pub(crate) fn not_heard(&self, now: Micros) -> Vec<String> {
        let silent = |entry: &Entry| entry.at.is_none_or(|at| now >= at + self.pace.lease);
        self.entries.iter().filter(|(_, entry)| silent(entry)).map(|(p, _)| p.name.to_string()).collect()
    }

    pub(crate) fn differ(&self) -> Vec<String> {
        let differ = self.entries.iter().filter(|(_, entry)| entry.deal.is_some());
        differ.map(|(process, _)| process.name.to_string()).collect()
    }
}
