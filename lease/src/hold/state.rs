//! The lease and the records of a holder.

use super::heard::Heard;
use crate::ballot::{Ballot, Told, Version};
use crate::config::Config;
use crate::known::Known;
use crate::message::Promise;
use crate::roster::{Process, Roster};
use crate::terms::{Slate, Terms};
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// The count of the roster that a holder begins with: all that took part before.
pub(super) const FROM_BEFORE: u64 = 1;

/// A try to become the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Bid<T: Terms> {
    pub ballot: Ballot,
    /// When it was begun: the lease counts from here.
    pub sent: Micros,
    pub promises: BTreeMap<Name, Promise<T>>,
    /// The voters that have granted the lease.
    pub granted: BTreeSet<Name>,
    pub proposed: bool,
}

/// An operator's order that waits to be on record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending<T: Terms> {
    from: Name,
    id: u64,
    seq: u64,
    answer: T::Answer,
}

/// What a voter keeps, by its last word.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept {
    at: Micros,
    roster: u64,
}

/// The holder's lease and records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Hold<T: Terms> {
    pub(crate) ballot: Ballot,
    /// Until when it holds the lease, by its own clock.
    until: Micros,
    /// The try to renew it, when that was begun, and who has granted it.
    pub(crate) round: u64,
    pub(crate) round_sent: Micros,
    granted: BTreeSet<Name>,
    /// Processes of voters that have promised.
    pub(crate) lives: BTreeMap<Name, u64>,
    kept: BTreeMap<Name, Kept>,
    pub(crate) told: Told<T::Slate>,
    told_at: Micros,
    pub(crate) roster: Roster,
    pub(super) heard: BTreeMap<Process, Heard<T>>,
    /// Since when it is not known for sure who takes part, and what is settled.
    pub(crate) cold: Option<Micros>,
    /// Whose slate it has heard of all that is settled: one that has been let in all along.
    survivor: bool,
    pending: Vec<Pending<T>>,
    pub(super) noted: Vec<T::Note>,
    /// Those that left the roster, which the application has not heard of yet.
    pub(super) parted: Vec<Process>,
}

impl<T: Terms> Hold<T> {
    /// A bid that a majority has granted.
    pub(crate) fn new(
        now: Micros,
        config: &Config,
        voters: &Voters,
        bid: Bid<T>,
        (own, admitted): (&Told<T::Slate>, bool),
        me: Process,
    ) -> Hold<T> {
        let Bid { ballot, sent, promises, granted, .. } = bid;
        let sure = voters.majority(|name| promises.get(name).is_some_and(|p| p.known == Known::Sure));
        let all = || promises.values().map(|p| &p.told).chain([own]);
        let mut told = all().max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default();
        if !sure {
            // What any of them has heard of stays as it is.
            for other in all() {
                told.slate.absorb(&other.slate);
            }
        }
        told.version = Version { fence: Some(ballot.clone()), seq: 1 };
        // What a majority has of the last holder's roster is all of it; older ones are of no use.
        let newest = promises.values().map(|p| &p.roster).max_by(|a, b| a.version.cmp(&b.version));
        let mut roster = newest.cloned().unwrap_or_default();
        roster.version = Version { fence: Some(ballot.clone()), seq: FROM_BEFORE };
        let lives = promises.iter().map(|(name, p)| (name.clone(), p.life)).collect();
        let mut hold = Hold {
            until: sent + config.lease,
            round: 1,
            round_sent: sent,
            granted,
            lives,
            kept: BTreeMap::new(),
            told,
            told_at: now,
            heard: BTreeMap::new(),
            cold: (!sure).then_some(now),
            survivor: admitted,
            pending: Vec::new(),
            noted: Vec::new(),
            parted: Vec::new(),
            ballot,
            roster,
        };
        hold.roster.processes.insert(me);
        let processes: Vec<Process> = hold.roster.processes.iter().cloned().collect();
        for process in processes {
            hold.expect(now, config, process, FROM_BEFORE);
        }
        hold
    }

    /// A process is on the roster. What it was granted by another may last as long as any leave.
    pub(super) fn expect(&mut self, now: Micros, config: &Config, process: Process, kept_with: u64) {
        let (version, at, word) = Default::default();
        let permitted = now + Config::longest(config.lease);
        self.heard.insert(process, Heard { version, at, known: now, told: now, permitted, word, kept_with });
    }

    /// Its number.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// The slate that it has settled last.
    pub fn told(&self) -> &Told<T::Slate> {
        &self.told
    }

    /// All processes that may have leave, and what is known of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &Heard<T>)> {
        self.heard.iter()
    }

    pub(crate) fn holds(&self, now: Micros) -> bool {
        now < self.until
    }

    /// Begins another round of renewal.
    pub(crate) fn next_round(&mut self, now: Micros) {
        self.round += 1;
        (self.round_sent, self.granted) = (now, BTreeSet::new());
    }

    /// A voter has granted more of the lease.
    pub(crate) fn accepted(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        from: &Name,
        round: u64,
        (life, roster): (u64, &Version),
    ) {
        if self.lives.get(from) != Some(&life) {
            return;
        }
        let roster = if roster.fence.as_ref() == Some(&self.ballot) { roster.seq } else { 0 };
        self.kept.insert(from.clone(), Kept { at: now, roster });
        if round == self.round {
            self.granted.insert(from.clone());
            if voters.majority(|name| self.granted.contains(name)) {
                self.until = self.until.max(self.round_sent + config.lease);
            }
        }
    }

    /// A voter that was not among those of the bid has promised as well.
    pub(crate) fn joined(&mut self, from: &Name, promise: Promise<T>) {
        self.lives.insert(from.clone(), promise.life);
    }

    /// Whether a voter has lately granted anything.
    pub(crate) fn granted_lately(&self, now: Micros, config: &Config, voter: &Name) -> bool {
        self.kept.get(voter).is_some_and(|kept| now.saturating_sub(kept.at) <= 2 * config.renew_every())
    }

    /// Whether a majority of voters keeps the roster of this count. Only fresh words count: one that was killed and
    /// forgot must not be among them, and such a one is silent for longer than a lease.
    pub(super) fn keeps(&self, now: Micros, config: &Config, voters: &Voters, seq: u64) -> bool {
        let fresh = |k: &Kept| now.saturating_sub(k.at) <= config.lease && k.roster >= seq;
        voters.majority(|name| self.kept.get(name).is_some_and(fresh))
    }

    /// Whether a majority of voters has heard the slate of this count.
    pub(super) fn on_record(&self, now: Micros, config: &Config, voters: &Voters, seq: u64) -> bool {
        let fresh = |h: &Heard<T>| h.lately(now, config) && h.goes_by(&self.ballot, seq);
        voters.majority(|name| self.heard.iter().any(|(p, h)| p.name == *name && fresh(h)))
    }

    /// Whether it knows what is settled.
    pub(crate) fn remembers(&self) -> bool {
        self.cold.is_none() || self.survivor
    }

    /// Another's slate, where it is not known for sure what is settled.
    pub(crate) fn shown(&mut self, other: &T::Slate, admitted: bool) {
        self.survivor |= admitted;
        if self.told.slate.absorb(other) {
            self.change();
        }
    }

    /// The slate is another, and is told to all.
    pub(super) fn change(&mut self) {
        self.told.version.seq += 1;
    }

    /// The slate's times as they are now.
    pub(crate) fn age(&mut self, now: Micros) {
        self.told.slate.age(now.saturating_sub(self.told_at));
        self.told_at = now;
    }

    /// An order was taken: its answer waits until the slate as it is now is on record.
    pub(crate) fn wait(&mut self, from: Name, id: u64, answer: T::Answer) {
        self.pending.push(Pending { from, id, seq: self.told.version.seq, answer });
    }

    /// Orders that are on record by now.
    pub(crate) fn answers(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
    ) -> Vec<(Name, u64, T::Answer)> {
        let waiting = std::mem::take(&mut self.pending);
        let (ready, waiting): (Vec<Pending<T>>, Vec<Pending<T>>) =
            waiting.into_iter().partition(|p| self.on_record(now, config, voters, p.seq));
        self.pending = waiting;
        ready.into_iter().map(|p| (p.from, p.id, p.answer)).collect()
    }

    /// Steps for the trail since this was last asked.
    pub(crate) fn noted(&mut self) -> Vec<T::Note> {
        std::mem::take(&mut self.noted)
    }

    /// Those that have left the roster since this was last asked.
    pub(crate) fn parted(&mut self) -> Vec<Process> {
        std::mem::take(&mut self.parted)
    }
}
