//! The gate before the decision module: which calls a process takes in hand by what it may have of each tenant.
//!
//! It does no I/O and reads no clock. Nothing in hand is ever cut off for a share; only what has not begun waits.

mod line;
mod order;
mod pace;

use crate::{Allowance, Micros, Use};
use line::Line;
pub use line::Shown;
use order::Order;
use pace::Pace;
use std::collections::BTreeSet;

/// A class's times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
}

impl Class {
    /// What is kept of a client's time for the call itself: its aim, half of its time at the most. One that enters
    /// later than that has no answer in time to hope for.
    fn kept(&self) -> Micros {
        self.aim.min(self.deadline / 2)
    }
}

/// What a gate is told at its start, for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    /// Times of the classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// Tenants, that of calls of no or an unknown one among them: it is the last.
    pub tenants: usize,
    /// Calls that may wait in the line of a tenant.
    pub line_most: usize,
    /// Longest advice that a client heeds; 0: it is given none.
    pub max_retry_after: Micros,
}

/// A call that comes to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Whose it is; `None`, or a place that the settings do not have: nobody's.
    pub tenant: Option<usize>,
    /// Its class.
    pub class: usize,
    /// Until when its client waits.
    pub deadline: Micros,
}

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    tenant: usize,
    number: u64,
}

impl Key {
    /// Whose call it is, by place in the settings.
    pub fn tenant(self) -> usize {
        self.tenant
    }
}

/// The one word that each call gets, unless its client goes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has a unit, which comes back by [`Gate::end`].
    Enters,
    /// It is turned away, and may come again after this time.
    Refused(Micros),
}

/// What a call is told when it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Its verdict, at once.
    Now(Verdict),
    /// It waits in its tenant's line, and hears later.
    Waits(Key),
}

/// Verdicts on calls that waited, in the order in which they fell.
pub type Verdicts = Vec<(Key, Verdict)>;

/// The gate. A call is let in where the cap of its tenant and the units for all leave it one; until then it waits in
/// its tenant's line, or is turned away where its turn cannot come in time.
#[derive(Clone, Debug)]
pub struct Gate {
    rules: Rules,
    /// How far back the pace of ends is looked at: the longest that a client waits.
    span: Micros,
    lines: Vec<Line>,
    allowance: Allowance,
    /// Units in hand, of all tenants.
    in_hand: u32,
    pace: Pace,
    /// Among those below their share, and among the others.
    owners: Order,
    borrowers: Order,
    /// When calls that wait are given up, the earliest first.
    due: BTreeSet<(Micros, Key)>,
    next: u64,
    /// More may come soon: a cap of 0 is no reason yet to turn calls away.
    to_come: bool,
}

impl Gate {
    /// A gate with what may be in hand at its start.
    pub fn new(now: Micros, rules: Rules, allowance: Allowance, to_come: bool) -> Gate {
        let span = rules.classes.iter().map(|class| class.deadline).max().unwrap_or(0).max(1);
        let tenants = rules.tenants.max(1);
        let mut gate = Gate {
            rules,
            span,
            lines: vec![Line::default(); tenants],
            allowance: Allowance::default(),
            in_hand: 0,
            pace: Pace::default(),
            owners: Order::new(tenants),
            borrowers: Order::new(tenants),
            due: BTreeSet::new(),
            next: 0,
            to_come,
        };
        gate.allow(now, allowance, to_come, &mut Vec::new());
        gate
    }

    /// Sets what may be in hand from now on; `to_come`: more may come soon. Where less may be than is in hand, nothing
    /// new enters until it fits.
    pub fn allow(&mut self, now: Micros, allowance: Allowance, to_come: bool, verdicts: &mut Verdicts) {
        let mut same = true;
        for (line, units) in self.lines.iter_mut().zip(&allowance.tenants) {
            same &= units.share == line.share;
            line.share = units.share;
        }
        if !same {
            self.owners.reset();
            self.borrowers.reset();
        }
        (self.allowance, self.to_come) = (allowance, to_come);
        self.pump(now, verdicts);
    }

    /// A call comes.
    pub fn ask(&mut self, now: Micros, asked: Asked) -> Answer {
        let tenant = self.place(asked.tenant);
        let free = self.has_room(now, tenant);
        let line = &self.lines[tenant];
        if free && line.is_empty() {
            self.take(now, tenant);
            return Answer::Now(Verdict::Enters);
        }
        let kept = self.rules.classes.get(asked.class).map_or(0, Class::kept);
        let until = asked.deadline.saturating_sub(kept);
        let full = line.len() >= self.rules.line_most;
        if full || self.is_shut(now, tenant) || now.saturating_add(self.wait(now, tenant)) >= until {
            self.lines[tenant].refuse();
            return Answer::Now(Verdict::Refused(self.advice(now, tenant)));
        }
        let key = Key { tenant, number: self.next };
        self.next += 1;
        self.lines[tenant].join(key.number, until);
        self.due.insert((until, key));
        Answer::Waits(key)
    }

    /// The client of a call that waits has gone.
    pub fn leave(&mut self, key: Key) {
        if let Some(until) = self.lines[key.tenant].leave(key.number) {
            self.due.remove(&(until, key));
        }
    }

    /// A second copy of a call of this tenant asks for a unit of its own; `false`: it has none.
    pub fn another(&mut self, now: Micros, tenant: Option<usize>) -> bool {
        let tenant = self.place(tenant);
        let free = self.has_room(now, tenant);
        match free {
            true => self.hold(now, tenant),
            false => self.lines[tenant].denied += 1,
        }
        free
    }

    /// A unit of this tenant comes back.
    pub fn end(&mut self, now: Micros, tenant: Option<usize>, verdicts: &mut Verdicts) {
        let tenant = self.place(tenant);
        let line = &mut self.lines[tenant];
        line.in_hand = line.in_hand.saturating_sub(1);
        line.pace.ended(now, self.span);
        self.in_hand = self.in_hand.saturating_sub(1);
        self.pace.ended(now, self.span);
        self.pump(now, verdicts);
    }

    /// Does what is due by time alone; [`Gate::next_due`] says when.
    pub fn tick(&mut self, now: Micros, verdicts: &mut Verdicts) {
        self.pump(now, verdicts);
    }

    /// When time alone next changes something: a call that waits is given up, or the allowance ends.
    pub fn next_due(&self) -> Option<Micros> {
        let (due, _) = self.due.first()?;
        Some(self.allowance.until.map_or(*due, |at| at.min(*due)))
    }

    /// What there is of each tenant to tell the scheduler, with what was since [`Gate::told`].
    pub fn usage(&self) -> Vec<Use> {
        self.lines.iter().map(Line::usage).collect()
    }

    /// The scheduler was told.
    pub fn told(&mut self) {
        self.lines.iter_mut().for_each(Line::told);
    }

    /// The tenants, in the order of the settings, the calls of none last.
    pub fn shown(&self) -> impl Iterator<Item = Shown> + '_ {
        self.lines.iter().map(Line::shown)
    }

    /// Units in hand, of all tenants.
    pub fn in_hand(&self) -> u32 {
        self.in_hand
    }

    fn place(&self, tenant: Option<usize>) -> usize {
        let last = self.lines.len() - 1;
        tenant.map_or(last, |tenant| tenant.min(last))
    }

    fn has_room(&self, now: Micros, tenant: usize) -> bool {
        self.allowance.all(now).is_none_or(|all| self.in_hand < all) && self.cap_leaves(now, tenant)
    }

    /// Whether its cap leaves a tenant one unit more.
    fn cap_leaves(&self, now: Micros, tenant: usize) -> bool {
        self.allowance.cap(now, tenant).is_none_or(|cap| self.lines[tenant].in_hand < cap)
    }

    /// Whether nothing can come for a tenant.
    fn is_shut(&self, now: Micros, tenant: usize) -> bool {
        !self.to_come && self.allowance.cap(now, tenant) == Some(0)
    }

    fn hold(&mut self, now: Micros, tenant: usize) {
        let line = &mut self.lines[tenant];
        if line.in_hand == 0 {
            line.pace.begins(now);
        }
        if self.in_hand == 0 {
            self.pace.begins(now);
        }
        line.hold();
        self.in_hand += 1;
    }

    fn take(&mut self, now: Micros, tenant: usize) {
        self.hold(now, tenant);
        self.lines[tenant].entered += 1;
    }

    /// Gives up those whose time is over, and lets in whoever has room by now.
    fn pump(&mut self, now: Micros, verdicts: &mut Verdicts) {
        if self.due.is_empty() {
            return;
        }
        while let Some(&(until, key)) = self.due.first().filter(|(until, _)| *until <= now) {
            self.due.remove(&(until, key));
            self.lines[key.tenant].leave(key.number);
            self.give_up(now, key, verdicts);
        }
        while let Some(tenant) = self.next_in(now) {
            let Some(key) = self.first(tenant) else { break };
            self.take(now, tenant);
            verdicts.push((key, Verdict::Enters));
        }
        if self.to_come {
            return;
        }
        for tenant in 0..self.lines.len() {
            while self.is_shut(now, tenant) {
                let Some(key) = self.first(tenant) else { break };
                self.give_up(now, key, verdicts);
            }
        }
    }

    /// Takes the first out of a line.
    fn first(&mut self, tenant: usize) -> Option<Key> {
        let (number, until) = self.lines[tenant].first()?;
        let key = Key { tenant, number };
        self.due.remove(&(until, key));
        Some(key)
    }

    fn give_up(&mut self, now: Micros, key: Key, verdicts: &mut Verdicts) {
        self.lines[key.tenant].refuse();
        verdicts.push((key, Verdict::Refused(self.advice(now, key.tenant))));
    }

    /// Whose call is next. Those that have less in hand than is their own come before those that have more: units that
    /// were lent go back to their owner as they come free.
    fn next_in(&mut self, now: Micros) -> Option<usize> {
        let Gate { lines, allowance, in_hand, owners, borrowers, .. } = self;
        let has_room = |place: usize, line: &Line| {
            !line.is_empty() && allowance.cap(now, place).is_none_or(|cap| line.in_hand < cap)
        };
        let Some(all) = allowance.all(now) else {
            return lines.iter().enumerate().position(|(place, line)| has_room(place, line));
        };
        if *in_hand >= all {
            return None;
        }
        let below = |below: bool| {
            let (lines, has_room) = (&*lines, &has_room);
            move |tenant: usize| {
                let line = &lines[tenant];
                (has_room(tenant, line) && line.is_below_share() == below).then(|| line.weight())
            }
        };
        let idle = |tenant: usize| lines[tenant].weight();
        owners.next(below(true), idle).or_else(|| borrowers.next(below(false), idle))
    }

    /// How long a call that comes now would wait in a line, by the pace of the ends that it waits for.
    fn wait(&self, now: Micros, tenant: usize) -> Micros {
        let line = &self.lines[tenant];
        let ahead = (line.len() + 1) as f64;
        let free = self.cap_leaves(now, tenant);
        let by_cap = if free { 0 } else { line.pace.time_for(ahead, now, self.span) };
        let by_all = match self.allowance.all(now) {
            Some(all) if self.in_hand >= all => {
                let waits = |(place, line): &(usize, &Line)| *place == tenant || !line.is_empty();
                let weights: f64 =
                    self.lines.iter().enumerate().filter(waits).map(|(_, line)| line.weight()).sum();
                self.pace.time_for(ahead * weights / line.weight(), now, self.span)
            }
            _ => 0,
        };
        by_cap.max(by_all)
    }

    fn advice(&self, now: Micros, tenant: usize) -> Micros {
        let most = self.rules.max_retry_after;
        if self.is_shut(now, tenant) {
            return most;
        }
        self.wait(now, tenant).min(most)
    }
}
