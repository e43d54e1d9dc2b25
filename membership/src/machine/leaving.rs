//! How a process leaves: it announces that until enough members have received it.

use super::{Effect, Machine};
use crate::name::Name;
use crate::packet::Kind;
use crate::Micros;
use std::collections::BTreeSet;

/// Members that must have received the announcement.
const MIN_NOTIFIED: usize = 3;
/// How often it is sent.
const LEAVE_INTERVAL: Micros = 100_000;
/// How long it is sent at the most.
const MAX_LEAVE_TIME: Micros = 2_000_000;

#[derive(Clone, Debug)]
pub(super) struct Leaving {
    pub(super) notified: BTreeSet<Name>,
    pub(super) next_at: Micros,
    pub(super) until: Micros,
}

impl Machine {
    /// This process leaves. It announces that until enough members have received it; [`Machine::has_left`] tells when.
    pub fn leave(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.table.leave();
        let until = now + MAX_LEAVE_TIME;
        self.leaving = Some(Leaving { notified: BTreeSet::new(), next_at: now, until });
        self.announce_leave(now, effects);
    }

    /// Whether a leaving process need not stay any longer.
    pub fn has_left(&self, now: Micros) -> bool {
        let wanted = self.table.others().count().min(MIN_NOTIFIED);
        let is_done = |leaving: &Leaving| leaving.notified.len() >= wanted || now >= leaving.until;
        self.is_displaced || self.leaving.as_ref().is_some_and(is_done)
    }

    pub(super) fn announce_leave(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let is_due = self.leaving.as_ref().is_some_and(|leaving| now >= leaving.next_at);
        if !is_due {
            return;
        }
        let has_left = self.has_left(now);
        if let Some(leaving) = &mut self.leaving {
            leaving.next_at = if has_left { Micros::MAX } else { now + LEAVE_INTERVAL };
        }
        if has_left {
            return;
        }
        for name in self.sample(MIN_NOTIFIED) {
            let Some(to) = self.table.get(&name).map(|member| member.record.address) else { continue };
            let seq = self.next_seq();
            self.send(Some(&name), to, Kind::Ping { seq, to: name.clone() }, effects);
        }
    }
}
