//! Updates that wait to be carried on packets, each so often that all members have very likely seen it.

use crate::name::Name;
use crate::packet::Update;
use crate::table::State;
use std::collections::VecDeque;

/// How often an update is sent on, for each doubling of the members: SWIM's lambda.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// Updates that wait at the most: beyond that the full exchange brings what was left out.
const MAX_WAITING: usize = 8_192;

#[derive(Clone, Debug)]
struct Item {
    update: Update,
    left: u32,
}

/// The updates, the one that is sent next first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue(VecDeque<Item>);

fn topic(update: &Update) -> (&Name, Option<&Name>, bool) {
    let by = update.by.as_ref().map(|word| &word.by);
    (&update.record.name, by, update.state == State::Vouched)
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Has an update sent on, in the place of what it makes old.
    pub(crate) fn push(&mut self, update: Update, members: usize) {
        let old = |item: &Item| {
            let of = &item.update;
            let same = of.record.name == update.record.name;
            let newer = (of.record.stamp, of.state) < (update.record.stamp, update.state);
            same && (topic(of) == topic(&update) || newer && update.state != State::Vouched)
        };
        self.0.retain(|item| !old(item));
        if self.0.len() < MAX_WAITING {
            let left = TRANSMISSIONS_PER_DOUBLING * (usize::BITS - members.leading_zeros()).max(1);
            self.0.push_front(Item { update, left });
        }
    }

    /// Updates of together `room` bytes at the most.
    pub(crate) fn take(&mut self, mut room: usize) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut again = Vec::new();
        for _ in 0..self.0.len() {
            let Some(item) = self.0.front() else { break };
            let bytes = item.update.bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            if let Some(mut item) = self.0.pop_front() {
                taken.push(item.update.clone());
                item.left -= 1;
                if item.left > 0 {
                    again.push(item);
                }
            }
        }
        self.0.extend(again);
        taken
    }
}
