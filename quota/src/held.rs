//! The part of every process: what it was granted, and what it may have in hand by that.

use crate::allowance::{Allowance, Units};
use crate::book::Book;
use crate::pace::Pace;
use crate::word::{Deal, Leave, Seat, Stamp, Usage, Word};
use flaxhead_lease::{Ballot, Micros};
use std::collections::BTreeMap;

/// What counts until a moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    units: Vec<u32>,
    all: Option<u32>,
    shares: Vec<u32>,
    until: Micros,
}

/// One process's grants. Times are by its own clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    book: Book,
    pace: Pace,
    started: Micros,
    seat: Seat,
    /// The newest that it has heard of: it takes nothing older.
    fence: Option<Stamp>,
    grant: Option<Grant>,
    /// Own parts that are less by another's settings.
    lowered: BTreeMap<usize, u32>,
    /// The holder's book, as far as it is known.
    digest: Option<u64>,
    /// When the last word was said, and how soon the next is wanted.
    said: Micros,
    soon: Micros,
    /// The last word had all that it wanted.
    content: bool,
}

impl Held {
    /// A process that starts, and remembers nothing.
    pub fn new(now: Micros, book: Book, pace: Pace) -> Held {
        Held {
            soon: pace.lease / 4,
            book,
            pace,
            started: now,
            seat: Seat::Waits,
            fence: None,
            grant: None,
            lowered: BTreeMap::new(),
            digest: None,
            said: now,
            content: true,
        }
    }

    /// Whether it may use its own parts.
    pub fn seat(&self) -> Seat {
        self.seat
    }

    /// The newest that it has heard of.
    pub fn fence(&self) -> Option<&Stamp> {
        self.fence.as_ref()
    }

    /// The book that it goes by.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// What it says with the next renewal. `now` is what the renewal is stamped with.
    pub fn word(&mut self, now: Micros, usage: Usage) -> Word {
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let known = self.digest == Some(self.book.digest);
        let deal = Deal { tenants: self.book.tenants.clone(), proxies_most: self.book.proxies_most };
        self.said = now;
        self.content = usage.tenants.iter().all(|tenant| tenant.waiting == 0 && tenant.refused == 0);
        Word {
            by: self.fence.clone(),
            held: grant.map_or_else(Vec::new, |grant| grant.units.clone()),
            left: grant.map_or(0, |grant| grant.until - now),
            seat: self.seat,
            usage,
            digest: self.book.digest,
            deal: (!known).then_some(deal),
        }
    }

    /// A greater ballot was heard of: what comes under a lower one is not taken any more. What is held lasts to its end.
    pub fn fence_rose(&mut self, ballot: &Ballot) {
        if self.fence.as_ref().is_none_or(|fence| fence.ballot < *ballot) {
            self.fence = Some(Stamp { ballot: ballot.clone(), seq: 0 });
        }
    }

    /// Leave was granted, by an asking after which it lasts `until`. Whether it was taken.
    pub fn leave(&mut self, ballot: &Ballot, until: Micros, leave: Leave) -> bool {
        let stamp = Stamp { ballot: ballot.clone(), seq: leave.seq };
        if self.fence.as_ref().is_some_and(|fence| stamp < *fence) {
            return false;
        }
        let again = self.fence.as_ref() == Some(&stamp);
        self.fence = Some(stamp);
        self.seat = if leave.seat { Seat::Has } else { Seat::Denied };
        self.digest = Some(leave.digest);
        self.soon = Micros::from(leave.pace_ms) * 1_000;
        if leave.known {
            self.lowered.clear();
        }
        for (tenant, own) in leave.lowered {
            let least = self.lowered.entry(usize::from(tenant)).or_insert(own);
            *least = own.min(*least);
        }
        let Some(mut units) = leave.grants else { return true };
        units.resize(self.book.tenants.len(), 0);
        let old = self.grant.take();
        let until = until.max(old.as_ref().filter(|_| again).map_or(0, |old| old.until));
        // A holder that does not know yet what all have says nothing of fair parts: the last ones are gone by.
        let (all, shares) = match old.filter(|_| !leave.known) {
            Some(old) => (old.all, old.shares),
            None => (leave.all, leave.shares),
        };
        self.grant = Some(Grant { units, all, shares, until });
        true
    }

    /// Nobody can say that there are too many processes: every voter has forgotten.
    pub fn nobody_holds(&mut self) {
        if self.seat == Seat::Waits {
            self.seat = Seat::Has;
        }
    }

    /// What may be in hand from now on.
    pub fn allowance(&mut self, now: Micros) -> Allowance {
        if self.seat == Seat::Waits && now >= self.alone_at() {
            self.seat = Seat::Has;
        }
        let grant = self.grant.as_ref().filter(|grant| now < grant.until);
        let settled = grant.and_then(|grant| grant.all);
        let tenants = self.book.tenants.iter().enumerate();
        let tenants = tenants.map(|(at, tenant)| {
            let lowered = self.lowered.get(&at).copied();
            let capped = tenant.cap.is_some() || lowered.is_some();
            let own = if tenant.cap.is_some() { tenant.own } else { u32::MAX };
            let own = if self.seat == Seat::Has { own.min(lowered.unwrap_or(own)) } else { 0 };
            let of = |units: &[u32]| units.get(at).copied().unwrap_or(0);
            let granted = grant.map_or(0, |grant| of(&grant.units));
            Units {
                cap: capped.then_some(own.saturating_add(granted)),
                own: capped.then_some(own),
                share: grant.filter(|_| settled.is_some()).map_or(0, |grant| of(&grant.shares)),
            }
        });
        Allowance { tenants: tenants.collect(), all: settled, until: grant.map(|grant| grant.until) }
    }

    /// When [`Held::allowance`] says something else, if nothing is heard until then.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let grant = self.grant.as_ref().map(|grant| grant.until).filter(|until| now < *until);
        let seat = (self.seat == Seat::Waits).then(|| self.alone_at());
        grant.into_iter().chain(seat).min()
    }

    /// From when on a word is wanted before leave must be renewed: at the pace that the holder named, and sooner, but for
    /// half of that, where something has begun to wait since the last word.
    pub fn word_wanted(&self, usage: &Usage) -> Micros {
        let waits = usage.tenants.iter().any(|tenant| tenant.waiting > 0 || tenant.refused > 0);
        let soon = if waits && self.content { self.soon / 2 } else { self.soon };
        self.said.saturating_add(soon)
    }

    fn alone_at(&self) -> Micros {
        self.started.saturating_add(self.pace.alone_after)
    }
}
