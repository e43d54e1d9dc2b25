//! A process that goes says so until enough have heard it.

use super::{Effect, Machine};
use crate::name::Name;
use crate::packet::Kind;
use crate::Micros;
use std::collections::BTreeSet;

/// Members that a leaving process wants to have told.
const MIN_NOTIFIED: usize = 3;
/// How often it says so, and for how long at the most.
const LEAVE_INTERVAL: Micros = 100_000;
const MAX_LEAVE_TIME: Micros = 2_000_000;

#[derive(Clone, Debug)]
pub(super) struct Leaving {
    pub(super) notified: BTreeSet<Name>,
    pub(super) next: Micros,
    pub(super) until: Micros,
}

impl Machine {
    /// This process goes. It says so until enough have heard it; [`Machine::is_gone`] tells when.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.table.leave();
        self.leaving = Some(Leaving { notified: BTreeSet::new(), next: now, until: now + MAX_LEAVE_TIME });
        self.announce_leave(now, out);
    }

    /// Whether a leaving process need not stay any longer.
    pub fn is_gone(&self, now: Micros) -> bool {
        let least = self.table.others().count().min(MIN_NOTIFIED);
        self.displaced || self.leaving.as_ref().is_some_and(|l| l.notified.len() >= least || now >= l.until)
    }

    pub(super) fn announce_leave(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due = self.leaving.as_ref().is_some_and(|l| now >= l.next);
        if !due || self.is_gone(now) {
            if let Some(leaving) = self.leaving.as_mut().filter(|_| due) {
                leaving.next = Micros::MAX;
            }
            return;
        }
        for name in self.sample(MIN_NOTIFIED, None) {
            let Some(to) = self.table.get(&name).map(|m| m.record.address) else { continue };
            let seq = self.next_seq();
            self.send(Some(&name), to, Kind::Ping { seq, to: name.clone() }, out);
        }
        if let Some(leaving) = &mut self.leaving {
            leaving.next = now + LEAVE_INTERVAL;
        }
    }
}
