//! What the holder knows of one process.

use crate::book::Book;
use crate::pace::Pace;
use crate::word::{Deal, Seat, Stamp, Use, Word};
use flaxhead_lease::{Ballot, Micros};
use std::collections::VecDeque;

/// Leaves that were told and not confirmed; until one of them is, the last is told again.
const ISSUES_MOST: usize = 8;
/// Tenants that another's settings may have.
const TENANTS_MOST: usize = 256;

/// Units that were granted, and may be gone by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Issue {
    seq: u64,
    units: Vec<u32>,
    /// They are over then, by the holder's clock, whatever the process's says.
    until: Micros,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    /// When its last word was said, by its own clock, and what it went by.
    pub said: Option<(Micros, Option<Stamp>)>,
    /// When that came.
    pub at: Option<Micros>,
    /// It has said what it has, as one that takes nothing of an earlier holder any more.
    pub stated: bool,
    /// It goes by this leave of ours, or a later one.
    confirmed: u64,
    /// What it said that it was granted, and until when that counts at the longest.
    held: Vec<u32>,
    held_until: Micros,
    in_hand: Vec<u32>,
    issues: VecDeque<Issue>,
    /// What it said of its seat, and what it was told.
    pub said_seat: Seat,
    pub seat: bool,
    /// By tenant: units that were wanted by its last word, and by the one before where that came just before it; and the
    /// last word itself.
    wanted: [Vec<u32>; 2],
    pub usage: Vec<Use>,
    /// What it is to be granted beside its own parts, and its fair shares.
    pub aim: Vec<u32>,
    pub shares: Vec<u32>,
    /// Its settings, where they are others; then which of its tenants is which of the holder's.
    pub deal: Option<Deal>,
    order: Option<Vec<Option<usize>>>,
    tenants: usize,
}

impl Entry {
    /// Learns which settings it goes by. Whether they are known.
    pub fn goes_by(&mut self, book: &Book, digest: u64, word: &Word) -> bool {
        self.tenants = book.tenants.len();
        if word.digest == digest {
            self.order = None;
            return true;
        }
        let Some(deal) = word.deal.as_ref().filter(|deal| deal.tenants.len() <= TENANTS_MOST) else {
            return self.deal.is_some();
        };
        let place = |name: &str| book.tenants.iter().position(|tenant| tenant.name == name);
        self.order = Some(deal.tenants.iter().map(|tenant| place(&tenant.name)).collect());
        true
    }

    /// Keeps its settings. Whether they were not known before.
    pub fn deal_is_new(&mut self, word: &Word) -> bool {
        let deal = match self.order {
            None => None,
            Some(_) => word.deal.clone().or_else(|| self.deal.clone()),
        };
        let new = self.deal != deal;
        self.deal = deal;
        new
    }

    fn in_our_order<T: Copy + Default>(&self, theirs: &[T]) -> Vec<T> {
        let mut ours = vec![T::default(); self.tenants];
        for (at, value) in theirs.iter().enumerate() {
            let place = self.order.as_ref().map_or(Some(at), |order| order.get(at).copied().flatten());
            if let Some(own) = place.and_then(|place| ours.get_mut(place)) {
                *own = *value;
            }
        }
        ours
    }

    pub fn in_its_order(&self, ours: &[u32]) -> Vec<u32> {
        let Some(order) = &self.order else { return ours.to_vec() };
        let of = |place: &Option<usize>| place.and_then(|place| ours.get(place)).copied().unwrap_or(0);
        order.iter().map(of).collect()
    }

    /// Takes a word. `known`: its tenants can be told apart.
    pub fn heard(&mut self, now: Micros, ballot: &Ballot, pace: &Pace, word: Word, known: bool) {
        let together = self.at.is_some_and(|at| now < at + pace.together());
        self.at = Some(now);
        self.said_seat = word.seat;
        self.usage = self.in_our_order(&word.usage.tenants);
        self.in_hand = self.usage.iter().map(|usage| usage.in_hand).collect();
        let said: Vec<u32> = self.usage.iter().map(wanted).collect();
        let last = if together { std::mem::take(&mut self.wanted[1]) } else { Vec::new() };
        self.wanted = [last, said];
        let Some(by) = word.by.filter(|by| by.ballot == *ballot && known) else { return };
        self.stated = true;
        // Whoever goes by one takes none before it.
        self.confirmed = self.confirmed.max(by.seq);
        self.issues.retain(|issue| issue.seq >= self.confirmed);
        self.held = self.in_our_order(&word.held);
        self.held_until = now + Pace::longest(word.left.min(pace.lease));
    }

    /// Units of a tenant that it wants. Each word tells the most since the one before, so that a lull between two looks
    /// moves nothing.
    pub fn demand(&self, tenant: usize) -> u32 {
        self.wanted.iter().filter_map(|wanted| wanted.get(tenant)).copied().max().unwrap_or(0)
    }

    /// Units that it may go by now: those that it said, or was granted since.
    pub fn has(&self, now: Micros) -> Vec<u32> {
        let held = if now < self.held_until { self.held.clone() } else { vec![0; self.tenants] };
        self.issues.back().map_or(held, |issue| issue.units.clone())
    }

    /// The most units of a tenant that it may go by or has in hand, beside its own part of so many.
    pub fn counted(&self, now: Micros, tenant: usize, own: u32, pace: &Pace) -> u32 {
        let calls = Pace::longest(pace.longest_call);
        let of = |units: &[u32]| units.get(tenant).copied().unwrap_or(0);
        // A call that was begun just before the end of what it was begun under runs on.
        let issued = self.issues.iter().filter(|issue| now < issue.until + calls);
        let issued = issued.map(|issue| of(&issue.units)).max().unwrap_or(0);
        let held = if now < self.held_until + calls { of(&self.held) } else { 0 };
        let lately = self.at.is_some_and(|at| now < at + calls);
        let in_hand = if lately { of(&self.in_hand).saturating_sub(own) } else { 0 };
        issued.max(held).max(in_hand)
    }

    /// Grants so many units; the count of that leave.
    pub fn issue(&mut self, now: Micros, pace: &Pace, units: Vec<u32>) -> u64 {
        let until = now + Pace::longest(pace.lease);
        let full = self.issues.len() >= ISSUES_MOST;
        if let Some(last) = self.issues.back_mut().filter(|last| full || last.units == units) {
            last.until = until;
            return last.seq;
        }
        let last = self.issues.back().map_or(0, |last| last.seq);
        let seq = last.max(self.confirmed) + 1;
        self.issues.push_back(Issue { seq, units, until });
        seq
    }

    /// What it was granted last.
    pub fn issued(&self) -> &[u32] {
        self.issues.back().map_or(&[], |issue| &issue.units)
    }
}

/// Units that a word says are wanted: what there was at the most, and what was refused, which is counted by what there
/// was, so that one word makes at most the double, and one more.
fn wanted(usage: &Use) -> u32 {
    let there = usage.most.max(usage.in_hand.saturating_add(usage.waiting));
    there.saturating_add(usage.refused.min(there.saturating_add(1)))
}
