//! A tenant at the gate: what it has in hand, and its calls that wait, in order.

use super::pace::Pace;
use crate::{Micros, Use};
use serde::Serialize;
use std::collections::BTreeMap;

/// A tenant at the gate, as operators are shown it and the scheduler is told it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// Units in hand.
    pub in_hand: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls let in since the start.
    pub entered: u64,
    /// Calls turned away since the start.
    pub refused: u64,
    /// Second copies that were denied a unit, since the start.
    pub denied: u64,
}

/// A tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    /// Its own of the units for all.
    pub share: u32,
    pub in_hand: u32,
    pub pace: Pace,
    /// Until when each waits, by its number: the first that came is the first.
    waiting: BTreeMap<u64, Micros>,
    pub entered: u64,
    pub refused: u64,
    pub denied: u64,
    /// In hand and waiting together, at the most, and how many were refused, since the scheduler was told.
    most: u32,
    refused_lately: u32,
}

impl Line {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether it has less in hand than is its own of the units for all. One call is always its own: a tenant of
    /// which nothing is known yet must not wait for all the others.
    pub fn is_below_share(&self) -> bool {
        self.in_hand < self.share.max(1)
    }

    pub fn weight(&self) -> f64 {
        f64::from(self.share.max(1))
    }

    pub fn join(&mut self, number: u64, until: Micros) {
        self.waiting.insert(number, until);
        self.most = self.most.max(self.all());
    }

    /// One unit more is in hand.
    pub fn hold(&mut self) {
        self.in_hand += 1;
        self.most = self.most.max(self.all());
    }

    pub fn refuse(&mut self) {
        self.refused += 1;
        self.refused_lately += 1;
    }

    fn all(&self) -> u32 {
        self.in_hand.saturating_add(self.waiting.len() as u32)
    }

    pub fn first(&mut self) -> Option<(u64, Micros)> {
        self.waiting.pop_first()
    }

    /// Takes a call out; until when it waited, if it did.
    pub fn leave(&mut self, number: u64) -> Option<Micros> {
        self.waiting.remove(&number)
    }

    pub fn usage(&self) -> Use {
        let Line { in_hand, most, refused_lately, .. } = *self;
        Use { in_hand, most, waiting: self.waiting.len() as u32, refused: refused_lately }
    }

    pub fn told(&mut self) {
        (self.most, self.refused_lately) = (self.all(), 0);
    }

    pub fn shown(&self) -> Shown {
        let Line { in_hand, entered, refused, denied, .. } = *self;
        Shown { in_hand, waiting: self.waiting.len() as u32, entered, refused, denied }
    }
}
